package main

import (
	"go/ast"
	"go/token"
	"path/filepath"
	"slices"
	"testing"
)

// looseDecoders are the functions of encoding/json that decode. They accept names of fields that differ in case.
var looseDecoders = []string{"Unmarshal", "NewDecoder"}

// TestOnlyPackageDecodeDecodesJSON guards against a message whose unknown fields replace known ones: the program decodes JSON by
// package decode alone.
func TestOnlyPackageDecodeDecodesJSON(t *testing.T) {
	calls := 0
	for _, sources := range parsePackages(t) {
		for _, file := range sources.files {
			for _, position := range selections(file, "json", looseDecoders) {
				calls++
				if at := sources.fileSet.Position(position); filepath.Base(filepath.Dir(at.Filename)) != "decode" {
					t.Errorf("%s: JSON is decoded without package decode", at)
				}
			}
		}
	}
	if calls == 0 {
		t.Error("found no decoding of JSON, want that of package decode")
	}
}

// selections returns the positions at which a file uses one of the given names of an imported package.
func selections(file *ast.File, packageName string, names []string) (positions []token.Pos) {
	for node := range ast.Preorder(file) {
		selector, ok := node.(*ast.SelectorExpr)
		if !ok || !slices.Contains(names, selector.Sel.Name) {
			continue
		}
		if identifier, ok := selector.X.(*ast.Ident); ok && identifier.Name == packageName {
			positions = append(positions, selector.Pos())
		}
	}
	return positions
}

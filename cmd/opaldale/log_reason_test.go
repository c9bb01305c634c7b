package main

import (
	"go/ast"
	"go/token"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
)

const reasonTableHeading = "### Reasons in log lines"

// formerReason matches the note that gives the earlier text of a reason.
var formerReason = regexp.MustCompile(`\(formerly "[^"]*"\)`)

// TestReasonTable compares the reasons in docs/operations.md with the code. Each reason in the table must be a string in the
// code, and each constant of a type of reasons must be in the table.
func TestReasonTable(t *testing.T) {
	page, err := os.ReadFile(logTablePage)
	if err != nil {
		t.Fatal(err)
	}
	documented := documentedReasons(string(page))
	var constants, literals []string
	for _, sources := range parsePackages(t) {
		constants = append(constants, sources.reasonConstants()...)
		literals = append(literals, sources.stringLiterals()...)
	}
	if len(documented) == 0 || len(constants) == 0 {
		t.Fatalf("got %d reasons in the table and %d in the code, want some of both", len(documented), len(constants))
	}
	for _, reason := range documented {
		if !slices.Contains(literals, reason) {
			t.Errorf("%s: got reason %q, want one that is a string in the code", logTablePage, reason)
		}
	}
	for _, reason := range constants {
		if !slices.Contains(documented, reason) {
			t.Errorf("got reason %q in the code, want one in the table of %s", reason, logTablePage)
		}
	}
}

// documentedReasons returns the present texts of the reasons in the table of a page, without the details that follow ": ".
func documentedReasons(page string) (reasons []string) {
	_, section, _ := strings.Cut(page, reasonTableHeading+"\n")
	section, _, _ = strings.Cut(section, "\n## ")
	for line := range strings.Lines(section) {
		cells := strings.Split(line, "|")
		if len(cells) < 4 {
			continue
		}
		quoted := strings.Split(formerReason.ReplaceAllString(cells[2], ""), `"`)
		for i := 1; i < len(quoted); i += 2 {
			reasons = append(reasons, strings.TrimSuffix(quoted[i], ": ..."))
		}
	}
	return reasons
}

// reasonConstants returns the values of the string constants whose type has a name that ends in "Reason".
func (s *logSources) reasonConstants() (reasons []string) {
	for _, file := range s.files {
		ast.Inspect(file, func(node ast.Node) bool {
			spec, ok := node.(*ast.ValueSpec)
			if !ok || !strings.HasSuffix(unqualifiedName(spec.Type), "Reason") {
				return true
			}
			for _, value := range spec.Values {
				if reason, ok := stringLiteral(value); ok {
					reasons = append(reasons, reason)
				}
			}
			return true
		})
	}
	return reasons
}

// stringLiterals returns all string literals of a package.
func (s *logSources) stringLiterals() (literals []string) {
	for _, file := range s.files {
		ast.Inspect(file, func(node ast.Node) bool {
			if literal, ok := node.(*ast.BasicLit); ok && literal.Kind == token.STRING {
				if value, ok := stringLiteral(literal); ok {
					literals = append(literals, value)
				}
			}
			return true
		})
	}
	return literals
}

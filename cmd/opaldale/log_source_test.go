package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// maxResolveDepth is the maximum number of assignments, constants and calls through which resolve traces a value.
const maxResolveDepth = 4

// loggingFunctions maps the logging functions of slog to the level at which they log, which slog.Log gets as an argument.
var loggingFunctions = map[string]string{"Debug": "debug", "Info": "info", "Warn": "warn", "Error": "error", "Log": ""}

// slogLevels maps the level constants of slog to their names in the tables.
var slogLevels = map[string]string{"LevelDebug": "debug", "LevelInfo": "info", "LevelWarn": "warn", "LevelError": "error"}

// slogConfiguration holds the names of slog that configure logging and log nothing.
var slogConfiguration = []string{"New", "NewTextHandler", "HandlerOptions", "SetDefault"}

// testSupportPackages holds the packages of internal that are only for tests and simulations. The program does not import them.
var testSupportPackages = []string{
	"simulator", "loopback", "golden", "propertytest", "clocktest", "decodetest", "kvstoretest", "workerstest",
}

// logSources holds the parsed files of a package, and the log statements and problems found in them.
type logSources struct {
	fileSet    *token.FileSet
	files      []*ast.File
	statements []logStatement
	problems   []string
}

// scope is the function that contains an expression; function is nil outside of functions.
type scope struct {
	function *ast.FuncDecl
	depth    int
}

// leaf returns the value of an expression that can be read without resolving names, for example of a literal. It returns
// false for all other expressions.
type leaf func(ast.Expr) (string, bool)

// readLogStatements returns the log statements of the program's packages, and what could not be analyzed.
func readLogStatements(t *testing.T) (statements []logStatement, problems []string) {
	t.Helper()
	for _, sources := range parsePackages(t) {
		sources.analyze()
		statements, problems = append(statements, sources.statements...), append(problems, sources.problems...)
	}
	return statements, problems
}

// parsePackages parses the packages that the program consists of, without their tests.
func parsePackages(t *testing.T) (packages []*logSources) {
	t.Helper()
	directories := []string{"."}
	err := filepath.WalkDir("../../internal", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || !entry.IsDir() {
			return err
		}
		if slices.Contains(testSupportPackages, entry.Name()) || entry.Name() == "testdata" {
			return filepath.SkipDir
		}
		directories = append(directories, path)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, directory := range directories {
		packages = append(packages, parsePackage(t, directory))
	}
	return packages
}

// parsePackage parses the files in a directory, without tests.
func parsePackage(t *testing.T, directory string) *logSources {
	t.Helper()
	sources := &logSources{fileSet: token.NewFileSet()}
	names, err := filepath.Glob(filepath.Join(directory, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(sources.fileSet, name, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		sources.files = append(sources.files, file)
	}
	return sources
}

// analyze finds the log statements in all files.
func (s *logSources) analyze() {
	for _, file := range s.files {
		s.checkImports(file)
		for _, declaration := range file.Decls {
			function, _ := declaration.(*ast.FuncDecl)
			s.analyzeDeclaration(declaration, scope{function: function})
		}
	}
}

// checkImports reports imports under which log statements would not be found.
func (s *logSources) checkImports(file *ast.File) {
	for _, spec := range file.Imports {
		if spec.Path.Value == `"log"` || spec.Path.Value == `"log/slog"` && spec.Name != nil {
			s.addProblem(spec, "import of %s: this test finds log statements only by the name slog", spec.Path.Value)
		}
	}
}

// analyzeDeclaration finds the log statements in a declaration, and reports uses of slog that it does not know.
func (s *logSources) analyzeDeclaration(declaration ast.Decl, in scope) {
	called := make(map[ast.Expr]bool)
	ast.Inspect(declaration, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.CallExpr:
			if _, ok := loggingFunctions[slogName(node.Fun)]; ok {
				called[node.Fun] = true
				s.addStatements(node, in)
			}
		case *ast.SelectorExpr:
			name := slogName(node)
			if name != "" && !called[node] && slogLevels[name] == "" && !slices.Contains(slogConfiguration, name) {
				s.addProblem(node, "slog.%s: this test cannot tell what it logs; call slog.Debug, Info, Warn, Error or Log", name)
			}
		}
		return true
	})
}

// slogName returns the name that an expression selects from package slog, or "" for other expressions.
func slogName(expression ast.Expr) string {
	if selector, ok := expression.(*ast.SelectorExpr); ok {
		if x, ok := selector.X.(*ast.Ident); ok && x.Name == "slog" {
			return selector.Sel.Name
		}
	}
	return ""
}

// addStatements adds the messages that a call of a logging function may log.
func (s *logSources) addStatements(call *ast.CallExpr, in scope) {
	arguments := call.Args
	levels := []string{loggingFunctions[slogName(call.Fun)]}
	if slogName(call.Fun) == "Log" && len(arguments) > 2 {
		var ok bool
		if levels, ok = s.resolve(arguments[1], in, slogLevel); !ok {
			s.addProblem(call, "level of a log statement is neither a constant of slog nor a variable that is assigned one")
			return
		}
		arguments = arguments[2:]
	}
	if len(arguments) == 0 {
		s.addProblem(call, "log statement without a message")
		return
	}
	messages, ok := s.resolve(arguments[0], in, stringLiteral)
	if !ok {
		s.addProblem(call, "message of a log statement cannot be resolved to string literals; use a literal")
		return
	}
	keys, ok := s.attributeKeys(arguments[1:], in)
	if !ok || call.Ellipsis.IsValid() {
		s.addProblem(call, "attributes of log statement %q are not pairs of a literal key and a value", messages)
		return
	}
	position := s.fileSet.Position(call.Pos()).String()
	for _, message := range messages {
		s.statements = append(s.statements, logStatement{position, message, levels, keys})
	}
}

// attributeKeys returns the keys of a log statement's attributes, or false if they are not known.
func (s *logSources) attributeKeys(arguments []ast.Expr, in scope) (keys []string, ok bool) {
	for i, argument := range arguments {
		if i%2 == 1 {
			continue
		}
		values, ok := s.resolve(argument, in, stringLiteral)
		if !ok || len(values) != 1 {
			return nil, false
		}
		keys = append(keys, values[0])
	}
	return keys, len(arguments)%2 == 0
}

// slogLevel is the leaf function for levels. It accepts the level constants of slog.
func slogLevel(expression ast.Expr) (string, bool) {
	level, ok := slogLevels[slogName(expression)]
	return level, ok
}

// stringLiteral is the leaf function for messages and keys. It accepts string literals.
func stringLiteral(expression ast.Expr) (string, bool) {
	literal, ok := expression.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	value, err := strconv.Unquote(literal.Value)
	return value, err == nil
}

// resolve returns the sorted values that an expression may have: a leaf, a constant of the package, a variable to which
// the function assigns only such values, or a parameter for which every call in the package passes such a value.
func (s *logSources) resolve(expression ast.Expr, in scope, leaf leaf) (values []string, ok bool) {
	if value, ok := leaf(expression); ok {
		return []string{value}, true
	}
	name, ok := expression.(*ast.Ident)
	if !ok || in.depth >= maxResolveDepth {
		return nil, false
	}
	sources := s.assignedValues(name.Name, in)
	if index := parameterIndex(in.function, name.Name); index >= 0 {
		arguments, ok := s.passedArguments(in, index)
		if !ok {
			return nil, false
		}
		sources = append(sources, arguments...)
	}
	unique := make(map[string]bool)
	for _, source := range sources {
		resolved, ok := s.resolve(source.expression, source.in, leaf)
		if !ok {
			return nil, false
		}
		for _, value := range resolved {
			unique[value] = true
		}
	}
	return slices.Sorted(maps.Keys(unique)), len(unique) > 0
}

// valueSource is an expression whose value a name may have, with the function that contains it.
type valueSource struct {
	expression ast.Expr
	in         scope
}

// assignedValues returns the values that the function assigns to a name. If there are none and the name is not a parameter,
// it returns the value of the package's constant with that name.
func (s *logSources) assignedValues(name string, in scope) (sources []valueSource) {
	add := func(left, right ast.Expr) {
		if ident, ok := left.(*ast.Ident); ok && ident.Name == name {
			sources = append(sources, valueSource{right, scope{in.function, in.depth + 1}})
		}
	}
	if in.function != nil {
		ast.Inspect(in.function, func(node ast.Node) bool { visitAssignments(node, add); return true })
	}
	if len(sources) > 0 || parameterIndex(in.function, name) >= 0 {
		return sources
	}
	for _, file := range s.files {
		for _, declaration := range file.Decls {
			if constants, ok := declaration.(*ast.GenDecl); ok && constants.Tok == token.CONST {
				ast.Inspect(constants, func(node ast.Node) bool { visitAssignments(node, add); return true })
			}
		}
	}
	return sources
}

// visitAssignments calls add with each name and value of an assignment or declaration. Where there is no value for each
// name, or the assignment is an operation like +=, the value is an *ast.BadExpr, which never resolves.
func visitAssignments(node ast.Node, add func(left, right ast.Expr)) {
	var left, right []ast.Expr
	switch node := node.(type) {
	case *ast.AssignStmt:
		left, right = node.Lhs, node.Rhs
		if node.Tok != token.ASSIGN && node.Tok != token.DEFINE {
			right = nil
		}
	case *ast.RangeStmt:
		left = []ast.Expr{node.Key, node.Value}
	case *ast.ValueSpec:
		for _, name := range node.Names {
			left = append(left, name)
		}
		right = node.Values
	}
	for i, expression := range left {
		if len(right) == len(left) {
			add(expression, right[i])
		} else {
			add(expression, &ast.BadExpr{})
		}
	}
}

// parameterIndex returns the index of a parameter of a function, or -1.
func parameterIndex(function *ast.FuncDecl, name string) int {
	if function == nil {
		return -1
	}
	index := 0
	for _, field := range function.Type.Params.List {
		for _, parameter := range field.Names {
			if parameter.Name == name {
				return index
			}
			index++
		}
	}
	return -1
}

// passedArguments returns the argument at an index in all calls of a function in its package. It returns false if the
// function is exported or is used other than by calling it, so that calls may be missing.
func (s *logSources) passedArguments(in scope, index int) (arguments []valueSource, ok bool) {
	uses, calls := 0, 0
	for _, file := range s.files {
		for _, declaration := range file.Decls {
			caller, _ := declaration.(*ast.FuncDecl)
			ast.Inspect(declaration, func(node ast.Node) bool {
				switch node := node.(type) {
				case *ast.Ident:
					if node.Name == in.function.Name.Name && node != in.function.Name {
						uses++
					}
				case *ast.CallExpr:
					if unqualifiedName(node.Fun) == in.function.Name.Name && index < len(node.Args) {
						calls++
						arguments = append(arguments, valueSource{node.Args[index], scope{caller, in.depth + 1}})
					}
				}
				return true
			})
		}
	}
	return arguments, uses == calls && !in.function.Name.IsExported()
}

// unqualifiedName returns the name of an identifier, or the name that a selector selects, or "" for other expressions.
func unqualifiedName(expression ast.Expr) string {
	switch expression := expression.(type) {
	case *ast.Ident:
		return expression.Name
	case *ast.SelectorExpr:
		return expression.Sel.Name
	}
	return ""
}

// addProblem records something that could not be analyzed.
func (s *logSources) addProblem(node ast.Node, format string, a ...any) {
	s.problems = append(s.problems, fmt.Sprintf("%v: ", s.fileSet.Position(node.Pos()))+fmt.Sprintf(format, a...))
}

// TestFindLogStatements checks which log statements are found, and that those that cannot be analyzed are reported.
func TestFindLogStatements(t *testing.T) {
	for _, c := range []struct{ name, code, want string }{
		{"literal", `func f() { slog.Info("a", "k", 1, "l", 2) }`, "a [info] [k l]"},
		{"constant", `const m = "a"; func f() { slog.Warn(m) }`, "a [warn] []"},
		{"variable", `func f() { m := "a"; if x { m = "b" }; slog.Debug(m) }`, "a [debug] []; b [debug] []"},
		{"parameter", `func f(m string) { slog.Error(m) }; func g() { f("b"); f("a") }`, "a [error] []; b [error] []"},
		{"level", `func f() { l := slog.LevelInfo; if x { l = slog.LevelDebug }; slog.Log(c, l, "a") }`, "a [debug info] []"},
		{"result of a call", `func f() { slog.Info(g()) }`, "problem"},
		{"variable of unknown value", `func f() { m := "a"; m = g(); slog.Info(m) }`, "problem"},
		{"variable with an addition", `func f() { m := "a"; m += "b"; slog.Info(m) }`, "problem"},
		{"variable of a range", `func f() { for _, m := range x { slog.Info(m) } }`, "problem"},
		{"parameter of unknown value", `func f(m string) { slog.Info(m) }; func g() { f("a"); f(x.y) }`, "problem"},
		{"parameter of a function value", `func f(m string) { slog.Info(m) }; func g() { f("a"); h(f) }`, "problem"},
		{"parameter of an exported function", `func F(m string) { slog.Info(m) }; func g() { F("a") }`, "problem"},
		{"parameter of recursion", `func f(m string) { slog.Info(m); f(m) }`, "problem"},
		{"level of unknown value", `func f(l slog.Level) { slog.Log(c, l, "a") }`, "problem"},
		{"key of unknown value", `func f() { slog.Info("a", g(), 1) }`, "problem"},
		{"key without a value", `func f() { slog.Info("a", "k") }`, "problem"},
		{"attributes of unknown length", `func f() { slog.Info("a", x...) }`, "problem"},
		{"function value", `var f = slog.Info`, "problem"},
		{"other function", `func f() { slog.InfoContext(c, "a") }`, "problem"},
		{"other logger", `func f() { slog.With("k", 1).Info("a") }`, "problem"},
	} {
		sources := &logSources{fileSet: token.NewFileSet()}
		code := `package a; import "log/slog"; ` + c.code
		file, err := parser.ParseFile(sources.fileSet, "a.go", code, parser.SkipObjectResolution)
		if err != nil {
			t.Fatalf("%s: parsing the code: got error %v, want none", c.name, err)
		}
		sources.files = []*ast.File{file}
		sources.analyze()
		var found []string
		for _, statement := range sources.statements {
			found = append(found, fmt.Sprint(statement.message, " ", statement.levels, " ", statement.keys))
		}
		if len(sources.problems) > 0 {
			found = append(found, "problem")
		}
		if got := strings.Join(found, "; "); got != c.want {
			t.Errorf("%s: found %q, want %q", c.name, got, c.want)
		}
	}
}

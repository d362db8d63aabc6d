package golden

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// Literals lists the distinct string literals that match a pattern in the code under root, sorted. Import paths, tests
// and testbeds are left out.
func Literals(t *testing.T, label, root, pattern string) string {
	t.Helper()
	re, literals := regexp.MustCompile(pattern), map[string]bool{}
	inspectFiles(t, root, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.ImportSpec:
			return false
		case *ast.BasicLit:
			if text, err := strconv.Unquote(n.Value); err == nil && n.Kind == token.STRING && re.MatchString(text) {
				literals[text] = true
			}
		}
		return true
	})
	return Lines(label, sortedKeys(literals)...)
}

// Keys lists the keys that the hand-written decoders of a package may read: string literals that look like a key and
// are an argument of a call x.f(...) with x other than errs, a key of a composite literal, or the value of a constant
// or variable.
func Keys(t *testing.T, label, folder string) string {
	t.Helper()
	re, keys := regexp.MustCompile(`^[a-z][a-z0-9]*(_[a-z0-9]+)*$`), map[string]bool{}
	addKey := func(e ast.Expr) {
		if lit, ok := e.(*ast.BasicLit); ok && lit.Kind == token.STRING {
			if text, err := strconv.Unquote(lit.Value); err == nil && re.MatchString(text) {
				keys[text] = true
			}
		}
	}
	inspectFiles(t, folder, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.CallExpr:
			if f, ok := n.Fun.(*ast.SelectorExpr); ok && fmt.Sprint(f.X) != "errs" {
				for _, arg := range n.Args {
					addKey(arg)
				}
			}
		case *ast.KeyValueExpr:
			addKey(n.Key)
		case *ast.ValueSpec:
			for _, value := range n.Values {
				addKey(value)
			}
		}
		return true
	})
	return Lines(label, sortedKeys(keys)...)
}

// inspectFiles calls visit for the syntax nodes of the Go files under root, except tests, and except testbeds unless
// root is one.
func inspectFiles(t *testing.T, root string, visit func(ast.Node) bool) {
	t.Helper()
	files := 0
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			t.Fatal(err)
		}
		if d.IsDir() && d.Name() == "testbed" && path != root {
			return fs.SkipDir
		}
		if d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		files++
		ast.Inspect(f, visit)
		return nil
	})
	if err != nil || files == 0 {
		t.Fatalf("%d files under %s: %v", files, root, err)
	}
}

func sortedKeys(set map[string]bool) []string {
	keys := make([]string, 0, len(set))
	for key := range set {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// LogLines lists the arguments of the calls x.Log(...) in the code under root, sorted: string literals verbatim, other
// arguments as "_". This pins the keys and messages of log lines, but not how often they occur.
func LogLines(t *testing.T, label, root string) string {
	t.Helper()
	lines := map[string]bool{}
	inspectFiles(t, root, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		if f, ok := call.Fun.(*ast.SelectorExpr); !ok || f.Sel.Name != "Log" {
			return true
		}
		var arguments []string
		for _, arg := range call.Args {
			argument := "_"
			if lit, ok := arg.(*ast.BasicLit); ok && lit.Kind == token.STRING {
				argument = lit.Value
			}
			arguments = append(arguments, argument)
		}
		lines[strings.Join(arguments, " ")] = true
		return true
	})
	return Lines(label, sortedKeys(lines)...)
}

// Constants lists the string constants of the code under root: in each declaration, one line per named type with its
// values in source order, and one line per untyped value. The lines are sorted and contain no Go names.
func Constants(t *testing.T, label, root string) string {
	t.Helper()
	lines := map[string]bool{}
	visit := func(n ast.Node) bool {
		decl, ok := n.(*ast.GenDecl)
		if !ok || decl.Tok != token.CONST {
			return true
		}
		valuesByType := map[string][]string{}
		for _, spec := range decl.Specs {
			value := spec.(*ast.ValueSpec)
			for _, v := range value.Values {
				lit, ok := v.(*ast.BasicLit)
				switch {
				case !ok || lit.Kind != token.STRING:
				case value.Type == nil:
					lines["value "+lit.Value] = true
				default:
					name := fmt.Sprint(value.Type)
					valuesByType[name] = append(valuesByType[name], lit.Value)
				}
			}
		}
		for _, values := range valuesByType {
			lines["type "+strings.Join(values, " ")] = true
		}
		return true
	}
	inspectFiles(t, root, visit)
	return Lines(label, sortedKeys(lines)...)
}

// Arguments lists the string literals that are the first argument of x.Get, x.Set, x.Add, x.Del, x.Values or
// x.PathValue in the code under root: the names of HTTP headers and parameters, verbatim.
func Arguments(t *testing.T, label, root string) string {
	t.Helper()
	methods := []string{"Get", "Set", "Add", "Del", "Values", "PathValue"}
	literals := map[string]bool{}
	inspectFiles(t, root, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok || len(call.Args) == 0 {
			return true
		}
		f, ok := call.Fun.(*ast.SelectorExpr)
		if !ok || !slices.Contains(methods, f.Sel.Name) {
			return true
		}
		if lit, ok := call.Args[0].(*ast.BasicLit); ok && lit.Kind == token.STRING {
			literals[lit.Value] = true
		}
		return true
	})
	return Lines(label, sortedKeys(literals)...)
}

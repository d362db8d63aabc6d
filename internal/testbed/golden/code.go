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

// Literals lists the string literals that match a pattern in the Go files under root that are no tests and not of a
// testbed, each once and sorted. Import paths are left out.
func Literals(t *testing.T, label, root, pattern string) string {
	t.Helper()
	match, found := regexp.MustCompile(pattern), map[string]bool{}
	each(t, root, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.ImportSpec:
			return false
		case *ast.BasicLit:
			if text, err := strconv.Unquote(n.Value); err == nil && n.Kind == token.STRING && match.MatchString(text) {
				found[text] = true
			}
		}
		return true
	})
	return Lines(label, sorted(found)...)
}

// Keys lists the names that the hand-written readers of a package may ask for: string literals that look like a key
// and are an argument of a call x.f(...) with x other than errs, a key of a composite literal, or the value of a
// constant or variable.
func Keys(t *testing.T, label, folder string) string {
	t.Helper()
	match, found := regexp.MustCompile(`^[a-z][a-z0-9]*(_[a-z0-9]+)*$`), map[string]bool{}
	take := func(e ast.Expr) {
		if lit, ok := e.(*ast.BasicLit); ok && lit.Kind == token.STRING {
			if text, err := strconv.Unquote(lit.Value); err == nil && match.MatchString(text) {
				found[text] = true
			}
		}
	}
	each(t, folder, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.CallExpr:
			if f, ok := n.Fun.(*ast.SelectorExpr); ok && fmt.Sprint(f.X) != "errs" {
				for _, arg := range n.Args {
					take(arg)
				}
			}
		case *ast.KeyValueExpr:
			take(n.Key)
		case *ast.ValueSpec:
			for _, value := range n.Values {
				take(value)
			}
		}
		return true
	})
	return Lines(label, sorted(found)...)
}

// each visits the code of the files under root, without tests, and without testbeds unless root is one.
func each(t *testing.T, root string, visit func(ast.Node) bool) {
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

func sorted(set map[string]bool) []string {
	out := make([]string, 0, len(set))
	for s := range set {
		out = append(out, s)
	}
	slices.Sort(out)
	return out
}

// LogLines lists what stands in the calls x.Log(...) of the code under root, sorted: string literals as they are, other
// arguments as "_". So the keys and messages of log lines are pinned, not how often they stand in the code.
func LogLines(t *testing.T, label, root string) string {
	t.Helper()
	found := map[string]bool{}
	each(t, root, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		if f, ok := call.Fun.(*ast.SelectorExpr); !ok || f.Sel.Name != "Log" {
			return true
		}
		var words []string
		for _, arg := range call.Args {
			word := "_"
			if lit, ok := arg.(*ast.BasicLit); ok && lit.Kind == token.STRING {
				word = lit.Value
			}
			words = append(words, word)
		}
		found[strings.Join(words, " ")] = true
		return true
	})
	return Lines(label, sorted(found)...)
}

// Constants lists the string constants of the code under root: one line for each type of its own, its values in the
// order of the code, and one line for each value of the others. The lines are sorted and bear no names.
func Constants(t *testing.T, label, root string) string {
	t.Helper()
	found := map[string]bool{}
	visit := func(n ast.Node) bool {
		decl, ok := n.(*ast.GenDecl)
		if !ok || decl.Tok != token.CONST {
			return true
		}
		typed := map[string][]string{}
		for _, spec := range decl.Specs {
			value := spec.(*ast.ValueSpec)
			for _, v := range value.Values {
				lit, ok := v.(*ast.BasicLit)
				switch {
				case !ok || lit.Kind != token.STRING:
				case value.Type == nil:
					found["value "+lit.Value] = true
				default:
					name := fmt.Sprint(value.Type)
					typed[name] = append(typed[name], lit.Value)
				}
			}
		}
		for _, values := range typed {
			found["type "+strings.Join(values, " ")] = true
		}
		return true
	}
	each(t, root, visit)
	return Lines(label, sorted(found)...)
}

// Arguments lists the string literals that are the first argument of x.Get, x.Set, x.Add, x.Del, x.Values or
// x.PathValue in the code under root: headers and parameters of HTTP, as they come.
func Arguments(t *testing.T, label, root string) string {
	t.Helper()
	methods := []string{"Get", "Set", "Add", "Del", "Values", "PathValue"}
	found := map[string]bool{}
	each(t, root, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok || len(call.Args) == 0 {
			return true
		}
		f, ok := call.Fun.(*ast.SelectorExpr)
		if !ok || !slices.Contains(methods, f.Sel.Name) {
			return true
		}
		if lit, ok := call.Args[0].(*ast.BasicLit); ok && lit.Kind == token.STRING {
			found[lit.Value] = true
		}
		return true
	})
	return Lines(label, sorted(found)...)
}

package lint

import (
	"bytes"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const (
	maxFileLines     = 400
	maxFunctionLines = 60
	sizesPage        = "docs/habits/readable.md"
)

// Functions and files that are longer than the rule allows are listed, each with its reason, in docs/habits/readable.md.
// A row of one that is not longer any more, or is gone, has to be removed. Tests are not counted.
func TestSizes_exceptions_are_listed(t *testing.T) {
	files, functions := longOnes(t, "../..")
	compareSizes(t, "file", files)
	compareSizes(t, "function", functions)
}

// compareSizes compares what is too long with the rows of the page's table that begins with kind.
func compareSizes(t *testing.T, kind string, long map[string]int) {
	t.Helper()
	listed := map[string]bool{}
	for _, cells := range tableRows(t, sizesPage, kind) {
		for _, name := range backticked(cells[0]) {
			listed[name] = true
			if long[name] == 0 {
				t.Errorf("%s: remove the row of the %s `%s`: it is not too long any more, or is gone", sizesPage, kind, name)
			}
			if strings.TrimSpace(cells[1]) == "" {
				t.Errorf("%s: the %s `%s` has no reason", sizesPage, kind, name)
			}
		}
	}
	for name, lines := range long {
		if !listed[name] {
			t.Errorf("the %s %s has %d lines: split it, or add a row | `%s` | reason | to %s", kind, name, lines, name, sizesPage)
		}
	}
}

// longOnes returns the files and the functions below root that are longer than the rule allows, with their lines. A
// function is named by its file and its name.
func longOnes(t *testing.T, root string) (files, functions map[string]int) {
	t.Helper()
	files, functions = map[string]int{}, map[string]int{}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && path != root && skipped(entry.Name()) {
			return filepath.SkipDir
		}
		if entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		rel, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		rel = filepath.ToSlash(rel)
		if lines := bytes.Count(text, []byte("\n")); lines > maxFileLines {
			files[rel] = lines
		}
		return longFunctions(rel, text, functions)
	})
	if err != nil {
		t.Fatal(err)
	}
	return files, functions
}

func longFunctions(file string, text []byte, into map[string]int) error {
	set := token.NewFileSet()
	tree, err := parser.ParseFile(set, file, text, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	for _, declaration := range tree.Decls {
		function, ok := declaration.(*ast.FuncDecl)
		if !ok {
			continue
		}
		lines := set.Position(function.End()).Line - set.Position(function.Pos()).Line + 1
		if lines > maxFunctionLines {
			into[fmt.Sprintf("%s %s", file, function.Name.Name)] = lines
		}
	}
	return nil
}

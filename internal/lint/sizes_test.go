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

// Files and functions that exceed the limits must be listed with a reason in docs/habits/readable.md, and the list must
// have no other rows. Test files have no limit here.
func TestSizes_exceptionsAreListed(t *testing.T) {
	files, functions := oversized(t, "../..")
	compareSizes(t, "file", files)
	compareSizes(t, "function", functions)
}

// compareSizes compares the oversized files or functions with the rows of the page's table for kind.
func compareSizes(t *testing.T, kind string, sizes map[string]int) {
	t.Helper()
	listed := map[string]bool{}
	for _, cells := range tableRows(t, sizesPage, kind) {
		for _, name := range backticked(cells[0]) {
			listed[name] = true
			if sizes[name] == 0 {
				t.Errorf("%s: remove the row of the %s `%s`: it does not exceed the limit or does not exist",
					sizesPage, kind, name)
			}
			if strings.TrimSpace(cells[1]) == "" {
				t.Errorf("%s: the %s `%s` has no reason", sizesPage, kind, name)
			}
		}
	}
	for name, lines := range sizes {
		if !listed[name] {
			t.Errorf("the %s %s has %d lines: split it, or add a row | `%s` | reason | to %s",
				kind, name, lines, name, sizesPage)
		}
	}
}

// oversized returns the numbers of lines of the files and functions below root that exceed the limits. The keys are the
// path of a file, and the path and name of a function.
func oversized(t *testing.T, root string) (files, functions map[string]int) {
	t.Helper()
	files, functions = map[string]int{}, map[string]int{}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && path != root && isSkippedDir(entry.Name()) {
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
		return addLongFunctions(rel, text, functions)
	})
	if err != nil {
		t.Fatal(err)
	}
	return files, functions
}

// addLongFunctions adds the functions of a file that exceed the limit to functions.
func addLongFunctions(file string, text []byte, functions map[string]int) error {
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
			functions[fmt.Sprintf("%s %s", file, function.Name.Name)] = lines
		}
	}
	return nil
}

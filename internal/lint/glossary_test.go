package lint

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// Guards against glossary entries that refer to identifiers which were renamed or removed.
func TestGlossary(t *testing.T) {
	page, err := os.ReadFile("../../docs/glossary.md")
	if err != nil {
		t.Fatal(err)
	}
	declared := exportedNames(t, "../..")
	terms := 0
	for _, line := range strings.Split(string(page), "\n") {
		cells := strings.Split(line, "|")
		if len(cells) != 6 || strings.TrimSpace(cells[1]) == "term" || strings.HasPrefix(cells[1], "---") {
			continue
		}
		terms++
		names := glossaryName.FindAllStringSubmatch(cells[3], -1)
		if len(names) == 0 {
			t.Errorf("the entry %q refers to no identifier of the code", strings.TrimSpace(cells[1]))
		}
		for _, name := range names {
			if !declared[name[1]] {
				t.Errorf("the entry %q refers to %s, which no package declares", strings.TrimSpace(cells[1]), name[1])
			}
		}
	}
	if terms < 40 {
		t.Errorf("found only %d terms, expected at least 40", terms)
	}
}

var glossaryName = regexp.MustCompile("`([a-z]+\\.[A-Z][A-Za-z]*)`")

// exportedNames returns the exported top-level declarations below root as package.Name, except those in tests.
func exportedNames(t *testing.T, root string) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && path != root && isSkippedDir(entry.Name()) {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		tree, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		for _, declaration := range tree.Decls {
			for _, name := range topLevelNames(declaration) {
				names[tree.Name.Name+"."+name] = true
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}

// topLevelNames returns the exported names that a top-level declaration declares, except methods.
func topLevelNames(declaration ast.Decl) []string {
	switch declaration := declaration.(type) {
	case *ast.FuncDecl:
		if declaration.Recv == nil {
			return []string{declaration.Name.Name}
		}
	case *ast.GenDecl:
		var names []string
		for _, spec := range declaration.Specs {
			switch spec := spec.(type) {
			case *ast.TypeSpec:
				names = append(names, spec.Name.Name)
			case *ast.ValueSpec:
				for _, id := range spec.Names {
					names = append(names, id.Name)
				}
			}
		}
		return slices.DeleteFunc(names, func(name string) bool { return !ast.IsExported(name) })
	}
	return nil
}

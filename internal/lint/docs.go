package lint

import (
	"go/ast"
	"path"
	"slices"
	"strings"
)

// checkDocs reports each exported top-level item and each exported method without a doc comment. In a group of
// constants, variables or types the comment of the group or the one at the end of the line serves too. Test
// files are not checked.
func (f *file) checkDocs(tree *ast.File) {
	if f.test {
		return
	}
	for _, decl := range tree.Decls {
		switch decl := decl.(type) {
		case *ast.FuncDecl:
			if decl.Name.IsExported() && decl.Doc == nil {
				f.add(decl, RuleDoc, decl.Name.Name+" has no doc comment")
			}
		case *ast.GenDecl:
			for _, spec := range decl.Specs {
				f.checkSpecDoc(decl, spec)
			}
		}
	}
}

// checkSpecDoc reports the exported names of one constant, variable or type that no comment describes.
func (f *file) checkSpecDoc(decl *ast.GenDecl, spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.TypeSpec:
		if spec.Name.IsExported() && decl.Doc == nil && spec.Doc == nil && spec.Comment == nil {
			f.add(spec, RuleDoc, spec.Name.Name+" has no doc comment")
		}
	case *ast.ValueSpec:
		if decl.Doc != nil || spec.Doc != nil || spec.Comment != nil {
			return
		}
		for _, name := range spec.Names {
			if name.IsExported() {
				f.add(name, RuleDoc, name.Name+" has no doc comment")
			}
		}
	}
}

// packageDocs collects, folder by folder, whether one of the files that are no tests has a package comment.
type packageDocs map[string]bool

// see takes note of one file.
func (p packageDocs) see(rel string, tree *ast.File) {
	dir := path.Dir(rel)
	p[dir] = p[dir] || tree.Doc != nil
}

// findings returns one finding for each folder whose package has no comment, in order of names.
func (p packageDocs) findings() []Finding {
	var out []Finding
	for dir, documented := range p {
		if !documented {
			out = append(out, Finding{File: dir, Rule: RuleDoc, Text: "the package has no doc comment"})
		}
	}
	slices.SortFunc(out, func(a, b Finding) int { return strings.Compare(a.File, b.File) })
	return out
}

package lint

import (
	"go/ast"
	"path"
	"slices"
	"strings"
)

// checkDocs reports exported top-level declarations and methods without a doc comment. A constant, variable or type may
// instead have a comment at the end of its line, or be in a group with a comment. Test files are not checked.
func (f *file) checkDocs(tree *ast.File) {
	if f.isTest {
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

// checkSpecDoc reports the exported names of a constant, variable or type declaration without a comment.
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

// packageDocs records for each folder whether one of its non-test files has a package comment.
type packageDocs map[string]bool

// record adds a non-test file.
func (p packageDocs) record(rel string, tree *ast.File) {
	dir := path.Dir(rel)
	p[dir] = p[dir] || tree.Doc != nil
}

// findings returns one finding for each folder whose package has no comment, sorted by folder.
func (p packageDocs) findings() []Finding {
	var findings []Finding
	for dir, documented := range p {
		if !documented {
			findings = append(findings, Finding{File: dir, Rule: RuleDoc, Text: "the package has no doc comment"})
		}
	}
	slices.SortFunc(findings, func(a, b Finding) int { return strings.Compare(a.File, b.File) })
	return findings
}

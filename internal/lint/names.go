package lint

import (
	"go/ast"
	"go/token"
	"path"
	"slices"
	"strings"
	"unicode"
)

// withdrawnTerms maps the terms that no Go name of the module may contain to their replacements.
var withdrawnTerms = map[string]string{
	"alarm":    "clock or timer",
	"pressure": "load or overloaded",
	"backlog":  "queue",
	"consumer": "client",
	"ticket":   "run ID",
	"tally":    "running count",
	"charter":  "placement policy",
	"habit":    "rule",
	"spawn":    "routine",
	"fault":    "error or failure",
}

// injectionDirs are the folders in which "fault" is allowed, as the usual term for a failure that a test injects.
var injectionDirs = []string{"internal/testbed", "cmd/crosstide-testbed"}

// checkNames reports withdrawn terms in the names that the file declares, in the package's name and in the file's name.
// Uses of a name are not reported: the name is reported at its declaration, or belongs to another module.
func (f *file) checkNames(tree *ast.File) {
	f.checkName(tree.Name, tree.Name.Name)
	f.checkName(tree.Name, strings.TrimSuffix(path.Base(f.rel), ".go"))
	for _, id := range declaredNames(tree) {
		f.checkName(id, id.Name)
	}
}

// checkName reports the withdrawn terms in name as findings at node.
func (f *file) checkName(node ast.Node, name string) {
	for _, word := range splitWords(name) {
		word = singular(word)
		replacement, isWithdrawn := withdrawnTerms[word]
		if !isWithdrawn || word == "fault" && f.isBelow(injectionDirs...) {
			continue
		}
		f.add(node, RuleName, name+" contains "+word+"; use "+replacement)
	}
}

// singular returns word without its plural ending if that is a withdrawn term, or word unchanged.
func singular(word string) string {
	if stem, ok := strings.CutSuffix(word, "ies"); ok && withdrawnTerms[stem+"y"] != "" {
		return stem + "y"
	}
	if stem, ok := strings.CutSuffix(word, "s"); ok && withdrawnTerms[stem] != "" {
		return stem
	}
	return word
}

// splitWords splits a name at underscores, hyphens, digits and changes of case, and returns its parts in lower case:
// http, server and v for "HTTPServer_v2".
func splitWords(name string) []string {
	var words []string
	letters := []rune(name)
	start := 0
	cut := func(end int) {
		if end > start {
			words = append(words, strings.ToLower(string(letters[start:end])))
		}
		start = end
	}
	for i, letter := range letters {
		switch {
		case !unicode.IsLetter(letter):
			cut(i)
			start = i + 1
		case i > start && unicode.IsUpper(letter):
			afterLower := !unicode.IsUpper(letters[i-1])
			beforeLower := i+1 < len(letters) && unicode.IsLower(letters[i+1])
			if afterLower || beforeLower {
				cut(i)
			}
		}
	}
	cut(len(letters))
	return words
}

// declaredNames returns the identifiers that the file declares, in source order: local names of imports, constants,
// variables, types, type parameters, functions, methods, fields, parameters, results and labels.
func declaredNames(tree *ast.File) []*ast.Ident {
	var names []*ast.Ident
	ast.Inspect(tree, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.ImportSpec:
			if n.Name != nil {
				names = append(names, n.Name)
			}
		case *ast.ValueSpec:
			names = append(names, n.Names...)
		case *ast.TypeSpec:
			names = append(names, n.Name)
		case *ast.FuncDecl:
			names = append(names, n.Name)
		case *ast.Field:
			names = append(names, n.Names...)
		case *ast.LabeledStmt:
			names = append(names, n.Label)
		case *ast.AssignStmt:
			if n.Tok == token.DEFINE {
				names = appendIdents(names, n.Lhs...)
			}
		case *ast.RangeStmt:
			if n.Tok == token.DEFINE {
				names = appendIdents(names, n.Key, n.Value)
			}
		}
		return true
	})
	slices.SortStableFunc(names, func(a, b *ast.Ident) int { return int(a.Pos() - b.Pos()) })
	return names
}

// appendIdents appends the expressions that are identifiers to names.
func appendIdents(names []*ast.Ident, exprs ...ast.Expr) []*ast.Ident {
	for _, e := range exprs {
		if id, ok := e.(*ast.Ident); ok {
			names = append(names, id)
		}
	}
	return names
}

package lint

import (
	"go/ast"
	"go/token"
	"path"
	"slices"
	"strings"
	"unicode"
)

// withdrawnWords are words that no Go name of the module may contain, each with the term to use in its place.
var withdrawnWords = map[string]string{
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

// injectionDirs are the folders in which "fault" is the field's own term: a failure that a test injects.
var injectionDirs = []string{"internal/testbed", "cmd/crosstide-testbed"}

// checkNames reports each withdrawn word in a name that the file declares, in the package's name and in the
// file's own name. Names that are only used are not reported: they are reported where they are declared, or
// belong to another module.
func (f *file) checkNames(tree *ast.File) {
	f.checkName(tree.Name, tree.Name.Name)
	f.checkName(tree.Name, strings.TrimSuffix(path.Base(f.rel), ".go"))
	for _, id := range declaredNames(tree) {
		f.checkName(id, id.Name)
	}
}

// checkName reports the withdrawn words of one name at node.
func (f *file) checkName(node ast.Node, name string) {
	for _, word := range splitWords(name) {
		word = singular(word)
		better, withdrawn := withdrawnWords[word]
		if !withdrawn || word == "fault" && f.in(injectionDirs...) {
			continue
		}
		f.add(node, RuleName, name+" contains "+word+"; use "+better)
	}
}

// singular returns the withdrawn word of which word is a plural, or word itself.
func singular(word string) string {
	if stem, ok := strings.CutSuffix(word, "ies"); ok && withdrawnWords[stem+"y"] != "" {
		return stem + "y"
	}
	if stem, ok := strings.CutSuffix(word, "s"); ok && withdrawnWords[stem] != "" {
		return stem
	}
	return word
}

// splitWords cuts a name at underscores, hyphens, digits and changes of case, and returns its words in lower
// case: "HTTPServer_v2" gives http, server and v.
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

// declaredNames returns the identifiers that the file declares, in the order of the file: imports' local names,
// constants, variables, types, type parameters, functions, methods, fields, parameters, results and labels.
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

// appendIdents appends those of the expressions that are identifiers.
func appendIdents(names []*ast.Ident, exprs ...ast.Expr) []*ast.Ident {
	for _, e := range exprs {
		if id, ok := e.(*ast.Ident); ok {
			names = append(names, id)
		}
	}
	return names
}

// Package lint checks the project's coding rules on the syntax trees of the module. It has no type information:
// a rule is limited to what can be seen in one file, or in the files of one folder.
//
// lint.go reads the files and holds the rules on calls, returns.go the rule on returned errors, names.go the rule
// on withdrawn words and docs.go the rule on doc comments.
package lint

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// Rules by name.
const (
	RuleGo    = "go"    // a goroutine is started outside of internal/routine
	RuleBare  = "bare"  // an error of a call is returned without going through errs or trace
	RuleSleep = "sleep" // a test sleeps
	RuleHTTP  = "http"  // an HTTP server other than nbhttp
	RuleNow   = "now"   // the clock is read outside of internal/clock and internal/testbed
	RuleName  = "name"  // a name contains a withdrawn word
	RuleDoc   = "doc"   // a package, an exported item or an exported method has no doc comment
	RuleParse = "parse" // the file could not be read or parsed
)

// Finding is one place that breaks a rule. File is relative to the scanned folder, with slashes.
type Finding struct {
	File string
	Line int
	Rule string
	Text string
}

// String returns file:line, the rule and what was found.
func (f Finding) String() string { return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Rule, f.Text) }

// Scan checks every Go file under dir, the root of the module, in order of names. Example:
//
//	for _, finding := range lint.Scan("../..") {
//		t.Error(finding)
//	}
func Scan(dir string) []Finding {
	var out []Finding
	docs := packageDocs{}
	err := filepath.WalkDir(dir, func(name string, entry fs.DirEntry, err error) error {
		rel, relErr := filepath.Rel(dir, name)
		if err != nil || relErr != nil {
			out = append(out, Finding{File: filepath.ToSlash(rel), Rule: RuleParse, Text: "cannot be read"})
			return nil
		}
		switch {
		case entry.IsDir() && rel != "." && skipped(entry.Name()):
			return filepath.SkipDir
		case !entry.IsDir() && strings.HasSuffix(entry.Name(), ".go"):
			out = append(out, scanFile(filepath.ToSlash(rel), name, nil, docs)...)
		}
		return nil
	})
	if err != nil {
		out = append(out, Finding{File: ".", Rule: RuleParse, Text: err.Error()})
	}
	return append(out, docs.findings()...)
}

// skipped reports whether a folder of this name holds no source of the module.
func skipped(name string) bool {
	return strings.HasPrefix(name, ".") || name == "testdata" || name == "vendor"
}

// servers are libraries that serve HTTP, by the start of their import path.
var servers = []string{
	"github.com/valyala/fasthttp", "github.com/gin-gonic/", "github.com/labstack/echo", "github.com/gofiber/",
	"github.com/go-chi/", "github.com/gorilla/", "github.com/julienschmidt/httprouter", "github.com/emicklei/",
	"google.golang.org/grpc", "golang.org/x/net/http2", "net/http/pprof", "net/http/fcgi", "net/http/cgi",
}

// file is one source file under check.
type file struct {
	set     *token.FileSet
	rel     string            // relative to the module's root, with slashes
	test    bool              // a _test.go file
	imports map[string]string // local name to path
	out     []Finding
}

// scanFile checks one file: src, or what stands at name if src is nil. It notes in docs whether the file has a
// package comment.
func scanFile(rel, name string, src any, docs packageDocs) []Finding {
	isTest := strings.HasSuffix(rel, "_test.go")
	f := &file{set: token.NewFileSet(), rel: rel, test: isTest, imports: map[string]string{}}
	tree, err := parser.ParseFile(f.set, name, src, parser.ParseComments)
	if err != nil {
		return []Finding{{File: rel, Rule: RuleParse, Text: "cannot be parsed"}}
	}
	for _, imp := range tree.Imports {
		f.imported(imp)
	}
	if !f.test {
		docs.see(rel, tree)
	}
	f.checkNames(tree)
	f.checkDocs(tree)
	ast.Inspect(tree, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			if !f.in("internal/routine") {
				f.add(n, RuleGo, "go statement; use internal/routine")
			}
		case *ast.SelectorExpr:
			f.selected(n)
		case *ast.FuncDecl:
			if n.Body != nil && n.Name.Name != "Unwrap" {
				f.returns(n.Type, n.Body)
			}
		case *ast.FuncLit:
			f.returns(n.Type, n.Body)
		}
		return true
	})
	return f.out
}

// in reports whether the file is below one of the folders.
func (f *file) in(dirs ...string) bool {
	return slices.ContainsFunc(dirs, func(d string) bool { return strings.HasPrefix(f.rel, d+"/") })
}

// add records a finding at a node.
func (f *file) add(n ast.Node, rule, text string) {
	f.out = append(f.out, Finding{f.rel, f.set.Position(n.Pos()).Line, rule, text})
}

// imported takes note of an import and checks what is imported.
func (f *file) imported(imp *ast.ImportSpec) {
	where, err := strconv.Unquote(imp.Path.Value)
	if err != nil {
		return
	}
	local := path.Base(where)
	if imp.Name != nil {
		local = imp.Name.Name
	}
	f.imports[local] = where
	if slices.ContainsFunc(servers, func(s string) bool { return strings.HasPrefix(where, s) }) {
		f.add(imp, RuleHTTP, "import of "+where)
	}
	if where == "golang.org/x/sync/errgroup" && !f.in("internal/routine") {
		f.add(imp, RuleGo, "errgroup starts goroutines; use internal/routine")
	}
	if local == "." && (where == "time" || where == "net/http") {
		f.add(imp, RuleParse, "dot import of "+where+" hides what it is used for")
	}
}

// named returns path.Name of a selector on an import; "" otherwise.
func (f *file) named(e ast.Expr) string {
	s, ok := e.(*ast.SelectorExpr)
	if !ok {
		return ""
	}
	x, ok := s.X.(*ast.Ident)
	if !ok || x.Obj != nil || f.imports[x.Name] == "" {
		return ""
	}
	return f.imports[x.Name] + "." + s.Sel.Name
}

// selected checks the use of an item of another package.
func (f *file) selected(s *ast.SelectorExpr) {
	switch name := f.named(s); name {
	case "time.Sleep":
		if f.test {
			f.add(s, RuleSleep, name)
		}
	case "time.Now", "time.Since", "time.Until":
		if !f.test && !f.in("internal/clock", "internal/testbed") {
			f.add(s, RuleNow, name+"; use clock.Clock")
		}
	case "net/http.Server", "net/http.Serve", "net/http.ServeTLS", "net/http.ListenAndServe",
		"net/http.ListenAndServeTLS", "net/http/httptest.NewServer", "net/http/httptest.NewTLSServer",
		"net/http/httptest.NewUnstartedServer":
		f.add(s, RuleHTTP, name)
	}
}

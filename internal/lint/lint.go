// Package lint checks the project's coding rules on the syntax trees of the module. It has no type information, so each
// rule considers only one file, or the files of one folder.
//
// lint.go parses the files and has the rules on imports and calls, returns.go the rule on returned errors, names.go the
// rule on withdrawn terms and docs.go the rule on doc comments.
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

// Names of the rules.
const (
	RuleGo    = "go"    // a goroutine is started outside internal/routine
	RuleBare  = "bare"  // the error of a call is returned without a call of errs, trace or errors around it
	RuleSleep = "sleep" // a test sleeps
	RuleHTTP  = "http"  // an HTTP server other than nbhttp is used
	RuleNow   = "now"   // the system clock is read outside internal/clock and internal/testbed
	RuleName  = "name"  // a name contains a withdrawn term
	RuleDoc   = "doc"   // a package, an exported item or an exported method has no doc comment
	RuleParse = "parse" // the file could not be read or parsed
)

// Finding is one violation of a rule.
type Finding struct {
	File string // relative to the scanned folder, with slashes
	Line int
	Rule string
	Text string
}

// String returns the finding as file:line: rule: text.
func (f Finding) String() string { return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Rule, f.Text) }

// Scan checks every Go file under dir, the root of the module, in lexical order. Example:
//
//	for _, finding := range lint.Scan("../..") {
//		t.Error(finding)
//	}
func Scan(dir string) []Finding {
	var findings []Finding
	docs := packageDocs{}
	err := filepath.WalkDir(dir, func(name string, entry fs.DirEntry, err error) error {
		rel, relErr := filepath.Rel(dir, name)
		if err != nil || relErr != nil {
			findings = append(findings, Finding{File: filepath.ToSlash(rel), Rule: RuleParse, Text: "cannot be read"})
			return nil
		}
		switch {
		case entry.IsDir() && rel != "." && isSkippedDir(entry.Name()):
			return filepath.SkipDir
		case !entry.IsDir() && strings.HasSuffix(entry.Name(), ".go"):
			findings = append(findings, scanFile(filepath.ToSlash(rel), name, nil, docs)...)
		}
		return nil
	})
	if err != nil {
		findings = append(findings, Finding{File: ".", Rule: RuleParse, Text: err.Error()})
	}
	return append(findings, docs.findings()...)
}

// isSkippedDir reports whether folders of this name contain no source code of the module.
func isSkippedDir(name string) bool {
	return strings.HasPrefix(name, ".") || name == "testdata" || name == "vendor"
}

// httpServers lists the import path prefixes of libraries that serve HTTP.
var httpServers = []string{
	"github.com/valyala/fasthttp", "github.com/gin-gonic/", "github.com/labstack/echo", "github.com/gofiber/",
	"github.com/go-chi/", "github.com/gorilla/", "github.com/julienschmidt/httprouter", "github.com/emicklei/",
	"google.golang.org/grpc", "golang.org/x/net/http2", "net/http/pprof", "net/http/fcgi", "net/http/cgi",
}

// file is the source file being checked.
type file struct {
	set      *token.FileSet
	rel      string            // relative to the module's root, with slashes
	isTest   bool              // a _test.go file
	imports  map[string]string // local name to path
	findings []Finding
}

// scanFile checks one file. Its content is src, or is read from the path name if src is nil. It records in docs whether
// the file has a package comment.
func scanFile(rel, name string, src any, docs packageDocs) []Finding {
	isTest := strings.HasSuffix(rel, "_test.go")
	f := &file{set: token.NewFileSet(), rel: rel, isTest: isTest, imports: map[string]string{}}
	tree, err := parser.ParseFile(f.set, name, src, parser.ParseComments)
	if err != nil {
		return []Finding{{File: rel, Rule: RuleParse, Text: "cannot be parsed"}}
	}
	for _, imp := range tree.Imports {
		f.checkImport(imp)
	}
	if !f.isTest {
		docs.record(rel, tree)
	}
	f.checkNames(tree)
	f.checkDocs(tree)
	ast.Inspect(tree, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			if !f.isBelow("internal/routine") {
				f.add(n, RuleGo, "go statement; use internal/routine")
			}
		case *ast.SelectorExpr:
			f.checkSelector(n)
		case *ast.FuncDecl:
			if n.Body != nil && n.Name.Name != "Unwrap" {
				f.checkReturns(n.Type, n.Body)
			}
		case *ast.FuncLit:
			f.checkReturns(n.Type, n.Body)
		}
		return true
	})
	return f.findings
}

// isBelow reports whether the file is below one of the folders.
func (f *file) isBelow(dirs ...string) bool {
	return slices.ContainsFunc(dirs, func(dir string) bool { return strings.HasPrefix(f.rel, dir+"/") })
}

// add records a finding at a node.
func (f *file) add(n ast.Node, rule, text string) {
	f.findings = append(f.findings, Finding{f.rel, f.set.Position(n.Pos()).Line, rule, text})
}

// checkImport records an import under its local name and checks its path.
func (f *file) checkImport(imp *ast.ImportSpec) {
	importPath, err := strconv.Unquote(imp.Path.Value)
	if err != nil {
		return
	}
	local := path.Base(importPath)
	if imp.Name != nil {
		local = imp.Name.Name
	}
	f.imports[local] = importPath
	if slices.ContainsFunc(httpServers, func(prefix string) bool { return strings.HasPrefix(importPath, prefix) }) {
		f.add(imp, RuleHTTP, "import of "+importPath)
	}
	if importPath == "golang.org/x/sync/errgroup" && !f.isBelow("internal/routine") {
		f.add(imp, RuleGo, "errgroup starts goroutines; use internal/routine")
	}
	if local == "." && (importPath == "time" || importPath == "net/http") {
		f.add(imp, RuleParse, "dot import of "+importPath+" hides which of its identifiers are used")
	}
}

// importedName returns the import path and name, as path.Name, if e is an identifier of an imported package, else "".
func (f *file) importedName(e ast.Expr) string {
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

// checkSelector checks the use of an identifier of another package.
func (f *file) checkSelector(s *ast.SelectorExpr) {
	switch name := f.importedName(s); name {
	case "time.Sleep":
		if f.isTest {
			f.add(s, RuleSleep, name)
		}
	case "time.Now", "time.Since", "time.Until":
		if !f.isTest && !f.isBelow("internal/clock", "internal/testbed") {
			f.add(s, RuleNow, name+"; use clock.Clock")
		}
	case "net/http.Server", "net/http.Serve", "net/http.ServeTLS", "net/http.ListenAndServe",
		"net/http.ListenAndServeTLS", "net/http/httptest.NewServer", "net/http/httptest.NewTLSServer",
		"net/http/httptest.NewUnstartedServer":
		f.add(s, RuleHTTP, name)
	}
}

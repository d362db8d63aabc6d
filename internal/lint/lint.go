// Package lint checks the house's habits on the syntax trees of the module. It knows no types: a rule is what
// can be seen in one file.
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
	RuleBare  = "bare"  // an error of a call is returned without going through fault or trace
	RuleSleep = "sleep" // a test sleeps
	RuleHTTP  = "http"  // an HTTP server other than nbhttp
	RuleNow   = "now"   // the clock is read outside of internal/clock and internal/testbed
	RuleParse = "parse" // the file could not be read or parsed
)

// Finding is one place that breaks a rule. File is relative to the scanned folder, with slashes.
type Finding struct {
	File string
	Line int
	Rule string
	Text string
}

// String gives file:line, the rule and what was found.
func (f Finding) String() string { return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Rule, f.Text) }

// Scan checks every Go file under dir, the root of the module, in order of names. Example:
//
//	for _, f := range habit.Scan("../..") {
//		t.Error(f)
//	}
func Scan(dir string) []Finding {
	var out []Finding
	err := filepath.WalkDir(dir, func(name string, d fs.DirEntry, err error) error {
		rel, relErr := filepath.Rel(dir, name)
		if err != nil || relErr != nil {
			out = append(out, Finding{File: filepath.ToSlash(rel), Rule: RuleParse, Text: "cannot be read"})
			return nil
		}
		base := d.Name()
		switch {
		case d.IsDir() && rel != "." && (strings.HasPrefix(base, ".") || base == "testdata" || base == "vendor"):
			return filepath.SkipDir
		case !d.IsDir() && strings.HasSuffix(base, ".go"):
			out = append(out, scanFile(filepath.ToSlash(rel), name, nil)...)
		}
		return nil
	})
	if err != nil {
		out = append(out, Finding{File: ".", Rule: RuleParse, Text: err.Error()})
	}
	return out
}

// servers are libraries that serve HTTP, by the start of their import path.
var servers = []string{
	"github.com/valyala/fasthttp", "github.com/gin-gonic/", "github.com/labstack/echo", "github.com/gofiber/",
	"github.com/go-chi/", "github.com/gorilla/", "github.com/julienschmidt/httprouter", "github.com/emicklei/",
	"google.golang.org/grpc", "golang.org/x/net/http2", "net/http/pprof", "net/http/fcgi", "net/http/cgi",
}

type file struct {
	set     *token.FileSet
	rel     string
	test    bool
	imports map[string]string // local name to path
	out     []Finding
}

// scanFile checks one file: src, or what stands at name if src is nil.
func scanFile(rel, name string, src any) []Finding {
	f := &file{set: token.NewFileSet(), rel: rel, test: strings.HasSuffix(rel, "_test.go"), imports: map[string]string{}}
	tree, err := parser.ParseFile(f.set, name, src, 0)
	if err != nil {
		return []Finding{{File: rel, Rule: RuleParse, Text: "cannot be parsed"}}
	}
	for _, imp := range tree.Imports {
		f.imported(imp)
	}
	ast.Inspect(tree, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			if !f.in("internal/routine") {
				f.add(n, RuleGo, "go statement; use spawn")
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

func (f *file) in(dirs ...string) bool {
	return slices.ContainsFunc(dirs, func(d string) bool { return strings.HasPrefix(f.rel, d+"/") })
}

func (f *file) add(n ast.Node, rule, text string) {
	f.out = append(f.out, Finding{f.rel, f.set.Position(n.Pos()).Line, rule, text})
}

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
		f.add(imp, RuleGo, "errgroup starts goroutines; use spawn")
	}
	if local == "." && (where == "time" || where == "net/http") {
		f.add(imp, RuleParse, "dot import of "+where+" hides what it is used for")
	}
}

// named gives path.Name of a selector on an import; "" otherwise.
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

func (f *file) selected(s *ast.SelectorExpr) {
	switch name := f.named(s); name {
	case "time.Sleep":
		if f.test {
			f.add(s, RuleSleep, name)
		}
	case "time.Now", "time.Since", "time.Until":
		if !f.test && !f.in("internal/clock", "internal/testbed") {
			f.add(s, RuleNow, name+"; use alarm.Clock")
		}
	case "net/http.Server", "net/http.Serve", "net/http.ServeTLS", "net/http.ListenAndServe",
		"net/http.ListenAndServeTLS", "net/http/httptest.NewServer", "net/http/httptest.NewTLSServer",
		"net/http/httptest.NewUnstartedServer":
		f.add(s, RuleHTTP, name)
	}
}

// returns checks the return statements of one function whose last result is an error.
func (f *file) returns(t *ast.FuncType, body *ast.BlockStmt) {
	if f.test || !f.in("internal", "cmd") || t.Results == nil {
		return
	}
	last := t.Results.List[len(t.Results.List)-1]
	if id, ok := last.Type.(*ast.Ident); !ok || id.Name != "error" {
		return
	}
	ast.Inspect(body, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.FuncLit:
			return false // a function of its own
		case *ast.ReturnStmt:
			var e ast.Expr
			if len(n.Results) > 0 {
				e = n.Results[len(n.Results)-1]
			} else if len(last.Names) > 0 {
				e = last.Names[len(last.Names)-1]
			}
			switch e := e.(type) {
			case *ast.CallExpr:
				if call := f.bare(e); call != "" {
					f.add(n, RuleBare, "returns the error of "+call+" as it came")
				}
			case *ast.Ident:
				if call := f.origin(body, e, n); call != "" {
					f.add(n, RuleBare, fmt.Sprintf("returns %s of %s as it came", e.Name, call))
				}
			}
		}
		return true
	})
}

// bare names the callee if its error is not one that was named: those of fault, trace and errors are.
func (f *file) bare(c *ast.CallExpr) string {
	name := f.named(c.Fun)
	for _, p := range []string{"crosstide/internal/errs.", "github.com/gravitational/trace.", "errors."} {
		if strings.HasPrefix(name, p) {
			return ""
		}
	}
	switch fun := c.Fun.(type) {
	case *ast.Ident:
		if f.in("internal/errs") && slices.Contains([]string{"New", "Field", "Wrap", "Pass"}, fun.Name) {
			return ""
		}
		return fun.Name
	case *ast.SelectorExpr:
		if x, ok := fun.X.(*ast.Ident); ok {
			return x.Name + "." + fun.Sel.Name
		}
		return fun.Sel.Name
	case *ast.IndexExpr:
		return f.bare(&ast.CallExpr{Fun: fun.X})
	case *ast.IndexListExpr:
		return f.bare(&ast.CallExpr{Fun: fun.X})
	}
	return "a call"
}

// source is an assignment: the call it takes its value from, "" if that is no bare call, and the span of
// statements over which its value replaces all earlier ones.
type source struct {
	call       string
	pos        token.Pos
	start, end token.Pos
}

// origin finds a bare call whose error may stand in id at ret: from the nearest assignment that surely came
// before ret, or from one on a branch since. An assignment under `if id != nil` counts as sure: without it the
// value is nil.
func (f *file) origin(body *ast.BlockStmt, id *ast.Ident, ret ast.Node) string {
	if id.Obj == nil || id.Name == "nil" {
		return ""
	}
	var all []source
	var walk func(n ast.Node, start, end token.Pos)
	walk = func(n ast.Node, start, end token.Pos) {
		ast.Inspect(n, func(c ast.Node) bool {
			switch c := c.(type) {
			case *ast.FuncLit:
				return false
			case *ast.IfStmt:
				if c.Init != nil {
					walk(c.Init, c.Pos(), c.End())
				}
				inStart, inEnd := c.Body.Pos(), c.Body.End()
				if notNil(c.Cond, id) {
					inStart, inEnd = start, end
				}
				for _, s := range c.Body.List {
					walk(s, inStart, inEnd)
				}
				if c.Else != nil {
					walk(c.Else, c.Else.Pos(), c.Else.End())
				}
				return false
			case *ast.BlockStmt, *ast.CaseClause, *ast.CommClause, *ast.ForStmt, *ast.RangeStmt:
				if c != n {
					walk(c, c.Pos(), c.End())
					return false
				}
			case *ast.AssignStmt:
				f.assigned(c.Lhs, c.Rhs, id, source{pos: c.Pos(), start: start, end: end}, &all)
			case *ast.ValueSpec:
				lhs := make([]ast.Expr, len(c.Names))
				for i, name := range c.Names {
					lhs[i] = name
				}
				f.assigned(lhs, c.Values, id, source{pos: c.Pos(), start: start, end: end}, &all)
			}
			return true
		})
	}
	walk(body, body.Pos(), body.End())
	slices.SortFunc(all, func(a, b source) int { return int(b.pos - a.pos) })
	for _, s := range all {
		if s.pos > ret.Pos() {
			continue
		}
		if s.call != "" {
			return s.call
		}
		if s.start <= ret.Pos() && ret.End() <= s.end {
			return ""
		}
	}
	return ""
}

func (f *file) assigned(lhs, rhs []ast.Expr, id *ast.Ident, s source, all *[]source) {
	for i, l := range lhs {
		x, ok := l.(*ast.Ident)
		if !ok || x.Obj != id.Obj {
			continue
		}
		var from ast.Expr
		switch {
		case len(rhs) == len(lhs):
			from = rhs[i]
		case len(rhs) == 1 && i == len(lhs)-1:
			from = rhs[0]
		}
		if c, ok := from.(*ast.CallExpr); ok {
			s.call = f.bare(c)
		}
		*all = append(*all, s)
	}
}

// notNil tells whether cond is just `id != nil`.
func notNil(cond ast.Expr, id *ast.Ident) bool {
	b, ok := cond.(*ast.BinaryExpr)
	if !ok || b.Op != token.NEQ {
		return false
	}
	x, isID := b.X.(*ast.Ident)
	y, isNil := b.Y.(*ast.Ident)
	return isID && isNil && x.Obj == id.Obj && y.Name == "nil"
}

package lint

import (
	"fmt"
	"go/ast"
	"go/token"
	"slices"
	"strings"
)

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

// bare names the callee if its error is not one that was named: those of errs, trace and errors are.
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

// origin finds a bare call whose error id may hold at ret: in the nearest assignment that certainly comes before
// ret, or in one on a branch since. An assignment under `if id != nil` counts as sure: without it the
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

// assigned appends to all the source of id, if the assignment of rhs to lhs sets it.
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

// notNil reports whether cond is just `id != nil`.
func notNil(cond ast.Expr, id *ast.Ident) bool {
	b, ok := cond.(*ast.BinaryExpr)
	if !ok || b.Op != token.NEQ {
		return false
	}
	x, isID := b.X.(*ast.Ident)
	y, isNil := b.Y.(*ast.Ident)
	return isID && isNil && x.Obj == id.Obj && y.Name == "nil"
}

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
			f.checkReturn(body, n, returnedError(n, last))
		}
		return true
	})
}

// returnedError returns the expression that a return statement gives its last result, nil if there is none. A bare
// return gives the named result.
func returnedError(statement *ast.ReturnStmt, result *ast.Field) ast.Expr {
	switch {
	case len(statement.Results) > 0:
		return statement.Results[len(statement.Results)-1]
	case len(result.Names) > 0:
		return result.Names[len(result.Names)-1]
	}
	return nil
}

// checkReturn reports a returned error that no function of errs or trace has named.
func (f *file) checkReturn(body *ast.BlockStmt, statement *ast.ReturnStmt, returned ast.Expr) {
	switch returned := returned.(type) {
	case *ast.CallExpr:
		if call := f.bare(returned); call != "" {
			f.add(statement, RuleBare, "returns the error of "+call+" as it came")
		}
	case *ast.Ident:
		if call := f.origin(body, returned, statement); call != "" {
			f.add(statement, RuleBare, fmt.Sprintf("returns %s of %s as it came", returned.Name, call))
		}
	}
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
// ret, or in one on a branch since.
func (f *file) origin(body *ast.BlockStmt, id *ast.Ident, ret ast.Node) string {
	if id.Obj == nil || id.Name == "nil" {
		return ""
	}
	finder := sourceFinder{file: f, id: id}
	finder.walk(body, body.Pos(), body.End())
	slices.SortFunc(finder.found, func(a, b source) int { return int(b.pos - a.pos) })
	for _, s := range finder.found {
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

// sourceFinder collects the assignments to one variable.
type sourceFinder struct {
	file  *file
	id    *ast.Ident
	found []source
}

// walk collects the assignments below n. Their values replace earlier ones from start to end.
func (w *sourceFinder) walk(n ast.Node, start, end token.Pos) {
	ast.Inspect(n, func(c ast.Node) bool {
		switch c := c.(type) {
		case *ast.FuncLit:
			return false
		case *ast.IfStmt:
			w.walkIf(c, start, end)
			return false
		case *ast.BlockStmt, *ast.CaseClause, *ast.CommClause, *ast.ForStmt, *ast.RangeStmt:
			if c != n {
				w.walk(c, c.Pos(), c.End())
				return false
			}
		case *ast.AssignStmt:
			w.assigned(c.Lhs, c.Rhs, source{pos: c.Pos(), start: start, end: end})
		case *ast.ValueSpec:
			names := make([]ast.Expr, len(c.Names))
			for i, name := range c.Names {
				names[i] = name
			}
			w.assigned(names, c.Values, source{pos: c.Pos(), start: start, end: end})
		}
		return true
	})
}

// walkIf collects the assignments of an if statement. One under `if id != nil` counts as sure: without it the value is
// nil.
func (w *sourceFinder) walkIf(statement *ast.IfStmt, start, end token.Pos) {
	if statement.Init != nil {
		w.walk(statement.Init, statement.Pos(), statement.End())
	}
	bodyStart, bodyEnd := statement.Body.Pos(), statement.Body.End()
	if notNil(statement.Cond, w.id) {
		bodyStart, bodyEnd = start, end
	}
	for _, s := range statement.Body.List {
		w.walk(s, bodyStart, bodyEnd)
	}
	if statement.Else != nil {
		w.walk(statement.Else, statement.Else.Pos(), statement.Else.End())
	}
}

// assigned records s as a source of the variable, if the assignment of values to names sets it.
func (w *sourceFinder) assigned(names, values []ast.Expr, s source) {
	for i, name := range names {
		x, ok := name.(*ast.Ident)
		if !ok || x.Obj != w.id.Obj {
			continue
		}
		var from ast.Expr
		switch {
		case len(values) == len(names):
			from = values[i]
		case len(values) == 1 && i == len(names)-1:
			from = values[0]
		}
		if c, ok := from.(*ast.CallExpr); ok {
			s.call = w.file.bare(c)
		}
		w.found = append(w.found, s)
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

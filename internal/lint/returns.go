package lint

import (
	"fmt"
	"go/ast"
	"go/token"
	"slices"
	"strings"
)

// checkReturns checks the return statements of a function, if its last result is an error.
func (f *file) checkReturns(t *ast.FuncType, body *ast.BlockStmt) {
	if f.isTest || !f.isBelow("internal", "cmd") || t.Results == nil {
		return
	}
	last := t.Results.List[len(t.Results.List)-1]
	if id, ok := last.Type.(*ast.Ident); !ok || id.Name != "error" {
		return
	}
	ast.Inspect(body, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.FuncLit:
			return false // ast.Inspect in scanFile visits it separately
		case *ast.ReturnStmt:
			f.checkReturn(body, n, returnedError(n, last))
		}
		return true
	})
}

// returnedError returns the expression for the last result of a return statement: the named result if the statement has
// no expressions, or nil if the result has no name either.
func returnedError(statement *ast.ReturnStmt, result *ast.Field) ast.Expr {
	switch {
	case len(statement.Results) > 0:
		return statement.Results[len(statement.Results)-1]
	case len(result.Names) > 0:
		return result.Names[len(result.Names)-1]
	}
	return nil
}

// checkReturn reports a returned error that comes from a call and was not wrapped by a function of errs, trace or
// errors.
func (f *file) checkReturn(body *ast.BlockStmt, statement *ast.ReturnStmt, returned ast.Expr) {
	switch returned := returned.(type) {
	case *ast.CallExpr:
		if call := f.unwrappedCallee(returned); call != "" {
			f.add(statement, RuleBare, "returns the error of "+call+" unwrapped; use errs")
		}
	case *ast.Ident:
		if call := f.unwrappedSource(body, returned, statement); call != "" {
			f.add(statement, RuleBare, fmt.Sprintf("returns %s of %s unwrapped; use errs", returned.Name, call))
		}
	}
}

// unwrappedCallee returns the name of the function that c calls, or "" if it is one of errs, trace or errors, whose
// results need no wrapping.
func (f *file) unwrappedCallee(c *ast.CallExpr) string {
	name := f.importedName(c.Fun)
	for _, p := range []string{"crosstide/internal/errs.", "github.com/gravitational/trace.", "errors."} {
		if strings.HasPrefix(name, p) {
			return ""
		}
	}
	switch fun := c.Fun.(type) {
	case *ast.Ident:
		if f.isBelow("internal/errs") && slices.Contains([]string{"New", "Field", "Wrap", "Pass"}, fun.Name) {
			return ""
		}
		return fun.Name
	case *ast.SelectorExpr:
		if x, ok := fun.X.(*ast.Ident); ok {
			return x.Name + "." + fun.Sel.Name
		}
		return fun.Sel.Name
	case *ast.IndexExpr:
		return f.unwrappedCallee(&ast.CallExpr{Fun: fun.X})
	case *ast.IndexListExpr:
		return f.unwrappedCallee(&ast.CallExpr{Fun: fun.X})
	}
	return "a call"
}

// source is an assignment to a variable.
type source struct {
	call       string // the unwrapped callee that returns the value; "" if the value has another origin
	pos        token.Pos
	start, end token.Pos // span in which the value certainly replaces all earlier ones
}

// unwrappedSource returns an unwrapped callee whose error id may hold at ret, or "". It considers the last assignment
// that is certainly executed before ret, and later ones in branches.
func (f *file) unwrappedSource(body *ast.BlockStmt, id *ast.Ident, ret ast.Node) string {
	if id.Obj == nil || id.Name == "nil" {
		return ""
	}
	finder := sourceFinder{file: f, id: id}
	finder.walk(body, body.Pos(), body.End())
	slices.SortFunc(finder.sources, func(a, b source) int { return int(b.pos - a.pos) })
	for _, s := range finder.sources {
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
	file    *file
	id      *ast.Ident
	sources []source
}

// walk collects the assignments below n. Outside nested blocks, their values replace earlier ones from start to end.
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
			w.addAssignment(c.Lhs, c.Rhs, source{pos: c.Pos(), start: start, end: end})
		case *ast.ValueSpec:
			names := make([]ast.Expr, len(c.Names))
			for i, name := range c.Names {
				names[i] = name
			}
			w.addAssignment(names, c.Values, source{pos: c.Pos(), start: start, end: end})
		}
		return true
	})
}

// walkIf collects the assignments of an if statement. One in the body of `if id != nil` counts as certainly executed:
// if it is not, the value is nil, which needs no wrapping.
func (w *sourceFinder) walkIf(statement *ast.IfStmt, start, end token.Pos) {
	if statement.Init != nil {
		w.walk(statement.Init, statement.Pos(), statement.End())
	}
	bodyStart, bodyEnd := statement.Body.Pos(), statement.Body.End()
	if isNotNilCheck(statement.Cond, w.id) {
		bodyStart, bodyEnd = start, end
	}
	for _, s := range statement.Body.List {
		w.walk(s, bodyStart, bodyEnd)
	}
	if statement.Else != nil {
		w.walk(statement.Else, statement.Else.Pos(), statement.Else.End())
	}
}

// addAssignment records s as a source of the variable if the assignment of values to names sets it.
func (w *sourceFinder) addAssignment(names, values []ast.Expr, s source) {
	for i, name := range names {
		id, ok := name.(*ast.Ident)
		if !ok || id.Obj != w.id.Obj {
			continue
		}
		var value ast.Expr
		switch {
		case len(values) == len(names):
			value = values[i]
		case len(values) == 1 && i == len(names)-1:
			value = values[0]
		}
		if c, ok := value.(*ast.CallExpr); ok {
			s.call = w.file.unwrappedCallee(c)
		}
		w.sources = append(w.sources, s)
	}
}

// isNotNilCheck reports whether cond is exactly `id != nil`.
func isNotNilCheck(cond ast.Expr, id *ast.Ident) bool {
	b, ok := cond.(*ast.BinaryExpr)
	if !ok || b.Op != token.NEQ {
		return false
	}
	x, isID := b.X.(*ast.Ident)
	y, isNil := b.Y.(*ast.Ident)
	return isID && isNil && x.Obj == id.Obj && y.Name == "nil"
}

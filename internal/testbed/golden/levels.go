package golden

import (
	"go/ast"
	"go/token"
	"strconv"
	"testing"
)

// LeveledMessage is a log line of the code at the level warn or error.
type LeveledMessage struct {
	Package string // name of the package that logs it
	Level   string // "warn" or "error"
	Message string // value of "msg"; empty if it is not a string literal
}

// LeveledMessages lists the log lines at warn and error of the code under root, in the order of the code: calls
// level.Warn(x).Log(…) and level.Error(x).Log(…), and calls v.Log(…) on a variable that the same function sets to one
// of the two. The rest of the code's levels is left out.
func LeveledMessages(t *testing.T, root string) []LeveledMessage {
	t.Helper()
	var out []LeveledMessage
	var pkg string
	var levels map[string]string // of the variables of the function
	each(t, root, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.File:
			pkg = n.Name.Name
		case *ast.FuncDecl:
			levels = map[string]string{}
		case *ast.AssignStmt:
			noteLevels(n, levels)
		case *ast.CallExpr:
			if level := levelOf(n, levels); level != "" {
				out = append(out, LeveledMessage{Package: pkg, Level: level, Message: messageOf(n)})
			}
		}
		return true
	})
	return out
}

// noteLevels records the variables that an assignment sets to a logger at warn or error.
func noteLevels(assign *ast.AssignStmt, levels map[string]string) {
	if len(assign.Lhs) != len(assign.Rhs) {
		return
	}
	for i, value := range assign.Rhs {
		name, isName := assign.Lhs[i].(*ast.Ident)
		if level := leveledLogger(value); level != "" && isName {
			levels[name.Name] = level
		}
	}
}

// levelOf returns the level of a call x.Log(…), or "" if it is no such call or of another level.
func levelOf(call *ast.CallExpr, levels map[string]string) string {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || method.Sel.Name != "Log" {
		return ""
	}
	if name, ok := method.X.(*ast.Ident); ok {
		return levels[name.Name]
	}
	return leveledLogger(method.X)
}

// leveledLogger returns "warn" or "error" for level.Warn(x) or level.Error(x), else "".
func leveledLogger(e ast.Expr) string {
	call, ok := e.(*ast.CallExpr)
	if !ok {
		return ""
	}
	f, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return ""
	}
	if pkg, ok := f.X.(*ast.Ident); !ok || pkg.Name != "level" {
		return ""
	}
	return map[string]string{"Warn": "warn", "Error": "error"}[f.Sel.Name]
}

// messageOf returns the value after "msg" in the arguments of a call, if it is a string literal.
func messageOf(call *ast.CallExpr) string {
	for i := 0; i+1 < len(call.Args); i += 2 {
		if literal(call.Args[i]) == "msg" {
			return literal(call.Args[i+1])
		}
	}
	return ""
}

func literal(e ast.Expr) string {
	lit, ok := e.(*ast.BasicLit)
	if !ok || lit.Kind != token.STRING {
		return ""
	}
	text, err := strconv.Unquote(lit.Value)
	if err != nil {
		return ""
	}
	return text
}

package golden

import (
	"go/ast"
	"go/token"
	"strconv"
	"testing"
)

// LeveledMessage is a log line of the code.
type LeveledMessage struct {
	Package string // name of the package that logs it
	Level   string // "debug", "info", "warn" or "error"
	Message string // value of "msg"; empty if it is not a string literal
}

// LeveledMessages lists the log lines of the code under root, in its order: calls level.Warn(x).Log(…) and those of the
// other levels, and calls v.Log(…) on a variable that the same function has set to level.Warn(x) or another. A line
// whose variable may have several levels is listed once for each.
func LeveledMessages(t *testing.T, root string) []LeveledMessage {
	t.Helper()
	var out []LeveledMessage
	var pkg string
	var levels map[string][]string // of the variables of the function
	each(t, root, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.File:
			pkg = n.Name.Name
		case *ast.FuncDecl:
			levels = map[string][]string{}
		case *ast.AssignStmt:
			noteLevels(n, levels)
		case *ast.CallExpr:
			for _, level := range levelsOf(n, levels) {
				out = append(out, LeveledMessage{Package: pkg, Level: level, Message: messageOf(n)})
			}
		}
		return true
	})
	return out
}

// noteLevels records the variables that an assignment sets to a logger of a level.
func noteLevels(assign *ast.AssignStmt, levels map[string][]string) {
	if len(assign.Lhs) != len(assign.Rhs) {
		return
	}
	for i, value := range assign.Rhs {
		name, isName := assign.Lhs[i].(*ast.Ident)
		if level := leveledLogger(value); level != "" && isName {
			levels[name.Name] = append(levels[name.Name], level)
		}
	}
}

// levelsOf returns the levels that a call x.Log(…) may have; none if it is no such call.
func levelsOf(call *ast.CallExpr, levels map[string][]string) []string {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || method.Sel.Name != "Log" {
		return nil
	}
	if name, ok := method.X.(*ast.Ident); ok {
		return levels[name.Name]
	}
	if level := leveledLogger(method.X); level != "" {
		return []string{level}
	}
	return nil
}

// leveledLogger returns "warn" for level.Warn(x), and so on; "" for what is no such call.
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
	return map[string]string{"Debug": "debug", "Info": "info", "Warn": "warn", "Error": "error"}[f.Sel.Name]
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

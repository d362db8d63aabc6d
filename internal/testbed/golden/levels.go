package golden

import (
	"go/ast"
	"go/token"
	"strconv"
	"testing"
)

// LeveledMessage is the level and message of a log call in the code.
type LeveledMessage struct {
	Package string // name of the package that logs it
	Level   string // "debug", "info", "warn" or "error"
	Message string // value of "msg"; empty if it is not a string literal
}

// LeveledMessages lists the log calls of the code under root in source order: level.Warn(x).Log(…) and those of the
// other levels, and v.Log(…) on a variable that the same function has set to a leveled logger such as level.Warn(x). A
// call whose variable may have several levels is listed once for each level.
func LeveledMessages(t *testing.T, root string) []LeveledMessage {
	t.Helper()
	var messages []LeveledMessage
	var pkg string
	var levels map[string][]string // by variable of the current function
	inspectFiles(t, root, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.File:
			pkg = n.Name.Name
		case *ast.FuncDecl:
			levels = map[string][]string{}
		case *ast.AssignStmt:
			recordLevels(n, levels)
		case *ast.CallExpr:
			for _, level := range levelsOf(n, levels) {
				messages = append(messages, LeveledMessage{Package: pkg, Level: level, Message: messageOf(n)})
			}
		}
		return true
	})
	return messages
}

// recordLevels records the variables that an assignment sets to a leveled logger.
func recordLevels(assign *ast.AssignStmt, levels map[string][]string) {
	if len(assign.Lhs) != len(assign.Rhs) {
		return
	}
	for i, value := range assign.Rhs {
		name, isName := assign.Lhs[i].(*ast.Ident)
		if level := loggerLevel(value); level != "" && isName {
			levels[name.Name] = append(levels[name.Name], level)
		}
	}
}

// levelsOf returns the levels that a call x.Log(…) may have, or nil if it is not a call of Log on a leveled logger.
func levelsOf(call *ast.CallExpr, levels map[string][]string) []string {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || method.Sel.Name != "Log" {
		return nil
	}
	if name, ok := method.X.(*ast.Ident); ok {
		return levels[name.Name]
	}
	if level := loggerLevel(method.X); level != "" {
		return []string{level}
	}
	return nil
}

// loggerLevel returns the level of a call level.Debug(x), level.Info(x), level.Warn(x) or level.Error(x), for example
// "warn", and "" for any other expression.
func loggerLevel(e ast.Expr) string {
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

// messageOf returns the value after "msg" in the arguments of a call, or "" if it is not a string literal.
func messageOf(call *ast.CallExpr) string {
	for i := 0; i+1 < len(call.Args); i += 2 {
		if stringLiteral(call.Args[i]) == "msg" {
			return stringLiteral(call.Args[i+1])
		}
	}
	return ""
}

func stringLiteral(e ast.Expr) string {
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

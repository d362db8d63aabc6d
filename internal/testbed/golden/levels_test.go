package golden

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
)

func TestLeveledMessages_listsEveryPossibleLevel(t *testing.T) {
	root := t.TempDir()
	write := func(name, text string) {
		if err := os.WriteFile(filepath.Join(root, name), []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	write("a.go", `package a
func f() {
	_ = level.Warn(log).Log("msg", "disk slow", "for", 3)
	_ = level.Info(log).Log("msg", "started")
	_ = level.Error(log).Log("err", nil, "msg", "store halted")
	at := level.Warn(log)
	if quiet {
		at = level.Info(log)
	}
	_ = at.Log("msg", "joined again")
	_ = level.Error(log).Log("msg", text)
}
func g() { _ = at.Log("msg", "variable of another function") }
`)
	write("a_test.go", `package a
func h() { _ = level.Warn(log).Log("msg", "call in a test") }
`)
	want := []LeveledMessage{
		{"a", "warn", "disk slow"}, {"a", "info", "started"}, {"a", "error", "store halted"},
		{"a", "warn", "joined again"}, {"a", "info", "joined again"}, {"a", "error", ""},
	}
	if got := LeveledMessages(t, root); !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"crosstide/internal/testbed/commandline"
	"crosstide/internal/testbed/golden"
)

// program is this program. Failure formats a command's error for the golden file.
var program = commandline.Program{
	New:     newApp,
	Failure: func(err error) string { return "failed: " + err.Error() },
}

// TestGoldenOutput pins the requests and the output of the clients' commands, for successful and failed requests.
func TestGoldenOutput(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "file"), []byte(`{"key":"j"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	node := commandline.StartNode(t)
	commands := []string{
		"job submit --addr ADDR DIR/file", "job submit --addr ADDR DIR/nofile", "job submit --addr ADDR",
		"job show --addr ADDR a/b", "job show --addr ADDR", "job cancel --addr ADDR a/b", "job cancel --addr ADDR",
		"job cancel --addr ADDR a b", "job cancel --addr ADDR --team t a", "job cancel --addr ADDR --queue q",
		"job list --addr ADDR", "job list --addr ADDR --team t --state running --after a/b",
		"jobs submit --addr ADDR DIR/file", "jobs submit --addr ADDR DIR/nofile", "jobs show --addr ADDR a/b",
		"jobs cancel --addr ADDR a/b", "jobs list --addr ADDR",
		"jobs list --addr ADDR --queue q --state running --after a --limit 0", "jobs queues --addr ADDR",
	}
	var parts []string
	for _, answer := range []struct {
		status int
		body   string
	}{
		{http.StatusOK, " {\"a\":1}\n"},
		{http.StatusAccepted, ""},
		{http.StatusConflict, `{"kind":"conflict","message":"taken"}` + "\n"},
	} {
		node.Answer(answer.status, map[string]string{"": answer.body})
		for _, line := range commands {
			label := fmt.Sprintf("%s, status %d", line, answer.status)
			parts = append(parts, golden.Lines(label, node.Run(t, program, dir, line)...))
		}
	}
	node.Stop(t)
	parts = append(parts, golden.Lines("node gone", node.Run(t, program, dir, "jobs queues --addr ADDR")...))
	golden.Compare(t, "outputs", parts...)
}

package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"crosstide/internal/rpc"
	"crosstide/internal/testbed/golden"
)

// node is a stand-in for a node that clients' commands ask: it keeps each request's text and sends one answer.
type node struct {
	addr string
	stop func()

	mu       sync.Mutex // guards what follows
	requests []string
	status   int
	answer   string
}

func startNode(t *testing.T) *node {
	t.Helper()
	n := &node{}
	server := rpc.NewServer(rpc.ServerOptions{Addr: "127.0.0.1:0"})
	server.Route("/", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.requests = append(n.requests, fmt.Sprint(r.Method, " ", r.RequestURI, " ", string(body)))
		w.WriteHeader(n.status)
		_, _ = io.WriteString(w, n.answer)
	})
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	n.addr = server.Addr()
	n.stop = func() {
		if err := server.Stop(time.Minute); err != nil {
			t.Error(err)
		}
	}
	return n
}

// run runs the program with the arguments, in which ADDR stands for the node and DIR for dir, and returns what it
// asked, what it printed and how it ended.
func (n *node) run(t *testing.T, dir, line string) []string {
	t.Helper()
	n.mu.Lock()
	n.requests = nil
	n.mu.Unlock()
	args := []string{"crosstide-dataplane"}
	for _, word := range strings.Fields(line) {
		args = append(args, strings.NewReplacer("ADDR", n.addr, "DIR", dir).Replace(word))
	}
	out, err := os.Create(filepath.Join(dir, "stdout"))
	if err != nil {
		t.Fatal(err)
	}
	stdout := os.Stdout
	os.Stdout = out
	failure := newApp().Run(t.Context(), args)
	os.Stdout = stdout
	if err := out.Close(); err != nil {
		t.Fatal(err)
	}
	printed, err := os.ReadFile(out.Name())
	if err != nil {
		t.Fatal(err)
	}
	n.mu.Lock()
	lines := append([]string{"$ " + line}, n.requests...)
	n.mu.Unlock()
	lines = append(lines, fmt.Sprintf("stdout %q", printed))
	if failure != nil {
		lines = append(lines, "failed: "+strings.NewReplacer(n.addr, "ADDR", dir, "DIR").Replace(failure.Error()))
	}
	return lines
}

// TestGoldenOutput pins what the clients' commands ask of a node and what they print, answered and refused.
func TestGoldenOutput(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "file"), []byte(`{"key":"j"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	n := startNode(t)
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
	}{{http.StatusOK, " {\"a\":1}\n"}, {http.StatusAccepted, ""}, {http.StatusConflict, `{"kind":"conflict","message":"taken"}` + "\n"}} {
		n.mu.Lock()
		n.status, n.answer = answer.status, answer.body
		n.mu.Unlock()
		for _, line := range commands {
			parts = append(parts, golden.Lines(fmt.Sprintf("%s, status %d", line, answer.status), n.run(t, dir, line)...))
		}
	}
	n.stop()
	parts = append(parts, golden.Lines("node gone", n.run(t, dir, "jobs queues --addr ADDR")...))
	golden.Compare(t, "outputs", parts...)
}

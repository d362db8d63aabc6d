// Package commandline runs the commands of a program against a stand-in for a node, for tests that pin what the
// commands send and print. The commands run in the test's process with os.Stdout replaced, so tests that use the
// package must not run in parallel.
//
// Begin with StartNode, set an answer with Node.Answer, then call Node.Run for each command line.
package commandline

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/urfave/cli/v3"

	"crosstide/internal/rpc"
)

// Program is the program whose commands are run.
type Program struct {
	New     func() *cli.Command    // a new command line for each run
	Failure func(err error) string // the line that pins how a command failed
}

// Node is a stand-in for the node that commands call: it records each request and sends the answer that is set.
type Node struct {
	server *rpc.Server

	mu       sync.Mutex // guards the fields below
	requests []string   // since Run started
	status   int
	bodies   map[string]string // by path; that of "" is for all other paths
}

// signed matches an operator's signature in a query or a body, which differs in each run as the operator's key does.
var signed = regexp.MustCompile(`(sig=|"sig":")[^&" ]+`)

// StartNode starts a node on a free port. The caller stops it.
func StartNode(t *testing.T) *Node {
	t.Helper()
	n := &Node{server: rpc.NewServer(rpc.ServerOptions{Addr: "127.0.0.1:0"})}
	n.server.Route("/", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		request := fmt.Sprint(r.Method, " ", r.RequestURI, " ", string(body))
		n.requests = append(n.requests, signed.ReplaceAllString(request, "${1}SIGNATURE"))
		answer, ok := n.bodies[r.URL.Path]
		if !ok {
			answer = n.bodies[""]
		}
		w.WriteHeader(n.status)
		_, _ = io.WriteString(w, answer)
	})
	if err := n.server.Start(); err != nil {
		t.Fatal(err)
	}
	return n
}

// Stop stops the node.
func (n *Node) Stop(t *testing.T) {
	t.Helper()
	if err := n.server.Stop(time.Minute); err != nil {
		t.Error(err)
	}
}

// Answer sets the status and the bodies, by path, of the answers from now on. The body under "" is for all other paths.
func (n *Node) Answer(status int, bodies map[string]string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.status, n.bodies = status, bodies
}

// Run runs a command line of a program, in which ADDR stands for the node's address and DIR for the folder dir. It
// returns the line, the requests to the node, what was printed, and how the command failed, if it did. The file stdout
// of dir is overwritten.
func (n *Node) Run(t *testing.T, program Program, dir, line string) []string {
	t.Helper()
	n.mu.Lock()
	n.requests = nil
	n.mu.Unlock()
	app := program.New()
	args := []string{app.Name}
	for _, word := range strings.Fields(line) {
		args = append(args, strings.NewReplacer("ADDR", n.server.Addr(), "DIR", dir).Replace(word))
	}
	stdout, err := os.Create(filepath.Join(dir, "stdout"))
	if err != nil {
		t.Fatal(err)
	}
	original := os.Stdout
	os.Stdout = stdout
	failure := app.Run(t.Context(), args)
	os.Stdout = original
	if err := stdout.Close(); err != nil {
		t.Fatal(err)
	}
	printed, err := os.ReadFile(stdout.Name())
	if err != nil {
		t.Fatal(err)
	}
	n.mu.Lock()
	lines := append([]string{"$ " + line}, n.requests...)
	n.mu.Unlock()
	lines = append(lines, fmt.Sprintf("stdout %q", printed))
	if failure != nil {
		masked := strings.NewReplacer(n.server.Addr(), "ADDR", dir, "DIR").Replace(program.Failure(failure))
		lines = append(lines, masked)
	}
	return lines
}

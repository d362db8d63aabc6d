// Package commandline runs the commands of a program against a fake node, for tests that pin the requests and the
// output of the commands. The commands run in the test's process with os.Stdout replaced, so tests that use the package
// must not run in parallel.
//
// Start a node with StartNode, set its answers with Node.Answer, then call Node.Run for each command line.
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

// Program describes the program under test.
type Program struct {
	New     func() *cli.Command    // returns a new root command for each run
	Failure func(err error) string // formats the error of a command as an output line
}

// Node is a fake node: it records each request and sends the answers set by Answer.
type Node struct {
	server *rpc.Server

	mu       sync.Mutex // guards the fields below
	requests []string   // received since the start of Run
	status   int
	bodies   map[string]string // by path; "" is the default
}

// signaturePattern matches an operator's signature in a query or a body. Signatures differ between runs because the
// operator's key does.
var signaturePattern = regexp.MustCompile(`(sig=|"sig":")[^&" ]+`)

// StartNode starts a node on a free port. The caller must call Stop.
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
		n.requests = append(n.requests, signaturePattern.ReplaceAllString(request, "${1}SIGNATURE"))
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

// Stop shuts the node down.
func (n *Node) Stop(t *testing.T) {
	t.Helper()
	if err := n.server.Stop(time.Minute); err != nil {
		t.Error(err)
	}
}

// Answer sets the status of subsequent answers, and their bodies by path. The body under "" is for all other paths.
func (n *Node) Answer(status int, bodies map[string]string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.status, n.bodies = status, bodies
}

// Run runs a command line of a program, after replacing ADDR by the node's address and DIR by dir. It returns the
// command line, the requests that the node received, the output, and the error line if the command failed. The file
// stdout in dir is overwritten.
func (n *Node) Run(t *testing.T, program Program, dir, line string) []string {
	t.Helper()
	n.mu.Lock()
	n.requests = nil
	n.mu.Unlock()
	root := program.New()
	args := []string{root.Name}
	for _, argument := range strings.Fields(line) {
		args = append(args, strings.NewReplacer("ADDR", n.server.Addr(), "DIR", dir).Replace(argument))
	}
	stdout, err := os.Create(filepath.Join(dir, "stdout"))
	if err != nil {
		t.Fatal(err)
	}
	original := os.Stdout
	os.Stdout = stdout
	failure := root.Run(t.Context(), args)
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

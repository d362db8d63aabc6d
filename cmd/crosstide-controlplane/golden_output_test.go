package main

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"crosstide/internal/account"
	"crosstide/internal/controller"
	"crosstide/internal/httpapi/jobsapi"
	"crosstide/internal/httpapi/operatorapi"
	"crosstide/internal/internalapi"
	"crosstide/internal/rpc"
	"crosstide/internal/state/command"
	"crosstide/internal/testbed/golden"
)

// node is a stand-in for a node that operators' commands ask: it keeps each request's text and sends the answer that
// is set.
type node struct {
	addr string
	stop func()

	mu       sync.Mutex // guards what follows
	requests []string
	status   int
	answers  map[string]string
}

// signed matches what differs in each run, as the operator's key does: the signature in a query or a body.
var signed = regexp.MustCompile(`(sig=|"sig":")[^&" ]+`)

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
		n.requests = append(n.requests, signed.ReplaceAllString(fmt.Sprint(r.Method, " ", r.RequestURI, " ", string(body)), "${1}SIGNATURE"))
		text, ok := n.answers[r.URL.Path]
		if !ok {
			text = n.answers[""]
		}
		w.WriteHeader(n.status)
		_, _ = io.WriteString(w, text)
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

// answer sets what the node answers from now on: a status, and bodies by path, the one under "" for all other paths.
func (n *node) answer(status int, answers map[string]string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.status, n.answers = status, answers
}

// run runs the program with the arguments, in which ADDR stands for the node and DIR for dir, and returns what it
// asked, what it printed and how it ended.
func (n *node) run(t *testing.T, dir, line string) []string {
	t.Helper()
	n.mu.Lock()
	n.requests = nil
	n.mu.Unlock()
	args := []string{"crosstide-controlplane"}
	for _, word := range strings.Fields(line) {
		word = strings.ReplaceAll(word, "ADDR", n.addr)
		args = append(args, strings.ReplaceAll(word, "DIR", dir))
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
		lines = append(lines, fmt.Sprintf("exit %d: %s", exitCode(failure),
			strings.ReplaceAll(failure.Error(), n.addr, "ADDR")))
	}
	return lines
}

// filled is the JSON of an answer with every field set.
func filled(v any) string {
	lines := strings.Split(strings.TrimSpace(golden.Filled("answer", v)), "\n")
	return strings.TrimPrefix(lines[len(lines)-1], "= ")
}

// commandCases are the operators' commands that ask a node, and the answer of the node.
var commandCases = []struct {
	line   string
	answer any
}{
	{"account create --addr ADDR --order o1 --key DIR/key --credit 7 acme/x", command.AccountCreated{}},
	{"account create --addr ADDR --order o1 acme", command.AccountCreated{}},
	{"account top-up --addr ADDR --order o1 --key DIR/key acme 12", account.TopUp{}},
	{"account top-up --addr ADDR --order o1 acme 0", account.TopUp{}},
	{"account show --addr ADDR acme", internalapi.AccountView{}},
	{"account list --addr ADDR", internalapi.AccountsAnswer{}},
	{"account ledger --addr ADDR --after 3 acme", internalapi.LedgerAnswer{}},
	{"account export --addr ADDR acme", "a,b\n"},
	{"bundle put --addr ADDR --order o1 --key DIR/key --base 4 DIR/file", command.BundleDrafted{}},
	{"bundle patch --addr ADDR --order o1 --base 4 DIR/file", command.BundleDrafted{}},
	{"bundle sign --addr ADDR --order o1 --key DIR/key 5", command.BundleSigned{}},
	{"bundle sign --addr ADDR --order o1 --key DIR/key --sha 00 5", command.BundleSigned{}},
	{"bundle sign --addr ADDR --order o1 5", command.BundleSigned{}},
	{"bundle sign --addr ADDR --order o1 --key DIR/key five", command.BundleSigned{}},
	{"bundle show --addr ADDR current", "exact bytes"},
	{"bundle log --addr ADDR --limit 9", operatorapi.Log{}},
	{"bundle diff --addr ADDR 1 2/3", operatorapi.Difference{}},
	{"rollout --addr ADDR", operatorapi.Rollout{}},
	{"zone evacuate --addr ADDR --order o1 --key DIR/key z1", command.ZoneEvacuation{}},
	{"zone lift --addr ADDR --order o1 --key DIR/key z1", command.ZoneEvacuation{}},
	{"zone list --addr ADDR", operatorapi.Zones{}},
	{"who --addr ADDR", operatorapi.Who{}},
	{"member list --addr ADDR", operatorapi.Who{}},
	{"member replace --addr ADDR --order o1 new/1 old", "{\"done\":true}\n"},
	{"minion list --addr ADDR", operatorapi.Workers{}},
	{"minion drain --addr ADDR --order o1 m1", "{}\n"},
	{"minion open --addr ADDR --order o1 m1", "{}\n"},
	{"minion retire --addr ADDR --order o1 m1", "{}\n"},
	{"minion retire --addr ADDR --order o1", "{}\n"},
	{"jobs config get --addr ADDR", "{\"queues\":{}}\n"},
	{"jobs config put --addr ADDR DIR/file", "{\"version\":2}\n"},
	{"jobs config patch --addr ADDR DIR/file", "{\"version\":3}\n"},
	{"jobs config patch --addr ADDR", "{\"version\":3}\n"},
	{"jobs evacuate --addr ADDR z/1", "{}\n"},
	{"jobs restore --addr ADDR z1", "{}\n"},
	{"jobs topology --addr ADDR", controller.TopologyAnswer{}},
	{"jobs workers --addr ADDR", jobsapi.Workers{}},
	{"rollout --addr ADDR", `{"version":4,"in_force":"2026-01-02T03:04:05Z","nodes":[{"node":"n","version":4,"took":1234567}]}`},
	{"member list --addr ADDR", `{"store":"a","members":[{"id":"a~1"},{"id":"b"}],"status":{"quorum":{"match":{"a~1":7}}}}`},
	{"who --addr ADDR", `{"members":[{"id":"b"}]}`},
	{"minion list --addr ADDR", `{"minions":[{"name":"m"}]}`},
	{"bundle check DIR/file", nil},
	{"key show DIR/nokey", nil},
}

// TestGoldenOutput pins what the operators' commands ask of a node and what they print, with answers that have every
// field, answers that have none, and failures.
func TestGoldenOutput(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "file"), []byte(`{"queues":{"default":{}}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	n := startNode(t)
	n.run(t, dir, "key new ada DIR/key")
	var parts []string
	for _, c := range commandCases {
		body, isText := c.answer.(string)
		if !isText && c.answer != nil {
			body = filled(c.answer)
		}
		answers := map[string]string{"": body}
		if strings.HasPrefix(c.line, "zone lift") {
			answers["/v1/zones"] = `{"zones":[{"zone":"z1","since":"2026-01-02T03:04:05Z"}]}`
		}
		n.answer(http.StatusOK, answers)
		lines := n.run(t, dir, c.line)
		if !isText && c.answer != nil {
			lines = append(lines, n.run(t, dir, c.line+" --json")...)
			empty := maps.Clone(answers)
			empty[""] = "{}"
			n.answer(http.StatusOK, empty)
			lines = append(lines, n.run(t, dir, c.line)...)
		}
		parts = append(parts, golden.Lines(c.line, lines...))
	}
	for _, failure := range []struct {
		status int
		body   string
	}{{http.StatusConflict, `{"kind":"conflict","field":"base","message":"4 is not the newest"}`}, {http.StatusBadGateway, "no JSON"},
		{http.StatusOK, "no JSON"}, {http.StatusNoContent, ""}} {
		n.answer(failure.status, map[string]string{"": failure.body})
		var lines []string
		for _, line := range []string{"who --addr ADDR", "account create --addr ADDR --order o1 acme", "jobs config get --addr ADDR", "zone lift --addr ADDR --order o1 z1"} {
			lines = append(lines, n.run(t, dir, line)...)
		}
		parts = append(parts, golden.Lines(fmt.Sprintf("status %d, body %q", failure.status, failure.body), lines...))
	}
	n.stop()
	parts = append(parts, golden.Lines("node gone", n.run(t, dir, "who --addr ADDR")...))
	golden.Compare(t, "outputs", parts...)
}

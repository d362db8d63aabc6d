package main

import (
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"crosstide/internal/account"
	"crosstide/internal/controller"
	"crosstide/internal/httpapi/jobsapi"
	"crosstide/internal/httpapi/operatorapi"
	"crosstide/internal/internalapi"
	"crosstide/internal/state/command"
	"crosstide/internal/testbed/commandline"
	"crosstide/internal/testbed/golden"
)

// program is this program. Failure formats a command's error for the golden file.
var program = commandline.Program{
	New:     newApp,
	Failure: func(err error) string { return fmt.Sprintf("exit %d: %s", exitCode(err), err.Error()) },
}

// filled returns the JSON of an answer of v's type with every field set.
func filled(v any) string {
	lines := strings.Split(strings.TrimSpace(golden.Filled("answer", v)), "\n")
	return strings.TrimPrefix(lines[len(lines)-1], "= ")
}

// commandCases lists command lines with the answer of the node: a text, a value of the answer's type, which runAnswered
// fills in, or nil for a command that calls no node.
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
	{"bundle log --addr ADDR --limit 9", operatorapi.BundleList{}},
	{"bundle diff --addr ADDR 1 2/3", operatorapi.BundleDiff{}},
	{"rollout --addr ADDR", operatorapi.Rollout{}},
	{"zone evacuate --addr ADDR --order o1 --key DIR/key z1", command.ZoneEvacuation{}},
	{"zone lift --addr ADDR --order o1 --key DIR/key z1", command.ZoneEvacuation{}},
	{"zone list --addr ADDR", operatorapi.Zones{}},
	{"who --addr ADDR", operatorapi.ClusterStatus{}},
	{"member list --addr ADDR", operatorapi.ClusterStatus{}},
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
	{"rollout --addr ADDR",
		`{"version":4,"in_force":"2026-01-02T03:04:05Z","nodes":[{"node":"n","version":4,"took":1234567}]}`},
	{"member list --addr ADDR",
		`{"store":"a","members":[{"id":"a~1"},{"id":"b"}],"status":{"quorum":{"match":{"a~1":7}}}}`},
	{"who --addr ADDR", `{"members":[{"id":"b"}]}`},
	{"minion list --addr ADDR", `{"minions":[{"name":"m"}]}`},
	{"bundle check DIR/file", nil},
	{"key show DIR/nokey", nil},
}

// TestGoldenOutput pins the requests and the output of the operators' commands, for answers with every field, answers
// without fields, and failures.
func TestGoldenOutput(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "file"), []byte(`{"queues":{"default":{}}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	node := commandline.StartNode(t)
	node.Run(t, program, dir, "key new ada DIR/key")
	var parts []string
	for _, test := range commandCases {
		parts = append(parts, golden.Lines(test.line, runAnswered(t, node, dir, test.line, test.answer)...))
	}
	for _, failure := range []struct {
		status int
		body   string
	}{
		{http.StatusConflict, `{"kind":"conflict","field":"base","message":"4 is not the newest"}`},
		{http.StatusBadGateway, "no JSON"},
		{http.StatusOK, "no JSON"},
		{http.StatusNoContent, ""},
	} {
		node.Answer(failure.status, map[string]string{"": failure.body})
		var lines []string
		for _, line := range []string{
			"who --addr ADDR", "account create --addr ADDR --order o1 acme", "jobs config get --addr ADDR",
			"zone lift --addr ADDR --order o1 z1",
		} {
			lines = append(lines, node.Run(t, program, dir, line)...)
		}
		label := fmt.Sprintf("status %d, body %q", failure.status, failure.body)
		parts = append(parts, golden.Lines(label, lines...))
	}
	node.Stop(t)
	parts = append(parts, golden.Lines("node gone", node.Run(t, program, dir, "who --addr ADDR")...))
	golden.Compare(t, "outputs", parts...)
}

// runAnswered runs a command line with an answer of commandCases. If the answer is a value, it also runs the line with
// --json, and with an answer that has no fields.
func runAnswered(t *testing.T, node *commandline.Node, dir, line string, answer any) []string {
	t.Helper()
	body, isText := answer.(string)
	isValue := !isText && answer != nil
	if isValue {
		body = filled(answer)
	}
	bodies := map[string]string{"": body}
	if strings.HasPrefix(line, "zone lift") {
		bodies["/v1/zones"] = `{"zones":[{"zone":"z1","since":"2026-01-02T03:04:05Z"}]}`
	}
	node.Answer(http.StatusOK, bodies)
	lines := node.Run(t, program, dir, line)
	if isValue {
		lines = append(lines, node.Run(t, program, dir, line+" --json")...)
		empty := maps.Clone(bodies)
		empty[""] = "{}"
		node.Answer(http.StatusOK, empty)
		lines = append(lines, node.Run(t, program, dir, line)...)
	}
	return lines
}

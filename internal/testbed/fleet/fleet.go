// Package fleet knows a fleet on one machine: its nodes, its processes, whether they are ready and who leads.
// The processes themselves are started by scripts/fleet; of the programs only drill rehearse starts any, by that
// script.
package fleet

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"crosstide/internal/errs"
)

// Node is one process of the fleet.
type Node struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	Addr string `json:"addr"`
	Rack string `json:"rack,omitempty"`
	Kind string `json:"kind,omitempty"` // of a minion: obey or check
	Host string `json:"host,omitempty"` // of a hollow minion: the process that it shares, as in DIR/pids

	Cores  int               `json:"cores,omitempty"` // of a minion
	GPUs   int               `json:"gpus,omitempty"`
	Labels map[string]string `json:"labels,omitempty"`
}

// Process returns the name that the node's process has in DIR/pids.
func (n Node) Process() string { return cmp.Or(n.Host, n.Name) }

// Nodes is DIR/nodes.json.
type Nodes struct {
	ControlPlanes []Node `json:"cplanes"`
	DataPlanes    []Node `json:"dplanes"`
	Workers       []Node `json:"minions"`
	ProxyAddr     string `json:"link,omitempty"` // where the process of the faulty links takes orders
}

// All returns every node.
func (n Nodes) All() []Node {
	out := make([]Node, 0, len(n.ControlPlanes)+len(n.DataPlanes)+len(n.Workers))
	return append(append(append(out, n.ControlPlanes...), n.DataPlanes...), n.Workers...)
}

// ProcessesInZone returns the names of all processes in a zone.
func (n Nodes) ProcessesInZone(zone string) []string {
	var out []string
	for _, node := range n.All() {
		if name := node.Process(); node.Zone == zone && !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	return out
}

// Read reads DIR/nodes.json. Faults: Disk, Malformed. Example:
//
//	nodes, err := fleet.Read(dir)
func Read(dir string) (Nodes, error) {
	var out Nodes
	data, err := os.ReadFile(filepath.Join(dir, "nodes.json"))
	if err != nil {
		return out, errs.Wrap(err, errs.Disk, "nodes of the fleet")
	}
	return out, errs.Wrap(json.Unmarshal(data, &out), errs.Malformed, "nodes.json")
}

// PIDs reads DIR/pids: pid by name. Faults: Disk, Malformed.
func PIDs(dir string) (map[string]int, error) {
	data, err := os.ReadFile(filepath.Join(dir, "pids"))
	if err != nil {
		return nil, errs.Wrap(err, errs.Disk, "pids of the fleet")
	}
	out := map[string]int{}
	for line := range strings.Lines(string(data)) {
		var name string
		var pid int
		if _, err := fmt.Sscan(line, &name, &pid); err != nil || pid < 2 {
			return nil, errs.New(errs.Malformed, "pids: line %q", strings.TrimSpace(line))
		}
		out[name] = pid
	}
	return out, nil
}

// Kill is Signal with SIGKILL.
func Kill(dir, name string) error { return errs.Pass(Signal(dir, name, unix.SIGKILL), "kill") }

// Signal sends a signal to the named process of the fleet, if the pid still is that process. Faults: as of Pid.
func Signal(dir, name string, sig unix.Signal) error {
	pid, err := PID(dir, name)
	if err != nil {
		return errs.Pass(err, "signal %s", name)
	}
	return errs.Wrap(unix.Kill(pid, sig), errs.Unknown, "signal %s, pid %d", name, pid)
}

// PID returns the pid of a node that runs: the process with the pid of DIR/pids must have the command line of
// DIR/start. Faults: Disk, Malformed, Unknown (no such process any more).
func PID(dir, name string) (int, error) {
	pids, err := PIDs(dir)
	if err != nil {
		return 0, errs.Pass(err, "pid of %s", name)
	}
	pid, ok := pids[name]
	if !ok {
		return 0, errs.New(errs.Unknown, "%s has no pid", name)
	}
	starts, err := os.ReadFile(filepath.Join(dir, "start"))
	if err != nil {
		return 0, errs.Wrap(err, errs.Disk, "start lines of the fleet")
	}
	argv, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/cmdline")
	if err != nil {
		return 0, errs.Wrap(err, errs.Unknown, "%s, pid %d", name, pid)
	}
	line := name + " " + strings.Join(strings.Split(strings.TrimRight(string(argv), "\x00"), "\x00"), " ")
	if !strings.Contains("\n"+string(starts), "\n"+line+"\n") {
		return 0, errs.New(errs.Unknown, "pid %d is not %s any more", pid, name)
	}
	return pid, nil
}

// Leaders is the answer of GET /v1/who.
type Leaders struct {
	Store     string `json:"store"`
	Scheduler string `json:"sched"`
}

// FindLeaders asks the cplanes in turn and takes the first answer that names both holders, else the best one.
// Failure: Unavailable, if none answers.
func FindLeaders(ctx context.Context, c *Caller, n Nodes) (Leaders, error) {
	var best Leaders
	err := errs.New(errs.Unavailable, "no cplane tells who leads")
	for _, node := range n.ControlPlanes {
		reply, fail := c.Call(ctx, http.MethodGet, node.Addr, "/v1/who", nil, 2*time.Second)
		var got Leaders
		if fail != nil || !reply.IsSuccess() || json.Unmarshal(reply.Body, &got) != nil {
			continue
		}
		got.Store, _, _ = strings.Cut(got.Store, "~") // a repaired cplane's id is NAME~INCARNATION
		if got.Store != "" && got.Scheduler != "" {
			return got, nil
		}
		best, err = got, nil
	}
	return best, err
}

// NotReady names what is not ready: cplanes and dplanes whose /readyz is not 200, minions without a boot in the store.
func NotReady(ctx context.Context, c *Caller, n Nodes) []string {
	var notReady []string
	started := map[string]bool{}
	for _, node := range append(append([]Node{}, n.ControlPlanes...), n.DataPlanes...) {
		if reply, err := c.Call(ctx, http.MethodGet, node.Addr, "/readyz", nil, time.Second); err != nil || !reply.IsSuccess() {
			notReady = append(notReady, node.Name)
		}
	}
	for _, node := range n.ControlPlanes {
		reply, err := c.Call(ctx, http.MethodGet, node.Addr, "/v1/minions", nil, 2*time.Second)
		if err == nil && reply.IsSuccess() {
			started = parseIncarnations(reply.Body)
			break
		}
	}
	for _, node := range n.Workers {
		if !started[node.Name] {
			notReady = append(notReady, node.Name)
		}
	}
	return notReady
}

// parseIncarnations reads the answer of GET /v1/minions, a list or an object with the list under "minions".
func parseIncarnations(body []byte) map[string]bool {
	type workerView struct{ Name, Boot string }
	var list []workerView
	if json.Unmarshal(body, &list) != nil {
		var page struct{ Minions []workerView }
		if json.Unmarshal(body, &page) == nil {
			list = page.Minions
		}
	}
	out := map[string]bool{}
	for _, m := range list {
		out[m.Name] = m.Boot != ""
	}
	return out
}

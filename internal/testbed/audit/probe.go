package audit

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/routine"
	"crosstide/internal/testbed/fleet"
	"crosstide/internal/testbed/load"
)

const (
	maxProbed    = 500 // accepted jobs that are polled
	probesAtOnce = 16
	probeTimeout = 2 * time.Second
)

// Caller sends one call to a node (*fleet.Caller). It may be called from many goroutines.
type Caller interface {
	Call(ctx context.Context, method, addr, path string, in any, timeout time.Duration) (fleet.Reply, error)
}

// probe polls up to maxProbed accepted jobs, evenly spaced in the order of their keys, at the nodes round-robin. It
// returns the history with the answers added as polls of a client, and the number of answers. A node that is down or
// cannot confirm its state adds nothing.
func probe(ctx context.Context, h History, caller Caller, nodes []fleet.Node) (History, int) {
	jobs := slices.Sorted(maps.Keys(acceptedJobs(h)))
	if len(nodes) == 0 || len(jobs) == 0 {
		return h, 0
	}
	stride := max(1, (len(jobs)+maxProbed-1)/maxProbed)
	var mu sync.Mutex
	probed, answered := History{Events: slices.Clone(h.Events)}, 0
	routine.Each((len(jobs)+stride-1)/stride, probesAtOnce, func(i int) {
		e, ok := probeJob(ctx, caller, nodes[i%len(nodes)], jobs[i*stride])
		if !ok {
			return
		}
		e.Line = i + 1
		mu.Lock()
		defer mu.Unlock()
		answered++
		probed.Events = append(probed.Events, e)
	})
	return probed, answered
}

// probeJob asks a node for a job and returns the answer as a poll of a client. It returns false if the call failed,
// or if the answer is neither a job nor a 404: then it proves nothing.
func probeJob(ctx context.Context, caller Caller, node fleet.Node, job string) (Event, bool) {
	reply, err := caller.Call(ctx, http.MethodGet, node.Addr, "/v1/jobs/"+job, nil, probeTimeout)
	if err != nil || !reply.IsSuccess() && reply.Status != http.StatusNotFound {
		return Event{}, false
	}
	e := Event{Source: Client, File: "probe", Node: node.Name, State: load.Missing}
	e.Event, e.Job, e.At = load.Poll, job, time.Now().UnixNano()
	if reply.IsSuccess() {
		var view struct{ State string }
		if json.Unmarshal(reply.Body, &view) != nil {
			return Event{}, false
		}
		e.State = view.State
	}
	e.Raw = fmt.Sprintf(`{"at":%d,"ev":"poll","job":%q,"state":%q,"node":%q}`, e.At, e.Job, e.State, e.Node)
	return e, true
}

// CheckFleet checks the invariants on the journals of the fleet in dir and on the answers of its data planes, if they
// run, to polls of accepted jobs. Failures: those of Read.
func CheckFleet(ctx context.Context, dir string) ([]Finding, error) {
	history, err := Read(dir)
	if err != nil {
		return nil, errs.Pass(err, "journals of %s", dir)
	}
	answered := 0
	if nodes, err := fleet.Read(dir); err == nil {
		history, answered = probe(ctx, history, fleet.NewCaller(probesAtOnce), nodes.DataPlanes)
	}
	findings := Check(history)
	for i, f := range findings {
		if f.Invariant == knownInvariant {
			findings[i].Note = strings.TrimPrefix(f.Note+fmt.Sprintf("; %d jobs polled at the end", answered), "; ")
		}
	}
	return findings, nil
}

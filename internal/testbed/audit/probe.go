package audit

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"crosstide/internal/routine"
	"crosstide/internal/testbed/fleet"
	"crosstide/internal/testbed/load"
)

// maxProbed bounds how many accepted jobs are asked for.
const maxProbed = 500

// Caller sends one call to a node (*fleet.Caller).
type Caller interface {
	Call(ctx context.Context, method, addr, path string, in any, timeout time.Duration) (fleet.Reply, error)
}

// Probe polls accepted jobs, spread evenly over all, once at each in turn of the nodes, and gives the history
// with what was answered, and how many answered. A node that is down or cannot confirm tells nothing.
func Probe(ctx context.Context, h History, c Caller, nodes []fleet.Node) (History, int) {
	jobs := slices.Sorted(maps.Keys(acceptedJobs(h)))
	if len(nodes) == 0 || len(jobs) == 0 {
		return h, 0
	}
	step := max(1, (len(jobs)+maxProbed-1)/maxProbed)
	var mu sync.Mutex
	out := History{Events: slices.Clone(h.Events)}
	got := 0
	routine.Each((len(jobs)+step-1)/step, 16, func(i int) {
		node := nodes[i%len(nodes)]
		reply, err := c.Call(ctx, http.MethodGet, node.Addr, "/v1/jobs/"+jobs[i*step], nil, 2*time.Second)
		if err != nil || !reply.IsSuccess() && reply.Status != http.StatusNotFound {
			return
		}
		e := Event{Source: Client, File: "probe", Line: i + 1, Node: node.Name, State: load.Missing}
		e.Event, e.Job, e.At = load.Poll, jobs[i*step], time.Now().UnixNano()
		if reply.IsSuccess() {
			var view struct{ State string }
			if json.Unmarshal(reply.Body, &view) != nil {
				return
			}
			e.State = view.State
		}
		e.Raw = fmt.Sprintf(`{"at":%d,"ev":"poll","job":%q,"state":%q,"node":%q}`, e.At, e.Job, e.State, e.Node)
		mu.Lock()
		defer mu.Unlock()
		got++
		out.Events = append(out.Events, e)
	})
	return out, got
}

package fleet

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"crosstide/internal/errs"
)

const (
	readyTimeout = time.Second
	readTimeout  = 2 * time.Second
)

// Leaders is the answer of GET /v1/who: the nodes that lead the store and hold the scheduler role; empty: unknown.
type Leaders struct {
	Store     string `json:"store"`
	Scheduler string `json:"sched"`
}

// FindLeaders asks the control planes in turn and returns the first answer that names both leaders, else the last one.
// Failure: Unavailable, if none answers.
func FindLeaders(ctx context.Context, c *Caller, n Nodes) (Leaders, error) {
	var last Leaders
	err := errs.New(errs.Unavailable, "no cplane tells who leads")
	for _, node := range n.ControlPlanes {
		reply, callErr := c.Call(ctx, http.MethodGet, node.Addr, "/v1/who", nil, readTimeout)
		var got Leaders
		if callErr != nil || !reply.IsSuccess() || json.Unmarshal(reply.Body, &got) != nil {
			continue
		}
		got.Store, _, _ = strings.Cut(got.Store, "~") // a repaired node's ID is NAME~INCARNATION
		if got.Store != "" && got.Scheduler != "" {
			return got, nil
		}
		last, err = got, nil
	}
	return last, err
}

// NotReady names the nodes that are not ready: control and data planes whose /readyz is not 200, workers without an
// incarnation in the store.
func NotReady(ctx context.Context, c *Caller, n Nodes) []string {
	var out []string
	for _, node := range slices.Concat(n.ControlPlanes, n.DataPlanes) {
		reply, err := c.Call(ctx, http.MethodGet, node.Addr, "/readyz", nil, readyTimeout)
		if err != nil || !reply.IsSuccess() {
			out = append(out, node.Name)
		}
	}
	isKnown := knownWorkers(ctx, c, n)
	for _, node := range n.Workers {
		if !isKnown[node.Name] {
			out = append(out, node.Name)
		}
	}
	return out
}

// knownWorkers returns the workers that the first control plane to answer knows an incarnation of.
func knownWorkers(ctx context.Context, c *Caller, n Nodes) map[string]bool {
	for _, node := range n.ControlPlanes {
		reply, err := c.Call(ctx, http.MethodGet, node.Addr, "/v1/minions", nil, readTimeout)
		if err == nil && reply.IsSuccess() {
			return parseWorkers(reply.Body)
		}
	}
	return nil
}

// parseWorkers reads the answer of GET /v1/minions, a list or an object with the list under "minions": by name,
// whether the worker has an incarnation.
func parseWorkers(body []byte) map[string]bool {
	type worker struct {
		Name        string `json:"name"`
		Incarnation string `json:"boot"`
	}
	var list []worker
	if json.Unmarshal(body, &list) != nil {
		var page struct {
			Workers []worker `json:"minions"`
		}
		if json.Unmarshal(body, &page) == nil {
			list = page.Workers
		}
	}
	out := map[string]bool{}
	for _, w := range list {
		out[w.Name] = w.Incarnation != ""
	}
	return out
}

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

// NotReady returns the names of the nodes that are not ready: control and data planes whose /readyz is not 200, workers
// without an incarnation in the store.
func NotReady(ctx context.Context, c *Caller, n Nodes) []string {
	var notReady []string
	for _, node := range slices.Concat(n.ControlPlanes, n.DataPlanes) {
		reply, err := c.Call(ctx, http.MethodGet, node.Addr, "/readyz", nil, readyTimeout)
		if err != nil || !reply.IsSuccess() {
			notReady = append(notReady, node.Name)
		}
	}
	isKnown := knownWorkers(ctx, c, n)
	for _, node := range n.Workers {
		if !isKnown[node.Name] {
			notReady = append(notReady, node.Name)
		}
	}
	return notReady
}

// knownWorkers returns, by name, whether the first control plane that answers has an incarnation of the worker.
func knownWorkers(ctx context.Context, c *Caller, n Nodes) map[string]bool {
	for _, node := range n.ControlPlanes {
		reply, err := c.Call(ctx, http.MethodGet, node.Addr, "/v1/minions", nil, readTimeout)
		if err == nil && reply.IsSuccess() {
			return parseWorkers(reply.Body)
		}
	}
	return nil
}

// parseWorkers parses the answer of GET /v1/minions, which is a list or an object with the list under "minions". It
// returns, by name, whether the worker has an incarnation.
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
	hasIncarnation := map[string]bool{}
	for _, w := range list {
		hasIncarnation[w.Name] = w.Incarnation != ""
	}
	return hasIncarnation
}

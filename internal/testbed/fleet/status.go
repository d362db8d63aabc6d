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

// Leaders is the answer of GET /v1/who: the leader of the store and the holder of the scheduler role. Empty means
// unknown.
type Leaders struct {
	Store     string `json:"store"`
	Scheduler string `json:"sched"`
}

// FindLeaders asks one control plane after another and returns the first answer that names both leaders, or else the
// last answer. Failure: Unavailable (none answered).
func FindLeaders(ctx context.Context, c *Caller, n Nodes) (Leaders, error) {
	var last Leaders
	err := errs.New(errs.Unavailable, "no cplane answered GET /v1/who")
	for _, node := range n.ControlPlanes {
		reply, callErr := c.Call(ctx, http.MethodGet, node.Addr, "/v1/who", nil, readTimeout)
		var leaders Leaders
		if callErr != nil || !reply.IsSuccess() || json.Unmarshal(reply.Body, &leaders) != nil {
			continue
		}
		leaders.Store, _, _ = strings.Cut(leaders.Store, "~") // a repaired node's ID is NAME~INCARNATION
		if leaders.Store != "" && leaders.Scheduler != "" {
			return leaders, nil
		}
		last, err = leaders, nil
	}
	return last, err
}

// NotReady returns the names of the nodes that are not ready: control and data planes whose /readyz does not answer
// 200, and workers without an incarnation in the store.
func NotReady(ctx context.Context, c *Caller, n Nodes) []string {
	var notReady []string
	for _, node := range slices.Concat(n.ControlPlanes, n.DataPlanes) {
		reply, err := c.Call(ctx, http.MethodGet, node.Addr, "/readyz", nil, readyTimeout)
		if err != nil || !reply.IsSuccess() {
			notReady = append(notReady, node.Name)
		}
	}
	hasIncarnation := registeredWorkers(ctx, c, n)
	for _, node := range n.Workers {
		if !hasIncarnation[node.Name] {
			notReady = append(notReady, node.Name)
		}
	}
	return notReady
}

// registeredWorkers returns by name, from the first control plane that answers, whether a worker has an incarnation. It
// returns nil if none answers.
func registeredWorkers(ctx context.Context, c *Caller, n Nodes) map[string]bool {
	for _, node := range n.ControlPlanes {
		reply, err := c.Call(ctx, http.MethodGet, node.Addr, "/v1/minions", nil, readTimeout)
		if err == nil && reply.IsSuccess() {
			return parseWorkers(reply.Body)
		}
	}
	return nil
}

// parseWorkers parses the answer of GET /v1/minions, which is a list or an object with the list under "minions". It
// returns by name whether a worker has an incarnation.
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

package operatorapi

import (
	"net/http"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/rpc"
	"crosstide/internal/state"
	"crosstide/internal/state/query"
)

// Zones is the response to GET /v1/zones.
type Zones struct {
	Zones []query.ZoneView `json:"zones"`
}

// Rollout is the response to GET /v1/rollout: the version in force, since when it is in force, and the version of each
// node. Unresponsive lists the members of the store that did not answer.
type Rollout struct {
	Version      uint64        `json:"version"`
	InForceSince time.Time     `json:"in_force,omitzero"`
	Nodes        []NodeRollout `json:"nodes"`
	Unresponsive []string      `json:"silent,omitempty"`
}

// NodeRollout is the version of one node. Took is the time from when the version came into force until the node had it,
// by the clocks of two control-plane nodes; 0 while the node has another version.
type NodeRollout struct {
	internalapi.NodeBundle
	Current bool          `json:"current"`
	Took    time.Duration `json:"took,omitempty"`
}

// serveRollout registers the routes for the rollout of a bundle and for the evacuated zones.
func serveRollout(srv *rpc.Server, s Store) {
	route(srv, "GET /v1/zones", func(r *http.Request) (any, error) {
		var answer Zones
		err := s.Read(r.Context(), func(st *state.State) { answer.Zones = query.Zones(st) })
		return answer, errs.Pass(err, "zones")
	})
	route(srv, "GET /v1/rollout", func(r *http.Request) (any, error) {
		answer, err := rollout(r, s)
		return answer, errs.Pass(err, "rollout")
	})
}

// rollout returns the response to GET /v1/rollout.
func rollout(r *http.Request, s Store) (Rollout, error) {
	var answer Rollout
	err := s.Read(r.Context(), func(st *state.State) {
		answer.Version = st.Bundle.Version
		if revision := st.Revision(answer.Version); revision != nil {
			answer.InForceSince = revision.InForceSince
		}
	})
	if err != nil {
		return answer, errs.Pass(err, "rollout")
	}
	nodes, silent := s.Rollout(r.Context())
	answer.Unresponsive = silent
	for _, node := range nodes {
		entry := NodeRollout{NodeBundle: node, Current: node.Version >= answer.Version}
		if node.Version == answer.Version {
			entry.Took = max(0, node.Since.Sub(answer.InForceSince))
		}
		answer.Nodes = append(answer.Nodes, entry)
	}
	return answer, nil
}

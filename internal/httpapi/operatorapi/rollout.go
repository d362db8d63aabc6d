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

// Zones is the answer of GET /v1/zones.
type Zones struct {
	Zones []query.ZoneView `json:"zones"`
}

// Rollout is the answer of GET /v1/rollout: the version in force and since when, and every node with its own version.
// Silent names the members of the store that did not answer.
type Rollout struct {
	Version      uint64        `json:"version"`
	InForceSince time.Time     `json:"in_force,omitzero"`
	Nodes        []NodeRollout `json:"nodes"`
	Silent       []string      `json:"silent,omitempty"`
}

// NodeRollout is one node. Took is from when the version came in force until the node had it, by the clocks of two
// control plane nodes; 0 while the node has another one.
type NodeRollout struct {
	internalapi.NodeBundle
	Current bool          `json:"current"`
	Took    time.Duration `json:"took,omitempty"`
}

// serveRollout adds the routes that say how far a bundle has come, and which zones are evacuated.
func serveRollout(srv *rpc.Server, s Store) {
	route(srv, "GET /v1/zones", func(r *http.Request) (any, error) {
		var out Zones
		err := s.Read(r.Context(), func(st *state.State) { out.Zones = query.Zones(st) })
		return out, errs.Pass(err, "zones")
	})
	route(srv, "GET /v1/rollout", func(r *http.Request) (any, error) {
		out, err := rollout(r, s)
		return out, errs.Pass(err, "rollout")
	})
}

// rollout is the answer of GET /v1/rollout.
func rollout(r *http.Request, s Store) (Rollout, error) {
	var out Rollout
	err := s.Read(r.Context(), func(st *state.State) {
		out.Version = st.Bundle.Version
		if revision := st.Revision(out.Version); revision != nil {
			out.InForceSince = revision.InForceSince
		}
	})
	if err != nil {
		return out, errs.Pass(err, "rollout")
	}
	nodes, silent := s.Rollout(r.Context())
	out.Silent = silent
	for _, node := range nodes {
		one := NodeRollout{NodeBundle: node, Current: node.Version >= out.Version}
		if node.Version == out.Version {
			one.Took = max(0, node.Since.Sub(out.InForceSince))
		}
		out.Nodes = append(out.Nodes, one)
	}
	return out, nil
}

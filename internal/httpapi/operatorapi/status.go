package operatorapi

import (
	"context"
	"net/http"
	"slices"

	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/membership"
	"crosstide/internal/raft"
	"crosstide/internal/rpc"
	"crosstide/internal/state"
	"crosstide/internal/state/query"
)

// Workers is the answer of GET /v1/minions.
type Workers struct {
	Workers []query.WorkerView `json:"minions"`
}

// Who is the answer of GET /v1/who: the names of the store's leader and of the node with the role sched, "" if there is
// none, and the members of the store.
type Who struct {
	Store     string                    `json:"store"`
	Scheduler string                    `json:"sched"`
	Members   []raft.Member             `json:"members"`
	Evacuated []string                  `json:"evacuated,omitempty"`
	Status    *internalapi.StatusAnswer `json:"status,omitempty"` // of the node that answers
	// Nodes are all of a small cluster, else a part, as the node that answers knows them.
	Nodes []membership.MemberStatus `json:"nodes,omitempty"`
}

// serveStatus adds the routes that list workers and say who leads.
func serveStatus(srv *rpc.Server, s Store, name func(id string) string, nodes func() []membership.MemberStatus) {
	route(srv, "GET /v1/minions", func(r *http.Request) (any, error) {
		var out Workers
		err := s.Read(r.Context(), func(st *state.State) { out.Workers = query.Workers(st) })
		return out, errs.Pass(err, "workers")
	})
	route(srv, "GET /v1/who", func(r *http.Request) (any, error) {
		out, err := who(r.Context(), s)
		out.Store, out.Nodes = name(out.Status.Raft.Leader), nodes()
		return out, errs.Pass(err, "who")
	})
}

// who is the answer of GET /v1/who, but for Store and Nodes.
func who(ctx context.Context, s Store) (Who, error) {
	var out Who
	err := s.Read(ctx, func(st *state.State) {
		if role := st.Roles[state.SchedulerRole]; role != nil {
			out.Scheduler = role.Holder
		}
		for zone := range st.Evacuated {
			out.Evacuated = append(out.Evacuated, zone)
		}
		slices.Sort(out.Evacuated)
	})
	status := s.Status()
	out.Members, out.Status = status.Raft.Members, &status
	return out, errs.Pass(err, "who")
}

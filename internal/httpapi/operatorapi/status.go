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

// Workers is the response to GET /v1/minions.
type Workers struct {
	Workers []query.WorkerView `json:"minions"`
}

// ClusterStatus is the response to GET /v1/who. Store and Scheduler are the names of the store's leader and of the
// node with the role sched, empty if no node has the role. Members are the members of the store.
type ClusterStatus struct {
	Store     string                    `json:"store"`
	Scheduler string                    `json:"sched"`
	Members   []raft.Member             `json:"members"`
	Evacuated []string                  `json:"evacuated,omitempty"`
	Status    *internalapi.StatusAnswer `json:"status,omitempty"` // of the node that answers
	// Nodes are the nodes known to the node that answers: all nodes of a small cluster, a subset of a large one.
	Nodes []membership.MemberStatus `json:"nodes,omitempty"`
}

// serveStatus registers the routes that list the workers and name the leader and the scheduler.
func serveStatus(srv *rpc.Server, s Store, name func(id string) string, nodes func() []membership.MemberStatus) {
	route(srv, "GET /v1/minions", func(r *http.Request) (any, error) {
		var answer Workers
		err := s.Read(r.Context(), func(st *state.State) { answer.Workers = query.Workers(st) })
		return answer, errs.Pass(err, "workers")
	})
	route(srv, "GET /v1/who", func(r *http.Request) (any, error) {
		answer, err := who(r.Context(), s)
		answer.Store, answer.Nodes = name(answer.Status.Raft.Leader), nodes()
		return answer, errs.Pass(err, "who")
	})
}

// who returns the response to GET /v1/who without Store and Nodes. Members and Status are set even if it fails.
func who(ctx context.Context, s Store) (ClusterStatus, error) {
	var answer ClusterStatus
	err := s.Read(ctx, func(st *state.State) {
		if role := st.Roles[state.SchedulerRole]; role != nil {
			answer.Scheduler = role.Holder
		}
		for zone := range st.Evacuated {
			answer.Evacuated = append(answer.Evacuated, zone)
		}
		slices.Sort(answer.Evacuated)
	})
	status := s.Status()
	answer.Members, answer.Status = status.Raft.Members, &status
	return answer, errs.Pass(err, "who")
}

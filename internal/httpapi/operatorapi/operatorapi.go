// Package operatorapi answers the operators' API at a cplane. Any cplane answers: orders go to the leader, reads
// are as new as the call.
package operatorapi

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"

	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/membership"
	"crosstide/internal/raft"
	"crosstide/internal/rpc"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
	"crosstide/internal/state/query"
)

// Store is what the API needs of the control store.
type Store interface {
	// ProposeOrForward commits a command at the leader, wherever that is, and returns its answer.
	ProposeOrForward(ctx context.Context, c command.Command) (json.RawMessage, error)
	// Read looks at a state that has all that was committed before the call.
	Read(ctx context.Context, read func(*state.State)) error
	Status() internalapi.StatusAnswer
	Roller
}

const (
	maxBody    = 64 << 10
	maxOrderID = 200 // bytes
)

// checkOrderID refuses an order without an id, or with one that is too long.
func checkOrderID(id string) error {
	if id == "" || len(id) > maxOrderID {
		return errs.Field(errs.Invalid, "order", "must be 1 to %d bytes, is %d", maxOrderID, len(id))
	}
	return nil
}

// ProposeOrForward is the body of every order. The same id with the same content is carried out once and answered alike.
type Order struct {
	Order string `json:"order"`
	By    string `json:"by,omitempty"`  // of evacuate and lift: the operator who signs
	Sig   string `json:"sig,omitempty"` // over signature.Evacuate or signature.Lift, in base64
}

// Workers is the answer of GET /v1/minions.
type Workers struct {
	Workers []query.WorkerView `json:"minions"`
}

// Who is the answer of GET /v1/who: the names of the holders, "" if there is none, and the members of the store.
type Who struct {
	Store     string                    `json:"store"`
	Scheduler string                    `json:"sched"`
	Members   []raft.Member             `json:"members"`
	Evacuated []string                  `json:"evacuated,omitempty"`
	Status    *internalapi.StatusAnswer `json:"status,omitempty"` // of the cplane that answers
	Nodes     []membership.MemberStatus `json:"nodes,omitempty"`  // as the cplane that answers knows them: all of a small fleet, else a part
}

// Serve adds the routes:
//
//	POST /v1/bundles?order=ID&base=V&by=NAME&sig=S        body: the exact bytes; a draft against the newest version V
//	POST /v1/bundles/patch?order=ID&base=V&by=NAME&sig=S  body: a JSON merge patch on V
//	POST /v1/bundles/{version}/sign  {"order","sha256","by","sig"}  the second operator puts it in force
//	GET  /v1/bundles?limit=N         the versions, newest first, without bodies
//	GET  /v1/bundles/{version}       one version without its body; also "current" and "newest"
//	GET  /v1/bundles/{version}/body  the exact bytes
//	GET  /v1/bundles/{version}/diff/{other}
//	GET  /v1/rollout                 which version every node has
//	GET  /v1/zones                   the evacuated zones
//	POST /v1/zones/{zone}/evacuate  {"order":"id","by","sig"}   no new starts there, what runs is stopped
//	POST /v1/zones/{zone}/lift      {"order":"id","by","sig"}   two operators are needed
//	POST /v1/minions/{name}/drain   {"order":"id"}   no new starts on it
//	POST /v1/minions/{name}/open    {"order":"id"}
//	POST /v1/minions/{name}/retire  {"order":"id"}   it must be empty
//	POST /v1/members/{old}/replace/{new}  {"order":"id"}   the cplane new may join in the place of old
//	GET  /v1/minions
//	GET  /v1/who
//	/v1/accounts…                   see serveAccounts
//
// Once the store knows operators, what needs a signature and has none is Forbidden; before that, zones take orders
// without one. Failures: Malformed, TooLarge, Forbidden, Invalid, Unknown, Conflict, Overloaded, Unavailable, Timeout
// (send the same order again).
func Serve(srv *rpc.Server, s Store, name func(id string) string, nodes func() []membership.MemberStatus) {
	serveOrders(srv, s)
	serveBundles(srv, s)
	serveAccounts(srv, s)
	srv.Route("GET /v1/minions", func(w http.ResponseWriter, r *http.Request) {
		var out Workers
		err := s.Read(r.Context(), func(st *state.State) { out.Workers = query.Workers(st) })
		write(w, out, err)
	})
	srv.Route("GET /v1/who", func(w http.ResponseWriter, r *http.Request) {
		out, err := who(r.Context(), s)
		out.Store, out.Nodes = name(out.Status.Raft.Leader), nodes()
		write(w, out, err)
	})
}

// write answers v, or the failure if there is one.
func write(w http.ResponseWriter, v any, err error) {
	if err != nil {
		rpc.WriteError(w, err)
		return
	}
	rpc.WriteJSON(w, http.StatusOK, v)
}

// who returns the holder of sched, the evacuated zones and the members of the store.
func who(ctx context.Context, s Store) (Who, error) {
	var out Who
	err := s.Read(ctx, func(st *state.State) {
		if d := st.Roles["sched"]; d != nil {
			out.Scheduler = d.Holder
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

// serveOrders adds the routes of the orders that name their object in the path.
func serveOrders(srv *rpc.Server, s Store) {
	order := func(pattern string, make func(r *http.Request, in Order) command.Command) {
		srv.Route("POST "+pattern, func(w http.ResponseWriter, r *http.Request) {
			answer, err := readOrder(r, s, make)
			write(w, answer, err)
		})
	}
	order("/v1/zones/{zone}/evacuate", func(r *http.Request, in Order) command.Command {
		return &command.EvacuateZone{Order: in.Order, Zone: r.PathValue("zone"), Out: true, By: in.By, Sig: in.Sig}
	})
	order("/v1/zones/{zone}/lift", func(r *http.Request, in Order) command.Command {
		return &command.EvacuateZone{Order: in.Order, Zone: r.PathValue("zone"), By: in.By, Sig: in.Sig}
	})
	order("/v1/minions/{name}/drain", func(r *http.Request, in Order) command.Command {
		return &command.CloseWorker{Order: in.Order, Worker: r.PathValue("name"), Closed: true}
	})
	order("/v1/minions/{name}/open", func(r *http.Request, in Order) command.Command {
		return &command.CloseWorker{Order: in.Order, Worker: r.PathValue("name")}
	})
	order("/v1/minions/{name}/retire", func(r *http.Request, in Order) command.Command {
		return &command.CloseWorker{Order: in.Order, Worker: r.PathValue("name"), Retire: true}
	})
	order("/v1/members/{old}/replace/{new}", func(r *http.Request, in Order) command.Command {
		return &command.ReplaceMember{Order: in.Order, Old: r.PathValue("old"), New: r.PathValue("new")}
	})
}

// readOrder reads an order and commits the command that make makes of it.
func readOrder(r *http.Request, s Store, make func(r *http.Request, in Order) command.Command) (json.RawMessage, error) {
	raw, err := rpc.ReadBody(r, maxBody)
	if err != nil {
		return nil, errs.Pass(err, "order")
	}
	var body Order
	if err := json.Unmarshal(raw, &body); err != nil {
		return nil, errs.Wrap(err, errs.Malformed, "the body must be {\"order\":\"id\"}")
	}
	if err := checkOrderID(body.Order); err != nil {
		return nil, errs.Pass(err, "order")
	}
	answer, err := s.ProposeOrForward(r.Context(), make(r, body))
	return answer, errs.Pass(err, "order %s", body.Order)
}

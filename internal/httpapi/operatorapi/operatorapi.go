// Package operatorapi is the operators' API of the policy deployment, served by every control-plane node: policy
// bundles, zones, workers, members and accounts. Any node accepts orders, which the leader commits; reads include every
// commit made before the call. The package keeps no state: it reads and commits through Store.
//
// Entry point: Register, which registers all routes. Their handlers are in orders.go (orders whose target is in the
// path), bundle.go, rollout.go, account.go and status.go.
package operatorapi

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"crosstide/internal/internalapi"
	"crosstide/internal/membership"
	"crosstide/internal/rpc"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

// Store is the part of the replicated store that the API uses.
type Store interface {
	// ProposeOrForward commits a command at the leader, whichever node that is, and returns the command's answer. After
	// errs.Timeout the command may have been committed; it may be sent again.
	ProposeOrForward(ctx context.Context, c command.Command) (json.RawMessage, error)
	// Read runs read on a state that includes every command committed before the call. read must not keep the state,
	// and does not run if Read fails.
	Read(ctx context.Context, read func(*state.State)) error
	// Status returns the status of this node.
	Status() internalapi.StatusAnswer
	// Rollout returns the bundle version of every node, and the members of the store that did not answer.
	Rollout(ctx context.Context) (nodes []internalapi.NodeBundle, silent []string)
}

// Register registers the routes:
//
//	POST /v1/bundles?order=ID&base=V&by=NAME&sig=S        body: the exact bytes; a draft based on the newest version V
//	POST /v1/bundles/patch?order=ID&base=V&by=NAME&sig=S  body: a JSON merge patch on V
//	POST /v1/bundles/{version}/sign  {"order","sha256","by","sig"}  the second signature puts it in force
//	GET  /v1/bundles?limit=N         the versions, newest first, without bodies
//	GET  /v1/bundles/{version}       one version without its body; also "current" and "newest"
//	GET  /v1/bundles/{version}/body  the exact bytes
//	GET  /v1/bundles/{version}/diff/{other}
//	GET  /v1/rollout                 which version every node has
//	GET  /v1/zones                   the evacuated zones
//	POST /v1/zones/{zone}/evacuate  {"order":"id","by","sig"}   no new starts there; running tasks are stopped
//	POST /v1/zones/{zone}/lift      {"order":"id","by","sig"}   two operators must sign
//	POST /v1/minions/{name}/drain   {"order":"id"}   no new starts on it
//	POST /v1/minions/{name}/open    {"order":"id"}
//	POST /v1/minions/{name}/retire  {"order":"id"}   it must be empty
//	POST /v1/members/{old}/replace/{new}  {"order":"id"}   the node new may join in place of old
//	GET  /v1/minions
//	GET  /v1/who
//	/v1/accounts…                   see serveAccounts
//
// name returns the name of the node with a member ID; nodes returns the cluster's nodes that this node knows.
//
// Once the store has operators, a request that needs a signature and has none fails with Forbidden; before that, orders
// for zones need none. Errors: Malformed, TooLarge, Forbidden, Invalid, Unknown, Conflict, Overloaded, Unavailable,
// Timeout (send the same order again).
func Register(srv *rpc.Server, s Store, name func(id string) string, nodes func() []membership.MemberStatus) {
	serveOrders(srv, s)
	serveBundles(srv, s)
	serveRollout(srv, s)
	serveAccounts(srv, s)
	serveStatus(srv, s, name, nodes)
}

// exactBytes is a result that is JSON already. It is sent byte for byte, because digests are computed over these bytes.
type exactBytes []byte

// route registers do for the requests of a pattern, and responds with the result of do as JSON.
func route(srv *rpc.Server, pattern string, do func(r *http.Request) (any, error)) {
	srv.Route(pattern, func(w http.ResponseWriter, r *http.Request) {
		answer, err := do(r)
		if err != nil {
			rpc.WriteError(w, err)
			return
		}
		if raw, ok := answer.(exactBytes); ok {
			writeBytes(w, "application/json", raw)
			return
		}
		rpc.WriteJSON(w, http.StatusOK, answer)
	})
}

func writeBytes(w http.ResponseWriter, contentType string, body []byte) {
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // fails only if the client is gone
}

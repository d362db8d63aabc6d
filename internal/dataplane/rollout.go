package dataplane

import (
	"context"
	"net/http"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/rpc"
	"crosstide/internal/state"
)

// puller follows a cplane for the replica. Each call says which bundle the node has, and since when.
type puller struct {
	*controlPlaneClient
	node         *Node
	version      uint64        // sent last; 0 until the first pull
	versionSince time.Duration // when the node was first seen to have it
}

// Follow is core's, with the node's bundle.
func (p *puller) Follow(ctx context.Context, call internalapi.FollowCall) (internalapi.FollowAnswer, error) {
	now := p.node.opt.Clock.Now()
	if v := p.node.bundle(); v != p.version {
		p.version, p.versionSince = v, now
	}
	call.Bundle, call.Age = p.version, now-p.versionSince
	a, err := p.controlPlaneClient.Follow(ctx, call)
	return a, errs.Pass(err, "pull")
}

// bundle is the version the node has, 0 before it has pulled.
func (n *Node) bundle() (version uint64) {
	if n.replica.HasPulled() {
		n.replica.View(func(s *state.State) { version = s.Bundle.Version })
	}
	return version
}

// Router is what the node needs of its server (*rpc.Server).
type Router interface {
	Route(pattern string, h func(w http.ResponseWriter, r *http.Request))
}

// Bundle is the answer of GET /v1/bundle: the version this node goes by, no older than the call.
type Bundle struct {
	Node    string `json:"node"`
	Version uint64 `json:"version"`
	Digest  string `json:"sha256"`
	Index   uint64 `json:"index"` // of the newest change this node has
}

// confirmTimeout is how long a node tries to confirm that its bundle is the newest.
const confirmTimeout = time.Second

// Routes adds GET /v1/bundle. A node that is cut off, behind or just woken does not pass an old version off as the
// one in force. Failure: Unavailable when it cannot confirm in a second.
func (n *Node) Routes(srv Router) {
	srv.Route("GET /v1/bundle", func(w http.ResponseWriter, r *http.Request) {
		ctx, over := context.WithTimeout(r.Context(), confirmTimeout)
		defer over()
		out := Bundle{Node: n.opt.Name}
		err := n.Read(ctx, func(s *state.State) error {
			out.Version, out.Index = s.Bundle.Version, s.Index
			if r := s.Revision(s.Bundle.Version); r != nil {
				out.Digest = r.Digest
			}
			return nil
		})
		if err != nil {
			rpc.WriteError(w, errs.Wrap(err, errs.Unavailable, "this node cannot confirm its bundle now"))
			return
		}
		rpc.WriteJSON(w, http.StatusOK, out)
	})
}

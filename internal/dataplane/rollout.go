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

// confirmTimeout is how long a node tries to confirm that its policy bundle is the newest.
const confirmTimeout = time.Second

// puller is the replica's source. With each call it reports which policy bundle the node goes by, so that operators see
// how far a new one has come.
type puller struct {
	*controlPlaneClient
	node         *Node
	version      uint64        // reported last; 0 until the first pull
	versionSince time.Duration // when the node was first seen to have it
}

// Follow adds the node's bundle version to the client's Follow.
func (p *puller) Follow(ctx context.Context, call internalapi.FollowCall) (internalapi.FollowAnswer, error) {
	now := p.node.opt.Clock.Now()
	if v := p.node.bundleVersion(); v != p.version {
		p.version, p.versionSince = v, now
	}
	call.Bundle, call.Age = p.version, now-p.versionSince
	answer, err := p.controlPlaneClient.Follow(ctx, call)
	return answer, errs.Pass(err, "pull")
}

// bundleVersion returns the version of the bundle that the node has, 0 before its first pull.
func (n *Node) bundleVersion() (version uint64) {
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

// Routes adds GET /v1/bundle, which answers errs.Unavailable if the node cannot confirm its bundle within
// confirmTimeout: a node that is partitioned, behind or just resumed must not present an old version as the one in
// force.
func (n *Node) Routes(srv Router) { srv.Route("GET /v1/bundle", n.serveBundle) }

func (n *Node) serveBundle(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), confirmTimeout)
	defer cancel()
	answer := Bundle{Node: n.opt.Name}
	err := n.Read(ctx, func(s *state.State) error {
		answer.Version, answer.Index = s.Bundle.Version, s.Index
		if revision := s.Revision(s.Bundle.Version); revision != nil {
			answer.Digest = revision.Digest
		}
		return nil
	})
	if err != nil {
		rpc.WriteError(w, errs.Wrap(err, errs.Unavailable, "this node cannot confirm its bundle now"))
		return
	}
	rpc.WriteJSON(w, http.StatusOK, answer)
}

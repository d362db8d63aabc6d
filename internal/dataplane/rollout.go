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

// confirmTimeout bounds the confirmation that a node's policy bundle is the newest.
const confirmTimeout = time.Second

// reportingSource is the replica's source. With each call it reports the version of the node's policy bundle, so that
// operators can see the progress of a rollout.
type reportingSource struct {
	*controlPlaneClient
	node         *Node
	version      uint64        // reported last; 0 until the first pull
	versionSince time.Duration // when Follow first found the node to have it
}

// Follow adds the node's bundle version to the client's Follow.
func (s *reportingSource) Follow(ctx context.Context, call internalapi.FollowCall) (internalapi.FollowAnswer, error) {
	now := s.node.opt.Clock.Now()
	if v := s.node.bundleVersion(); v != s.version {
		s.version, s.versionSince = v, now
	}
	call.Bundle, call.Age = s.version, now-s.versionSince
	answer, err := s.controlPlaneClient.Follow(ctx, call)
	return answer, errs.Pass(err, "pull")
}

// bundleVersion returns the version of the bundle that the node has, 0 before its first pull.
func (n *Node) bundleVersion() (version uint64) {
	if n.replica.HasPulled() {
		n.replica.View(func(s *state.State) { version = s.Bundle.Version })
	}
	return version
}

// Router is the part of *rpc.Server that the node uses.
type Router interface {
	Route(pattern string, h func(w http.ResponseWriter, r *http.Request))
}

// Bundle is the answer of GET /v1/bundle: the bundle version that this node uses, at least as new as the call.
type Bundle struct {
	Node    string `json:"node"`
	Version uint64 `json:"version"`
	Digest  string `json:"sha256"`
	Index   uint64 `json:"index"` // of the newest change that this node has applied
}

// Routes adds GET /v1/bundle, which answers errs.Unavailable if the node cannot confirm its bundle within
// confirmTimeout: a node that is partitioned, behind or just resumed must not report an old version as the one in
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
		rpc.WriteError(w, errs.Wrap(err, errs.Unavailable, "cannot confirm that the bundle is current"))
		return
	}
	rpc.WriteJSON(w, http.StatusOK, answer)
}

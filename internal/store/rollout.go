package store

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"crosstide/internal/clock"
	"crosstide/internal/internalapi"
	"crosstide/internal/routine"
)

// followerRetention is how long a data-plane node is reported after its last call.
const followerRetention = 10 * time.Minute

// rolloutReport holds the bundle versions of this node and of the data-plane nodes that pull from it (its followers). A
// Store owns it; guarded by Store.mu.
type rolloutReport struct {
	own       internalapi.NodeBundle
	followers map[string]internalapi.NodeBundle // by the follower's name, as of its newest call
}

func newRolloutReport() rolloutReport {
	return rolloutReport{followers: map[string]internalapi.NodeBundle{}}
}

// observeOwn records the bundle version of the live state and, if it changed, the current time.
func (r *rolloutReport) observeOwn(node string, version uint64, clk clock.Clock) {
	if r.own.Version != version {
		r.own = internalapi.NodeBundle{Node: node, Kind: "cplane", Version: version, Since: clk.Wall()}
	}
}

// observeFollower records the bundle version in a follower's call, and drops followers that have not called for
// followerRetention.
func (r *rolloutReport) observeFollower(call internalapi.FollowCall, now time.Time) {
	maps.DeleteFunc(r.followers, func(_ string, n internalapi.NodeBundle) bool {
		return now.Sub(n.Heard) > followerRetention
	})
	r.followers[call.Node] = internalapi.NodeBundle{Node: call.Node, Kind: "dplane", Version: call.Bundle,
		Since: now.Add(-call.Age), Heard: now}
}

// nodes returns the report: this node first, then the followers by name.
func (r *rolloutReport) nodes(now time.Time) []internalapi.NodeBundle {
	own := r.own
	own.Heard = now
	nodes := []internalapi.NodeBundle{own}
	for _, name := range slices.Sorted(maps.Keys(r.followers)) {
		nodes = append(nodes, r.followers[name])
	}
	return nodes
}

// recordFollowerBundle records the bundle version in a call to Follow, if the call has the caller's name.
func (s *Store) recordFollowerBundle(call internalapi.FollowCall) {
	if call.Node == "" {
		return
	}
	now := s.clock.Wall()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rollout.observeFollower(call, now)
}

// localRollout answers internalapi.Rollout.
func (s *Store) localRollout() internalapi.RolloutAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return internalapi.RolloutAnswer{Nodes: s.rollout.nodes(s.clock.Wall())}
}

// Rollout asks every member for its rollout report and returns the newest record of each node, sorted by kind and name.
// silent contains the names of the members that did not answer.
func (s *Store) Rollout(ctx context.Context) (nodes []internalapi.NodeBundle, silent []string) {
	members := s.Status().Raft.Members
	answers := make([]*internalapi.RolloutAnswer, len(members))
	routine.Each(len(members), len(members), func(i int) {
		if members[i].ID == s.id {
			a := s.localRollout()
			answers[i] = &a
		} else if a, err := s.opt.Net.Rollout(ctx, members[i].Addr); err == nil {
			answers[i] = &a
		}
	})
	newest := map[string]internalapi.NodeBundle{}
	for i, a := range answers {
		if a == nil {
			silent = append(silent, NameOf(members[i].ID))
			continue
		}
		for _, n := range a.Nodes {
			if known, ok := newest[n.Kind+n.Node]; !ok || n.Heard.After(known.Heard) {
				newest[n.Kind+n.Node] = n
			}
		}
	}
	nodes = slices.SortedFunc(maps.Values(newest), func(a, b internalapi.NodeBundle) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Node, b.Node))
	})
	return nodes, silent
}

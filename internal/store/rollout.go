package store

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"crosstide/internal/internalapi"
	"crosstide/internal/routine"
	"crosstide/internal/state/command"
)

const (
	operatorKeysInterval = 200 * time.Millisecond
	followerRetention    = 10 * time.Minute // a dplane unheard for it is left out of the roll-out
)

// installOperatorKeys lets the leader bring the operators of its settings into a store that knows none yet. Whoever leads first
// settles them: they must stand in the log, as every replica judges signatures by them.
func (s *Store) installOperatorKeys(ctx context.Context) {
	if len(s.settings.OperatorKeys) == 0 {
		return
	}
	operators := map[string]string{}
	for _, k := range s.settings.OperatorKeys {
		operators[k.Name] = k.Key
	}
	for s.sleep(ctx, operatorKeysInterval) {
		s.mu.Lock()
		leads, known, same := s.leaderTerm != 0 && s.roleLeases.Active(), len(s.live.Operators) > 0, maps.Equal(s.live.Operators, operators)
		s.mu.Unlock()
		if known {
			if !same {
				_ = level.Warn(s.logger).Log("msg", "operator_keys in the settings are not those the store knows; its own hold")
			}
			return
		}
		if !leads {
			continue
		}
		if _, _, err := s.Propose(ctx, &command.SetOperators{Operators: operators}); err != nil {
			_ = level.Debug(s.logger).Log("msg", "operator keys", "err", err)
		}
	}
}

// elapsed notes when the live state came to the bundle it has; called under the lock.
func (s *Store) trackOwnBundle() {
	if v := s.live.Bundle.Version; s.ownBundle.Version != v {
		s.ownBundle = internalapi.NodeBundle{Node: s.settings.Name, Kind: "cplane", Version: v, Since: s.clock.Wall()}
	}
}

// recordFollowerBundle notes what a follower says of its bundle.
func (s *Store) recordFollowerBundle(call internalapi.FollowCall) {
	if call.Node == "" {
		return
	}
	now := s.clock.Wall()
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.followerBundles, func(_ string, n internalapi.NodeBundle) bool { return now.Sub(n.Heard) > followerRetention })
	s.followerBundles[call.Node] = internalapi.NodeBundle{Node: call.Node, Kind: "dplane", Version: call.Bundle, Since: now.Add(-call.Age), Heard: now}
}

// localRollout is the answer to internalapi.Rollout.
func (s *Store) localRollout() internalapi.RolloutAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := s.ownBundle
	own.Heard = s.clock.Wall()
	out := internalapi.RolloutAnswer{Nodes: []internalapi.NodeBundle{own}}
	for _, name := range slices.Sorted(maps.Keys(s.followerBundles)) {
		out.Nodes = append(out.Nodes, s.followerBundles[name])
	}
	return out
}

// Rollout asks every member which bundle version it has and which its followers have, and gives the newest word on
// each node, by kind and name; silent names the members that did not answer.
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
			silent = append(silent, nameOf(members[i].ID))
			continue
		}
		for _, n := range a.Nodes {
			if have, ok := newest[n.Kind+n.Node]; !ok || n.Heard.After(have.Heard) {
				newest[n.Kind+n.Node] = n
			}
		}
	}
	nodes = slices.SortedFunc(maps.Values(newest), func(a, b internalapi.NodeBundle) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Node, b.Node))
	})
	return nodes, silent
}

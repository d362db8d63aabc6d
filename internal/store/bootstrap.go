package store

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/go-kit/log/level"

	"crosstide/internal/config"
	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/raft"
	"crosstide/internal/state"
	"crosstide/internal/storage"
)

// bootstrapDecision says how a node with an empty folder proceeds, according to the answers of other nodes.
type bootstrapDecision uint8

const (
	undecided bootstrapDecision = iota // ask again
	mayBootstrap
	fleetExists
	settingsDiffer // nodes disagree on the bootstrap members
)

// decideBootstrap decides by the answers of the other members, keyed by ID; members is the number of bootstrap members.
// If all of them are fresh it also returns their incarnations; previous holds those of the previous round. A bootstrap
// needs two such rounds in a row with the same incarnations: the first shows which processes run, the second that none
// of them had campaigned by then. So no earlier incarnation of any of them has voted, and each may be listed as a
// bootstrap member.
//
// A fleet exists once a member knows a commit index above 1, which is the index of the bootstrap snapshot.
func decideBootstrap(name, incarnation, digest string, members int, answers map[string]internalapi.DiscoverAnswer,
	previous map[string]string,
) (bootstrapDecision, map[string]string) {
	incarnations, isListed, allFresh := map[string]string{}, false, true
	for id, a := range answers {
		if a.Digest != digest {
			return settingsDiffer, nil
		}
		incarnations[id] = a.Incarnation
		isListed = isListed || a.BootstrapIncarnations[name] == incarnation
		allFresh = allFresh && a.Fresh
	}
	if isListed {
		return mayBootstrap, nil // only the process that found the others fresh lists their incarnations
	}
	for _, a := range answers {
		if a.Commit > 1 {
			return fleetExists, nil
		}
	}
	if !allFresh || len(answers) < members-1 {
		return undecided, nil
	}
	if !maps.Equal(previous, incarnations) {
		return undecided, incarnations
	}
	return mayBootstrap, incarnations
}

// decideOpenBootstrap is decideBootstrap for an open fleet, where settings may differ between nodes: only seeds that
// bootstrap together must have the same list of seeds. answers are keyed by address.
func (s *Store) decideOpenBootstrap(answers map[string]internalapi.DiscoverAnswer, previous map[string]string) (
	bootstrapDecision, map[string]string,
) {
	digest := s.digest()
	seedAnswers := map[string]internalapi.DiscoverAnswer{}
	for _, m := range s.settings.Members {
		a, ok := answers[m.Addr]
		if !ok {
			continue
		}
		if a.Digest == digest && a.BootstrapIncarnations[s.settings.Name] == s.incarnation {
			return mayBootstrap, nil // see decideBootstrap
		}
		seedAnswers[m.ID] = a
	}
	for _, a := range answers {
		if a.Commit > 1 {
			return fleetExists, nil
		}
	}
	for id, a := range seedAnswers {
		if !a.Fresh {
			a.Digest = digest // it prevents a bootstrap anyway, so a different list of seeds does not matter
			seedAnswers[id] = a
		}
	}
	return decideBootstrap(s.settings.Name, s.incarnation, digest, len(s.settings.Members), seedAnswers, previous)
}

// bootstrap creates a new fleet, whose first snapshot is the empty state at index 1, and starts the core. incarnations
// holds those of the other members that were fresh, see membership.bootstrapped.
func (s *Store) bootstrap(incarnations map[string]string) error {
	members := make([]raft.Member, len(s.settings.Members))
	for i, m := range s.settings.Members {
		members[i] = raft.Member{ID: m.ID, Addr: m.Addr, Zone: m.Zone}
	}
	initial := raft.Bootstrap(members)
	empty := state.New()
	empty.Index, empty.Term = initial.Snapshot.Index, initial.Snapshot.Term
	body, err := empty.Encode()
	if err != nil {
		return errs.Pass(err, "encode the empty state")
	}
	meta, err := json.Marshal(initial.Snapshot)
	if err != nil {
		return errs.Wrap(err, errs.Internal, "encode the metadata of the first snapshot")
	}
	image := storage.Snapshot{Number: 1, Index: empty.Index, Term: empty.Term, Meta: meta, Body: body}
	if err := s.storage.WriteSnapshot(image, 0); err != nil {
		return errs.Pass(err, "write the first snapshot")
	}
	s.mu.Lock()
	s.id, s.membership.bootstrapped = s.settings.Name, incarnations
	s.mu.Unlock()
	_ = level.Info(s.logger).Log("msg", "fleet bootstrapped", "members", len(members))
	hardState, err := json.Marshal(initial.HardState)
	if err != nil {
		return errs.Wrap(err, errs.Internal, "encode the hard state")
	}
	records := []storage.Record{{Kind: storage.KindHardState, Data: hardState}}
	return errs.Pass(s.startCore(storage.Recovered{Snapshot: &image, Records: records}), "start the core")
}

// BootstrapStatus answers internalapi.Discover: whether this node's folder is fresh, and the leader, the members and
// the commit index that it knows.
func (s *Store) BootstrapStatus(internalapi.DiscoverCall) internalapi.DiscoverAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := internalapi.DiscoverAnswer{ID: s.id, Incarnation: s.incarnation,
		BootstrapIncarnations: s.membership.bootstrapped, Digest: s.digest(),
		Fresh: s.core == nil && s.id == "" && s.settings.Bootstrap}
	if s.core != nil {
		status := s.core.Status()
		answer.Term, answer.Leader = status.Term, status.LeaderAddr
		// The process that bootstrapped the fleet answers with the digest of the seeds in its settings, any later
		// process with that of the committed members.
		if answer.MembersAt, answer.Members = s.core.CommittedMembers(); s.settings.OpenMembership &&
			s.membership.bootstrapped == nil {
			answer.Digest = digestOf(seedsOf(answer.Members))
		}
		answer.Commit = status.Commit
		// Term 1 and index 1 are those of the bootstrap snapshot: this node has not voted or stored an entry since.
		answer.Fresh = status.Term <= 1 && status.Last <= 1 && NameOf(s.id) == s.id
	}
	return answer
}

// digest returns the digest of the bootstrap members in the settings, which must be equal on all of them.
func (s *Store) digest() string { return digestOf(s.settings.Members) }

// digestOf returns a digest of members that is independent of their order.
func digestOf(members []config.Member) string {
	lines := make([]string, len(members))
	for i, m := range members {
		lines[i] = m.ID + " " + m.Addr + " " + m.Zone
	}
	slices.Sort(lines)
	sum := sha256.Sum256([]byte(strings.Join(lines, "\n")))
	return hex.EncodeToString(sum[:8])
}

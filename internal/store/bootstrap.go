package store

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"crosstide/internal/config"
	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/raft"
	"crosstide/internal/state"
	"crosstide/internal/storage"
)

const (
	retryInterval      = 200 * time.Millisecond // of calls to members that are named in the settings
	openSurveyInterval = 100 * time.Millisecond // of asking what an empty folder means, in an open fleet
	surveyLogInterval  = 5 * time.Second
)

// bootstrapDecision is what an empty folder means by the answers of other nodes.
type bootstrapDecision uint8

const (
	undecided bootstrapDecision = iota // ask again
	mayBootstrap
	fleetExists
	settingsDiffer // the bootstrap members are not the same everywhere
)

// resolveEmptyFolder finds out what an empty folder means: the first start of a fleet, or a disk that was lost. It
// returns true once the core is started, false if the store ends before.
//
// An empty folder never votes under an old name: its earlier incarnation may have given votes and acknowledged entries
// that are forgotten. So the fleet is bootstrapped only when every other member says that it is fresh too, or when a
// bootstrap member says that it began after having heard that this very process is fresh. Where a fleet exists, the
// node joins under a new ID. While neither is sure it asks on and takes no part.
func (s *Store) resolveEmptyFolder(ctx context.Context) bool {
	survey, interval := s.surveyFixed, retryInterval
	pause := func() time.Duration { return retryInterval }
	if s.settings.OpenMembership {
		survey, interval = s.surveyOpen, openSurveyInterval
		pause = func() time.Duration { return jitter(openSurveyInterval) }
	}
	var incarnations map[string]string
	for round := 0; ; round++ {
		result := survey(ctx, incarnations)
		incarnations = result.incarnations
		if err := s.takePart(result); err != nil {
			s.fatal(errs.Pass(err, "settle"))
			return false
		}
		if s.core != nil {
			return true
		}
		if round%int(surveyLogInterval/interval) == 0 {
			_ = level.Info(s.logger).Log("msg", "empty folder: asking the other members", "answers", result.answers,
				"seeds", len(s.settings.Members))
		}
		if !s.sleep(ctx, pause()) {
			return false
		}
	}
}

// surveyResult is the outcome of one round of questions.
type surveyResult struct {
	decision     bootstrapDecision
	incarnations map[string]string // of the others, by ID, if all are fresh; for the next round and for bootstrap
	answers      int
}

// takePart does what a decision asks for.
func (s *Store) takePart(result surveyResult) error {
	switch result.decision {
	case mayBootstrap:
		return errs.Pass(s.bootstrap(result.incarnations), "bootstrap")
	case fleetExists:
		if err := s.startNewIncarnation(); err != nil {
			return errs.Pass(err, "join")
		}
		// In an open fleet a new machine is the usual case; else a disk was lost.
		leveled := level.Warn(s.logger)
		if s.settings.OpenMembership {
			leveled = level.Info(s.logger)
		}
		_ = leveled.Log("msg", "the fleet exists and this folder is empty: joining anew", "id", s.id)
	case settingsDiffer:
		_ = level.Error(s.logger).Log("msg", "bootstrap members in the settings differ between nodes")
	}
	return nil
}

// isBootstrapMember tells whether the settings name this node among those that may bootstrap the fleet.
func (s *Store) isBootstrapMember() bool {
	return slices.ContainsFunc(s.settings.Members, func(m config.Member) bool { return m.ID == s.settings.Name })
}

// surveyFixed asks the members in the settings, which are all members.
func (s *Store) surveyFixed(ctx context.Context, before map[string]string) surveyResult {
	answers := s.askMembers(ctx)
	decision, incarnations := decideBootstrap(s.settings.Name, s.incarnation, s.digest(), len(s.settings.Members),
		answers, before)
	if !s.isBootstrapMember() && decision != fleetExists {
		decision = undecided // only an existing fleet can take in one that is no bootstrap member
	}
	return surveyResult{decision, incarnations, len(answers)}
}

// surveyOpen asks all nodes that are known, where the members in the settings are only seeds: a seed may bootstrap the
// fleet with the others, all other nodes wait until somebody tells them that it exists.
func (s *Store) surveyOpen(ctx context.Context, before map[string]string) surveyResult {
	isSeed := s.isBootstrapMember()
	// A seed waits for all answers: one that names it among the bootstrap members weighs most.
	answers := s.askKnownNodes(ctx, func(a internalapi.DiscoverAnswer) bool { return !isSeed && a.Commit > 1 })
	decision, incarnations := s.decideOpenBootstrap(answers, before)
	if !isSeed && decision == mayBootstrap {
		decision = undecided
	}
	return surveyResult{decision, incarnations, len(answers)}
}

// decideBootstrap weighs what the other members said, by ID. It also returns their incarnations if all of them are
// fresh; before is what it returned in the last round. Two such rounds in a row are needed: the first shows that these
// very processes run, the second that none of them had campaigned by then. So no earlier incarnation of any of them
// gave a vote, and each may be told that it was a bootstrap member.
func decideBootstrap(name, incarnation, digest string, members int, answers map[string]internalapi.DiscoverAnswer,
	before map[string]string,
) (bootstrapDecision, map[string]string) {
	incarnations, named, all := map[string]string{}, false, true
	for id, a := range answers {
		if a.Digest != digest {
			return settingsDiffer, nil
		}
		incarnations[id] = a.Incarnation
		named = named || a.BootstrapIncarnations[name] == incarnation
		all = all && a.Fresh
	}
	if named {
		return mayBootstrap, nil // nobody else is vouched for
	}
	for _, a := range answers {
		if a.Commit > 1 {
			return fleetExists, nil
		}
	}
	if !all || len(answers) < members-1 {
		return undecided, nil
	}
	if !maps.Equal(before, incarnations) {
		return undecided, incarnations
	}
	return mayBootstrap, incarnations
}

// decideOpenBootstrap is decideBootstrap where settings may differ between nodes: only those that may bootstrap
// together must have the same seeds. answers are by address.
func (s *Store) decideOpenBootstrap(answers map[string]internalapi.DiscoverAnswer, before map[string]string) (
	bootstrapDecision, map[string]string,
) {
	digest := s.digest()
	ofSeeds := map[string]internalapi.DiscoverAnswer{}
	for _, m := range s.settings.Members {
		a, ok := answers[m.Addr]
		if !ok {
			continue
		}
		if a.Digest == digest && a.BootstrapIncarnations[s.settings.Name] == s.incarnation {
			return mayBootstrap, nil // nobody else is vouched for
		}
		ofSeeds[m.ID] = a
	}
	for _, a := range answers {
		if a.Commit > 1 {
			return fleetExists, nil
		}
	}
	for id, a := range ofSeeds {
		if !a.Fresh {
			a.Digest = digest // it only keeps the others from bootstrapping
			ofSeeds[id] = a
		}
	}
	return decideBootstrap(s.settings.Name, s.incarnation, digest, len(s.settings.Members), ofSeeds, before)
}

// bootstrap begins a fleet: the empty state at index 1 is the first snapshot. incarnations are those of the members
// that are vouched for, see membership.
func (s *Store) bootstrap(incarnations map[string]string) error {
	members := make([]raft.Member, len(s.settings.Members))
	for i, m := range s.settings.Members {
		members[i] = raft.Member{ID: m.ID, Addr: m.Addr, Zone: m.Zone}
	}
	initial := raft.Bootstrap(members)
	first := state.New()
	first.Index, first.Term = initial.Snapshot.Index, initial.Snapshot.Term
	body, err := first.Encode()
	if err != nil {
		return errs.Pass(err, "found")
	}
	meta, err := json.Marshal(initial.Snapshot)
	if err != nil {
		return errs.Wrap(err, errs.Internal, "found")
	}
	image := storage.Snapshot{Number: 1, Index: first.Index, Term: first.Term, Meta: meta, Body: body}
	if err := s.storage.WriteSnapshot(image, 0); err != nil {
		return errs.Pass(err, "found")
	}
	s.mu.Lock()
	s.id, s.membership.bootstrapped = s.settings.Name, incarnations
	s.mu.Unlock()
	_ = level.Info(s.logger).Log("msg", "fleet bootstrapped", "members", len(members))
	hard, err := json.Marshal(initial.HardState)
	if err != nil {
		return errs.Wrap(err, errs.Internal, "found")
	}
	records := []storage.Record{{Kind: storage.KindHardState, Data: hard}}
	return errs.Pass(s.startCore(storage.Recovered{Snapshot: &image, Records: records}), "found")
}

// BootstrapStatus answers a node that has an empty folder.
func (s *Store) BootstrapStatus(internalapi.DiscoverCall) internalapi.DiscoverAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := internalapi.DiscoverAnswer{ID: s.id, Incarnation: s.incarnation,
		BootstrapIncarnations: s.membership.bootstrapped, Digest: s.digest(),
		Fresh: s.core == nil && s.id == "" && s.settings.Bootstrap}
	if s.core != nil {
		st := s.core.Status()
		out.Term, out.Leader = st.Term, st.LeaderAddr
		// A process that bootstrapped the fleet goes by its settings; after that, only what is on the disk counts.
		if out.MembersAt, out.Members = s.core.CommittedMembers(); s.settings.OpenMembership &&
			s.membership.bootstrapped == nil {
			out.Digest = digestOf(seedsOf(out.Members))
		}
		out.Commit = st.Commit
		out.Fresh = st.Term <= 1 && st.Last <= 1 && NameOf(s.id) == s.id
	}
	return out
}

// digest is of the bootstrap members in the settings; they must be the same everywhere.
func (s *Store) digest() string { return digestOf(s.settings.Members) }

// digestOf is the same for the same members in any order.
func digestOf(members []config.Member) string {
	lines := make([]string, len(members))
	for i, m := range members {
		lines[i] = m.ID + " " + m.Addr + " " + m.Zone
	}
	slices.Sort(lines)
	sum := sha256.Sum256([]byte(strings.Join(lines, "\n")))
	return hex.EncodeToString(sum[:8])
}

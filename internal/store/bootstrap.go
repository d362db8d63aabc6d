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
	"crosstide/internal/routine"
	"crosstide/internal/state"
	"crosstide/internal/storage"
)

const (
	idFile        = "id" // holds the quorum ID of a folder that began empty in a fleet that existed
	retryInterval = 200 * time.Millisecond
	maxLearnerLag = 1000 // a learner within it of the leader's last entry has caught up
)

// submitJobs reads the folder. If it tells who this node is, the core is made.
func (s *Store) recoverFolder() error {
	if err := s.finishDiscard(); err != nil {
		return errs.Pass(err, "discard")
	}
	if err := s.loadPeerAddresses(); err != nil {
		return errs.Pass(err, "load")
	}
	id, err := readID(s.opt.Disk)
	if err != nil {
		return errs.Pass(err, "read the id")
	}
	inFlight, recovered, err := storage.Open(s.opt.Disk, storage.Options{Clock: s.clock})
	if err != nil {
		return errs.Pass(err, "open the folder")
	}
	s.storage = inFlight
	switch {
	case id != "":
		s.id = id
	case recovered.Fresh && (s.opt.Damaged || !s.settings.Bootstrap):
		return errs.Pass(s.startNewIncarnation(), "begin anew")
	case recovered.Fresh:
		return nil
	default:
		s.id = s.settings.Name
	}
	return errs.Pass(s.startCore(recovered), "begin")
}

// startCore makes the core of what the disk had.
func (s *Store) startCore(recovered storage.Recovered) error {
	var b raft.InitialState
	live := state.New()
	var err error
	if img := recovered.Snapshot; img != nil {
		if b.Snapshot, err = decodeSnapshotMeta(img.Meta); err != nil {
			return errs.Pass(err, "slot %d", img.Number)
		}
		if live, err = state.Decode(img.Body); err != nil {
			return errs.Pass(err, "slot %d", img.Number)
		}
		s.snapshots.newest = internalapi.Snapshot{Number: img.Number, Index: img.Index, Term: img.Term, Size: int64(len(img.Body))}
		s.disk.durable = img.Index
	}
	for _, r := range recovered.Records {
		if r.Kind == storage.KindHardState {
			if err := json.Unmarshal(r.Data, &b.HardState); err != nil {
				return errs.Wrap(err, errs.Damaged, "the hard state")
			}
			continue
		}
		b.Entries = append(b.Entries, raft.Entry{Term: r.Term, Index: r.Index, Kind: raft.EntryKind(r.Kind), Data: r.Data})
		s.disk.durable = r.Index
	}
	core, err := raft.New(raft.Config{ID: s.id, ElectionTimeout: s.settings.Election, HeartbeatInterval: s.settings.Heartbeat,
		LeaseDuration: s.settings.Lease, Seed: s.opt.Seed}, b, s.clock.Now())
	if err != nil {
		return errs.Pass(err, "start the core")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshotter = snapshotter{members: b.Snapshot.Members}
	if img := recovered.Snapshot; img != nil {
		s.snapshotter.initialImage = img.Body
	}
	s.replaceState(live)
	s.core, s.status = core, core.Status()
	_ = level.Info(s.logger).Log("msg", "begin", "id", s.id, "slot", s.snapshots.newest.Index, "entries", len(b.Entries), "term", s.status.Term, "cut", recovered.TornBytes)
	return nil
}

// resolveEmptyFolder finds out what an empty folder means: the first start of a fleet, or a disk that was lost.
//
// An empty folder never votes under an old name: its earlier life may have given votes and acknowledged entries
// that are forgotten. So the fleet is founded only when every other member says that it is fresh too, or when a
// founder says that it founded after having heard that this very process is fresh. Where a fleet exists, the node
// joins under a new ID. While neither is sure it asks on and takes no part.
func (s *Store) resolveEmptyFolder(ctx context.Context) bool {
	if s.settings.OpenMembership {
		return s.resolveEmptyFolderOpen(ctx)
	}
	member := slices.ContainsFunc(s.settings.Members, func(m config.Member) bool { return m.ID == s.settings.Name })
	var incarnations map[string]string
	for round := 0; ; round++ {
		answers := s.surveyMembers(ctx)
		decision, bootstrapMembers := decideBootstrap(s.settings.Name, s.incarnation, s.digest(), len(s.settings.Members), answers, incarnations)
		incarnations = bootstrapMembers
		if !member && decision != fleetExists {
			decision = undecided // only the fleet can take in one who is not a founder
		}
		var err error
		switch decision {
		case mayBootstrap:
			err = s.bootstrap(bootstrapMembers)
		case fleetExists:
			if err = s.startNewIncarnation(); err == nil {
				_ = level.Warn(s.logger).Log("msg", "the fleet exists and this folder is empty: joining anew", "id", s.id)
			}
		case settingsDiffer:
			_ = level.Error(s.logger).Log("msg", "members in the settings differ between nodes")
		}
		if err != nil {
			s.fatal(errs.Pass(err, "settle"))
			return false
		}
		if s.core != nil {
			return true
		}
		if round%25 == 0 {
			_ = level.Info(s.logger).Log("msg", "empty folder: asking the other members", "answers", len(answers), "of", len(s.settings.Members)-1)
		}
		if !s.sleep(ctx, retryInterval) {
			return false
		}
	}
}

type bootstrapDecision uint8

const (
	undecided bootstrapDecision = iota
	mayBootstrap
	fleetExists
	settingsDiffer
)

// decideBootstrap weighs what the other members said, by name. It also gives their boots if all of them are fresh; before is
// what it gave in the last round. Two such rounds in a row are needed: the first shows that these very processes
// run, the second that none of them had stood for leader by then. So no earlier life of any of them gave a vote,
// and each may be told that it was a founder.
func decideBootstrap(name, recovered, digest string, members int, answers map[string]internalapi.DiscoverAnswer, before map[string]string) (bootstrapDecision, map[string]string) {
	bootstrapMembers, named, all := map[string]string{}, false, true
	for who, a := range answers {
		if a.Digest != digest {
			return settingsDiffer, nil
		}
		bootstrapMembers[who] = a.Incarnation
		named = named || a.BootstrapIncarnations[name] == recovered
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
	if !maps.Equal(before, bootstrapMembers) {
		return undecided, bootstrapMembers
	}
	return mayBootstrap, bootstrapMembers
}

func (s *Store) surveyMembers(ctx context.Context) map[string]internalapi.DiscoverAnswer {
	got := make([]*internalapi.DiscoverAnswer, len(s.settings.Members))
	routine.Each(len(got), len(got), func(i int) {
		if m := s.settings.Members[i]; m.ID != s.settings.Name {
			if a, err := s.opt.Net.BootstrapStatus(ctx, m.Addr, internalapi.DiscoverCall{Name: s.settings.Name, Incarnation: s.incarnation}); err == nil {
				got[i] = &a
			}
		}
	})
	out := map[string]internalapi.DiscoverAnswer{}
	for i, a := range got {
		if a != nil {
			out[s.settings.Members[i].ID] = *a
		}
	}
	return out
}

// Bootstrap answers one that has an empty folder.
func (s *Store) BootstrapStatus(internalapi.DiscoverCall) internalapi.DiscoverAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := internalapi.DiscoverAnswer{ID: s.id, Incarnation: s.incarnation, BootstrapIncarnations: s.membership.bootstrapped, Digest: s.digest(),
		Fresh: s.core == nil && s.id == "" && s.settings.Bootstrap}
	if s.core != nil {
		st := s.core.Status()
		out.Term, out.Leader = st.Term, st.LeaderAddr
		// Who founded in this process goes by its settings; after that, only what is on the disk counts.
		if out.MembersAt, out.Members = s.core.CommittedMembers(); s.settings.OpenMembership && s.membership.bootstrapped == nil {
			out.Digest = digestOf(seedsOf(out.Members))
		}
		out.Commit = st.Commit
		out.Fresh = st.Term <= 1 && st.Last <= 1 && NameOf(s.id) == s.id
	}
	return out
}

// digest is of the founding members in the settings; they must be the same everywhere.
func (s *Store) digest() string { return digestOf(s.settings.Members) }

func digestOf(members []config.Member) string {
	lines := make([]string, len(members))
	for i, m := range members {
		lines[i] = m.ID + " " + m.Addr + " " + m.Zone
	}
	slices.Sort(lines)
	sum := sha256.Sum256([]byte(strings.Join(lines, "\n")))
	return hex.EncodeToString(sum[:8])
}

// bootstrap begins a fleet: the empty state at index 1 is the first slot.
func (s *Store) bootstrap(bootstrapMembers map[string]string) error {
	members := make([]raft.Member, len(s.settings.Members))
	for i, m := range s.settings.Members {
		members[i] = raft.Member{ID: m.ID, Addr: m.Addr, Zone: m.Zone}
	}
	b := raft.Bootstrap(members)
	first := state.New()
	first.Index, first.Term = b.Snapshot.Index, b.Snapshot.Term
	body, err := first.Encode()
	if err != nil {
		return errs.Pass(err, "found")
	}
	meta, err := json.Marshal(b.Snapshot)
	if err != nil {
		return errs.Wrap(err, errs.Internal, "found")
	}
	img := storage.Snapshot{Number: 1, Index: b.Snapshot.Index, Term: b.Snapshot.Term, Meta: meta, Body: body}
	if err := s.storage.WriteSnapshot(img, 0); err != nil {
		return errs.Pass(err, "found")
	}
	s.mu.Lock()
	s.id, s.membership.bootstrapped = s.settings.Name, bootstrapMembers
	s.mu.Unlock()
	_ = level.Info(s.logger).Log("msg", "founding the fleet", "members", len(members))
	hard, err := json.Marshal(b.HardState)
	if err != nil {
		return errs.Wrap(err, errs.Internal, "found")
	}
	return errs.Pass(s.startCore(storage.Recovered{Snapshot: &img, Records: []storage.Record{{Kind: storage.KindHardState, Data: hard}}}), "found")
}

// startNewIncarnation gives an empty folder an ID of its own, synced before anything is done under it, and begins empty.
func (s *Store) startNewIncarnation() error {
	id := s.newID()
	if err := writeFile(s.opt.Disk, idFile, id); err != nil {
		return errs.Pass(err, "take a new id")
	}
	s.mu.Lock()
	s.id = id
	s.mu.Unlock()
	return errs.Pass(s.startCore(storage.Recovered{}), "begin empty")
}

// newID draws an ID for a new life of this node's folder.
func (s *Store) newID() string { return s.settings.Name + "~" + strings.ToLower(s.opt.RandomID()[:10]) }

func readID(d storage.Disk) (string, error) {
	id, ok, err := readFile(d, idFile)
	if err == nil && ok && id == "" {
		return "", errs.New(errs.Damaged, "the id file is empty")
	}
	return id, errs.Pass(err, "id file")
}

// joinFleet asks the leader, through any member, until this node is a voter.
func (s *Store) joinFleet(ctx context.Context) {
	call := internalapi.JoinCall{ID: s.id, Name: s.settings.Name, Addr: s.settings.Addr, Zone: s.settings.Zone}
	for i := 0; ; i++ {
		s.mu.Lock()
		addr, voter := s.status.LeaderAddr, s.status.Voter
		s.mu.Unlock()
		if voter {
			_ = level.Info(s.logger).Log("msg", "joined as a voter", "id", s.id)
			return
		}
		if addr == "" {
			addr = s.settings.Members[i%len(s.settings.Members)].Addr
		}
		again := retryInterval
		if addr != s.settings.Addr {
			a, err := s.opt.Net.Join(ctx, addr, call)
			if errs.Is(err, errs.NotLeader) && errs.Of(err).Hint != "" {
				a, err = s.opt.Net.Join(ctx, errs.Of(err).Hint, call)
			}
			if err != nil {
				_ = level.Debug(s.logger).Log("msg", "join", "err", err)
			} else {
				again = max(a.RetryAfter, pollInterval)
			}
		}
		if !s.sleep(ctx, again) {
			return
		}
	}
}

// Join moves a node with an empty folder one step towards being a voter: learner; then its older self out; then
// voter. The older self goes first, although promoting first would be allowed too: it is surely gone, so taking
// it out of 5 leaves 4 that are all there and need 3, while promoting first makes 6 of which one is dead and 4
// are needed. Both bear the loss of one more; the smaller set commits with fewer disks, and a newcomer that
// falls again in between leaves no second dead voter behind.
func (s *Store) Join(ctx context.Context, call internalapi.JoinCall) (internalapi.JoinAnswer, error) {
	name, incarnation, ok := strings.Cut(call.ID, "~")
	if !ok || name != call.Name || name == "" || incarnation == "" || call.Addr == "" {
		return internalapi.JoinAnswer{}, errs.Field(errs.Invalid, "id", "%q is not of %q with an incarnation", call.ID, call.Name)
	}
	s.mu.Lock()
	err := s.checkLeader()
	st := s.status
	place, named := s.live.Successors[name]
	s.mu.Unlock()
	if err != nil {
		return internalapi.JoinAnswer{}, errs.Pass(err, "join")
	}
	if !named {
		place = name
	}
	if !named && !s.settings.OpenMembership {
		known := func(m raft.Member) bool { return NameOf(m.ID) == name }
		first := func(m config.Member) bool { return m.ID == name }
		if !slices.ContainsFunc(st.Members, known) && !slices.ContainsFunc(s.settings.Members, first) {
			return internalapi.JoinAnswer{}, errs.Field(errs.Forbidden, "name",
				"no member is named %s; an operator says whom it replaces: crosstide-controlplane member replace OLD %s", name, name)
		}
	}
	out := internalapi.JoinAnswer{RetryAfter: retryInterval, Members: addressesOf(st.Members)}
	if s.settings.OpenMembership {
		out.RetryAfter = joinInterval
	}
	var old *raft.Member
	next := make([]raft.Member, 0, len(st.Members)+1)
	at := -1
	for _, m := range st.Members {
		switch {
		case m.ID == call.ID:
			at = len(next)
		case NameOf(m.ID) == name && m.Learner:
			continue // an earlier folder that never became a voter
		case NameOf(m.ID) == name || NameOf(m.ID) == place:
			old = &m
		}
		next = append(next, m)
	}
	if at >= 0 && !next[at].Learner {
		return internalapi.JoinAnswer{Voter: true}, nil
	}
	if at < 0 {
		if err := s.checkNotRemoved(call); err != nil {
			return internalapi.JoinAnswer{}, errs.Pass(err, "join")
		}
		next = append(next, raft.Member{ID: call.ID, Addr: call.Addr, Zone: call.Zone, Incarnation: incarnation, Learner: true})
		return out, errs.Pass(s.changeMembers(st.Members, next), "join as a learner")
	}
	out.Learner = true
	if match := st.Match[call.ID]; match == 0 || match+maxLearnerLag < st.Last {
		return out, nil
	}
	if old == nil {
		if gone := s.silentVoter(st.Members); gone != "" {
			return out, errs.Pass(s.changeMembers(st.Members, without(next, gone)), "take %s out before a new voter", gone)
		}
		next[at].Learner = false
		return out, errs.Pass(s.changeMembers(st.Members, next), "join as a voter")
	}
	if a, err := s.opt.Net.BootstrapStatus(ctx, old.Addr, internalapi.DiscoverCall{Name: s.settings.Name, Incarnation: s.incarnation}); err == nil && a.ID == old.ID {
		return out, errs.Field(errs.Conflict, "name", "%s is alive at %s", old.ID, old.Addr)
	}
	return out, errs.Pass(s.changeMembers(st.Members, without(next, old.ID)), "take %s out", old.ID)
}

// changeMembers proposes the member set next, which was made from the set from; that it is committed shows in a later call.
func (s *Store) changeMembers(from, next []raft.Member) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkLeader(); err != nil {
		return errs.Pass(err, "members")
	}
	if err := s.proposeMembers(s.clock.Now(), from, next); err != nil {
		return errs.Pass(err, "members")
	}
	signal(s.wakeLoop)
	return nil
}

// proposeMembers puts a member set into the log unless the set it was made from is not in force any more: it would
// undo what another change did. Called under the lock.
func (s *Store) proposeMembers(now time.Duration, from, next []raft.Member) error {
	if !slices.Equal(from, s.core.Status().Members) {
		return errs.New(errs.Unavailable, "the members changed meanwhile")
	}
	if _, _, err := s.core.ProposeMembers(now, next); err != nil {
		return errs.Pass(err, "propose")
	}
	_ = level.Info(s.logger).Log("msg", "changing members", "members", len(next))
	return nil
}

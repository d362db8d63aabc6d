package policysim

import (
	"context"
	"encoding/json"
	"fmt"
	mathrand "math/rand"
	"time"

	"crosstide/internal/config"
	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/state/command"
	"crosstide/internal/storage"
	"crosstide/internal/store"
)

// controlPlane is a machine with a disk that runs the store by hand.
type controlPlane struct {
	*process
	disk         *storage.MemDisk
	store        *store.Store
	driver       *store.ManualDriver
	batch        *store.DiskBatch // on its way to the disk
	syncDelay    time.Duration
	failNextSync bool

	// what its folder surely has, as the disk said, by index: the term
	durableSnapshot uint64
	durableTerms    map[uint64]uint64
	durableIndex    uint64

	// what a folder had that was lost since
	wipedID       string
	wipedTerms    map[uint64]uint64
	wipedSnapshot uint64

	proposals []*proposal
	followers []*follower
	role      string
}

type proposal struct {
	pending  *store.Proposal
	deadline time.Duration
	done     func(index uint64, answer any, err error)
}

type follower struct {
	version  uint64
	deadline time.Duration
	reply    func(any, error)
}

func (s *sim) members() (out []config.Member) {
	for i := range 5 {
		out = append(out, config.Member{ID: fmt.Sprintf("c%d", i), Addr: fmt.Sprintf("c%d", i), Zone: zone(i)})
	}
	return out
}

func zone(i int) string { return fmt.Sprintf("z%d", i%3) }

// liftEvacuation starts a life on what the disk has.
func (c *controlPlane) open(found bool) {
	s := c.sim
	c.startIncarnation()
	set := config.DefaultControlPlane()
	set.Name, set.Addr, set.Zone, set.Members = c.addr, c.addr, c.zone, s.members()
	set.SnapshotEvery, set.KeepEnded, set.KeepEndedFor = 40+s.rng.IntN(100), 10, 20*time.Second
	generation := c.generation
	st, err := store.Open(store.Options{Settings: set, Disk: c.disk, Net: directNetwork{controlPlane: c}, Seed: s.rng.Uint64() | 1, Clock: c.process,
		Fatal:    func(err error) { s.schedule(0, func() { c.onDiskFault(generation, err) }) },
		RandomID: func() string { return fmt.Sprintf("%010X%010X", s.rng.Uint32(), s.rng.Uint32()) }})
	if errs.Is(err, errs.Disk) { // the process ends, as after any sync that fails
		s.trace("%s cannot open its folder: %v", c.addr, errs.Of(err))
		c.endIncarnation()
		s.schedule(500*time.Millisecond, c.restart)
		return
	}
	if err != nil {
		s.reportBreach("disk", "%s cannot read its folder: %v", c.addr, errs.Of(err))
		return
	}
	c.store, c.driver = st, st.Manual()
	c.batch, c.proposals, c.followers, c.role = nil, nil, nil, ""
	if found {
		must(c.driver.Bootstrap())
	}
	c.readDurable()
	s.trace("%s up, folder to %d", c.addr, c.durableIndex)
	s.checker.observed[c] = 0
	c.tick()
	c.after(10*time.Second, c.collectGarbage)
	if !c.driver.IsMember() || c.joining() {
		c.waitUntilReady()
	}
}

// checkDeadlines reads on a copy of the disk what the folder has.
func (c *controlPlane) readDurable() {
	c.durableSnapshot, c.durableIndex, c.durableTerms = 0, 0, map[uint64]uint64{}
	_, incarnationID, err := storage.Open(c.disk.Clone(), storage.Options{})
	must(err)
	if incarnationID.Snapshot != nil {
		c.durableSnapshot = incarnationID.Snapshot.Index
	}
	c.durableIndex = c.durableSnapshot
	for _, r := range incarnationID.Records {
		if r.Kind != storage.KindHardState {
			c.durableTerms[r.Index], c.durableIndex = r.Term, r.Index
		}
	}
}

func (c *controlPlane) joining() bool { _, _, ok := c.driver.JoinCall(); return ok }

// hasDurable tells whether the folder surely has the entry.
func (c *controlPlane) hasDurable(index, term uint64) bool {
	return index <= c.durableSnapshot || c.durableTerms[index] == term
}

// onDiskFault ends the life after a fault of the disk; a new one begins soon.
func (c *controlPlane) onDiskFault(generation int, err error) {
	if c.generation != generation || !c.alive {
		return
	}
	c.sim.trace("%s falls: %v", c.addr, errs.Of(err).Kind)
	c.crash(true)
	c.sim.schedule(c.sim.between(100*time.Millisecond, 5*time.Second), func() { c.restart() })
}

func (c *controlPlane) restart() {
	if !c.alive {
		c.open(false)
	}
}

// crash ends the life; power also takes what is not synced.
func (c *controlPlane) crash(power bool) {
	if !c.alive {
		return
	}
	s := c.sim
	c.endIncarnation()
	if power && c.batch != nil && s.chance(0.5) { // in the middle of a write
		c.disk.PowerOff(1 + s.rng.IntN(2))
		_ = c.batch.Write() // it fails
	}
	c.batch = nil
	if power {
		c.disk.Crash(mathrand.New(mathrand.NewSource(s.rng.Int64())))
	}
}

// waitUntilReady asks what an empty folder means, and then to be let in, until this node is a voter.
func (c *controlPlane) waitUntilReady() {
	if !c.driver.IsMember() {
		if c.sim.options.WithoutGuard == "learner" {
			must(c.driver.Bootstrap())
			c.tick()
			return
		}
		must(c.driver.ResolveEmptyFolder())
	}
	if c.driver.IsMember() {
		call, addr, ok := c.driver.JoinCall()
		if !ok {
			c.sim.trace("%s is a voter again", c.addr)
			return
		}
		if addr == "" || addr == c.addr {
			addr = c.sim.controlPlanes[c.sim.rng.IntN(5)].addr
		}
		if to := c.sim.byAddr[addr]; to != c.process {
			c.sim.request(request{from: c.process, addr: addr, timeout: 2 * time.Second, resendFor: time.Second,
				serve: func(to *process, reply func(any, error)) {
					a, err := c.sim.controlPlaneAt(to).join(call)
					c.sim.controlPlaneAt(to).advance()
					reply(a, err)
				},
				onAnswer: func(any, error, bool) {}})
		}
	}
	c.after(200*time.Millisecond, c.waitUntilReady)
}

func (s *sim) controlPlaneAt(p *process) *controlPlane {
	for _, c := range s.controlPlanes {
		if c.process == p {
			return c
		}
	}
	return nil
}

// tick is the loop's tick.
func (c *controlPlane) tick() {
	c.advance()
	c.after(10*time.Millisecond, c.tick)
}

func (c *controlPlane) collectGarbage() {
	c.driver.ProposeGC()
	c.advance()
	c.after(10*time.Second, c.collectGarbage)
}

// advance takes all output of the store to where it goes.
func (c *controlPlane) advance() {
	s := c.sim
	if !c.alive || c.driver == nil {
		return
	}
	c.driver.Pass()
	s.checker.observeCommits(c) // before Shade lets go of it
	for _, p := range c.driver.TakeMessages() {
		to := s.byAddr[p.Addr]
		if to == nil || to == c.process {
			continue
		}
		incarnation, call := to.generation, p.Call
		s.transmit(c.process, to, 500*time.Millisecond, true, func() bool { return true }, func() {
			to.execute(incarnation, func() {
				if d := s.controlPlaneAt(to); d.driver != nil {
					d.store.Step(call)
					d.advance()
				}
			})
		})
	}
	if b := c.driver.TakeDiskBatch(); b != nil {
		c.batch = b
		if s.options.WithoutGuard == "sync" && s.chance(0.5) {
			b.MarkStored()
			c.after(s.between(0, 300*time.Millisecond), func() { c.finishSync(b, false) })
		} else {
			c.after(s.between(200*time.Microsecond, 3*time.Millisecond)+c.syncDelay, func() { c.finishSync(b, true) })
		}
	}
	before := c.driver.SnapshotIndex()
	if err := c.driver.RunSnapshotter(); err != nil {
		c.onDiskFault(c.generation, err)
		return
	}
	if after := c.driver.SnapshotIndex(); after != before {
		c.durableSnapshot = max(c.durableSnapshot, after)
		s.report.Counts["slots written"]++
	}
	if c.driver.WantsSnapshot() {
		c.after(s.between(time.Millisecond, 50*time.Millisecond), func() {
			if err := c.driver.FetchSnapshot(); err == nil {
				s.report.Counts["snapshots fetched by a cplane"]++
				c.advance()
			}
		})
	}
	c.answerWaiting()
	if core := c.driver.Core(); core != nil {
		st := core.Status()
		if role := fmt.Sprintf("%s of term %d", st.Role, st.Term); role != c.role {
			c.role = role
			s.trace("%s is %s, commit %d, last %d", st.ID, role, st.Commit, st.Last)
			if st.Role == "leader" {
				s.report.Counts["leaders of the store"]++
			}
		}
		if st.Refused > 0 {
			s.reportBreach("log", "%s refused %d messages that contradict what is committed", c.addr, st.Refused)
		}
	}
}

// finishSync ends a sync.
func (c *controlPlane) finishSync(b *store.DiskBatch, deliver bool) {
	if c.batch != b {
		return
	}
	if c.failNextSync {
		c.failNextSync = false
		c.disk.FailSync(1)
	}
	if err := b.Write(); err != nil {
		c.sim.report.Faults["sync failed"]++
		c.batch = nil
		c.onDiskFault(c.generation, err)
		return
	}
	c.batch = nil
	for _, e := range b.Entries() {
		for i := e.Index; i <= c.durableIndex; i++ {
			delete(c.durableTerms, i)
		}
		c.durableTerms[e.Index], c.durableIndex = e.Term, e.Index
	}
	if deliver {
		b.MarkStored()
	}
	c.advance()
}

// answerWaiting ends the waits that have an outcome.
func (c *controlPlane) answerWaiting() {
	rest := c.proposals[:0:0]
	var do []func()
	for _, w := range c.proposals {
		index, a, err, ok := w.pending.Done()
		switch {
		case ok:
			do = append(do, func() { w.done(index, a, err) })
		case c.Now() >= w.deadline:
			err := w.pending.Abandon()
			do = append(do, func() { w.done(0, nil, err) })
		default:
			rest = append(rest, w)
		}
	}
	c.proposals = rest
	left := c.followers[:0:0]
	for _, f := range c.followers {
		lack, err := c.driver.ChangesAfter(f.version)
		switch {
		case err != nil:
			do = append(do, func() { f.reply(nil, err) })
		case lack != nil:
			do = append(do, func() {
				f.reply(internalapi.FollowAnswer{Updates: map[string]internalapi.SourceUpdate{"store": *lack}}, nil)
			})
		case c.Now() >= f.deadline:
			do = append(do, func() { f.reply(internalapi.FollowAnswer{}, nil) })
		default:
			left = append(left, f)
		}
	}
	c.followers = left
	for _, d := range do {
		d()
	}
}

// propose is the answer to internalapi.Propose.
func (c *controlPlane) propose(cmd command.Command, done func(index uint64, answer any, err error)) {
	first := cmd
	if p, ok := cmd.(*command.Plan); ok && c.sim.options.WithoutGuard == "epoch" {
		if d := c.driver.State().Roles["sched"]; d != nil {
			next := *p
			next.Epoch = d.Epoch
			cmd = &next
		}
	}
	if p, ok := first.(*command.Plan); ok {
		epoch, then := p.Epoch, done
		done = func(index uint64, answer any, err error) {
			if err == nil {
				c.sim.checker.observePlanCommitted(epoch, index)
			}
			then(index, answer, err)
		}
	}
	p, err := c.driver.Propose(cmd)
	if err != nil {
		done(0, nil, err)
		return
	}
	c.proposals = append(c.proposals, &proposal{p, c.Now() + 2*time.Second, done})
	c.advance()
}

func (c *controlPlane) grantRole(call internalapi.ClaimRoleCall, reply func(any, error)) {
	a, granted, cmd, err := c.driver.ClaimRole(call)
	if err != nil || cmd == nil {
		reply(c.stretchLease(a), err)
		return
	}
	c.propose(cmd, func(index uint64, _ any, err error) {
		a, err := c.driver.FinishRoleCall(call, granted, index, err)
		reply(c.stretchLease(a), err)
	})
}

// stretchLease takes a guard out: leases longer than the granter waits.
func (c *controlPlane) stretchLease(a internalapi.RoleLease) internalapi.RoleLease {
	if c.sim.options.WithoutGuard == "lease" {
		a.TTL *= 8
	}
	return a
}

func (c *controlPlane) follow(version uint64, wait time.Duration, reply func(any, error)) {
	c.followers = append(c.followers, &follower{version, c.Now() + wait, reply})
	c.answerWaiting()
}

// encodeJSON is what an answer is on the wire.
func encodeJSON(a any) json.RawMessage {
	raw, err := json.Marshal(a)
	must(err)
	return raw
}

// directNetwork is the store's way to others for the calls that are made within one event; they are lost like others.
type directNetwork struct {
	store.Net    // the other calls are not made here
	controlPlane *controlPlane
}

func (d directNetwork) reachable(addr string) (*controlPlane, error) {
	s := d.controlPlane.sim
	p := s.byAddr[addr]
	if p == nil || !p.alive || p.frozen || s.blocked(d.controlPlane.process, p) || s.blocked(p, d.controlPlane.process) || s.chance(s.network.lossRate) {
		return nil, errs.New(errs.Unavailable, "%s does not answer", addr)
	}
	return s.controlPlaneAt(p), nil
}

// Chunk reads a part of a peer's snapshot.
func (d directNetwork) FetchChunk(_ context.Context, addr string, call internalapi.ChunkCall) (internalapi.ChunkAnswer, error) {
	c, err := d.reachable(addr)
	if err != nil {
		return internalapi.ChunkAnswer{}, errs.Pass(err, "chunk")
	}
	a, err := c.store.Chunk(call)
	return a, errs.Pass(err, "chunk")
}

// Found asks a peer how it stands with the founding.
func (d directNetwork) BootstrapStatus(_ context.Context, addr string, call internalapi.DiscoverCall) (internalapi.DiscoverAnswer, error) {
	c, err := d.reachable(addr)
	if err != nil {
		return internalapi.DiscoverAnswer{}, errs.Pass(err, "found")
	}
	return c.store.BootstrapStatus(call), nil
}

func (c *controlPlane) join(call internalapi.JoinCall) (internalapi.JoinAnswer, error) {
	a, err := c.store.Join(context.Background(), call)
	return a, errs.Pass(err, "join")
}

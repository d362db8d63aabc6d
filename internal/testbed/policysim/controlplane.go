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
	disk    *storage.MemDisk
	store   *store.Store
	driver  *store.ManualDriver
	batch   *store.DiskBatch // on its way to the disk
	slow    time.Duration
	failing bool

	// what its folder surely has, as the disk said, by index: the term
	floor uint64
	terms map[uint64]uint64
	top   uint64

	// what a folder had that was lost since
	wiped string
	had   map[uint64]uint64
	hadTo uint64

	waits   []*proposal
	follows []*follower
	role    string
}

type proposal struct {
	proposal *store.Proposal
	by       time.Duration
	done     func(index uint64, answer any, err error)
}

type follower struct {
	version uint64
	by      time.Duration
	reply   func(any, error)
}

func (s *sim) members() (out []config.Member) {
	for i := range 5 {
		out = append(out, config.Member{ID: fmt.Sprintf("c%d", i), Addr: fmt.Sprintf("c%d", i), Zone: zone(i)})
	}
	return out
}

func zone(i int) string { return fmt.Sprintf("z%d", i%3) }

// open starts a life on what the disk has.
func (c *controlPlane) open(found bool) {
	s := c.sim
	c.begin()
	set := config.DefaultControlPlane()
	set.Name, set.Addr, set.Zone, set.Members = c.addr, c.addr, c.zone, s.members()
	set.SnapshotEvery, set.KeepEnded, set.KeepEndedFor = 40+s.rnd.IntN(100), 10, 20*time.Second
	gen := c.gen
	st, err := store.Open(store.Options{Settings: set, Disk: c.disk, Net: direct{controlPlane: c}, Seed: s.rnd.Uint64() | 1, Clock: c.process,
		Fatal:    func(err error) { s.on(0, func() { c.crashed(gen, err) }) },
		RandomID: func() string { return fmt.Sprintf("%010X%010X", s.rnd.Uint32(), s.rnd.Uint32()) }})
	if errs.Is(err, errs.Disk) { // the process ends, as after any sync that fails
		s.trace("%s cannot open its folder: %v", c.addr, errs.Of(err))
		c.die()
		s.on(500*time.Millisecond, c.up)
		return
	}
	if err != nil {
		s.reportBreach("disk", "%s cannot read its folder: %v", c.addr, errs.Of(err))
		return
	}
	c.store, c.driver = st, st.Manual()
	c.batch, c.waits, c.follows, c.role = nil, nil, nil, ""
	if found {
		must(c.driver.Bootstrap())
	}
	c.look()
	s.trace("%s up, folder to %d", c.addr, c.top)
	s.invariantChecker.seen[c] = 0
	c.turn()
	c.after(10*time.Second, c.expire)
	if !c.driver.IsMember() || c.joining() {
		c.waitUntilReady()
	}
}

// onEvent reads on a copy of the disk what the folder has.
func (c *controlPlane) look() {
	c.floor, c.top, c.terms = 0, 0, map[uint64]uint64{}
	_, incarnationID, err := storage.Open(c.disk.Clone(), storage.Options{})
	must(err)
	if incarnationID.Snapshot != nil {
		c.floor = incarnationID.Snapshot.Index
	}
	c.top = c.floor
	for _, r := range incarnationID.Records {
		if r.Kind != storage.KindHardState {
			c.terms[r.Index], c.top = r.Term, r.Index
		}
	}
}

func (c *controlPlane) joining() bool { _, _, ok := c.driver.JoinCall(); return ok }

// has tells whether the folder surely has the entry.
func (c *controlPlane) has(index, term uint64) bool {
	return index <= c.floor || c.terms[index] == term
}

// crashed ends the life after a fault of the disk; a new one begins soon.
func (c *controlPlane) crashed(gen int, err error) {
	if c.gen != gen || !c.alive {
		return
	}
	c.sim.trace("%s falls: %v", c.addr, errs.Of(err).Kind)
	c.crash(true)
	c.sim.on(c.sim.between(100*time.Millisecond, 5*time.Second), func() { c.up() })
}

func (c *controlPlane) up() {
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
	c.die()
	if power && c.batch != nil && s.chance(0.5) { // in the middle of a write
		c.disk.PowerOff(1 + s.rnd.IntN(2))
		_ = c.batch.Write() // it fails
	}
	c.batch = nil
	if power {
		c.disk.Crash(mathrand.New(mathrand.NewSource(s.rnd.Int64())))
	}
}

// waitUntilReady asks what an empty folder means, and then to be let in, until this node is a voter.
func (c *controlPlane) waitUntilReady() {
	if !c.driver.IsMember() {
		if c.sim.opt.Break == "learner" {
			must(c.driver.Bootstrap())
			c.turn()
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
			addr = c.sim.controlPlanes[c.sim.rnd.IntN(5)].addr
		}
		if to := c.sim.byAddr[addr]; to != c.process {
			c.sim.request(request{from: c.process, addr: addr, within: 2 * time.Second, keep: time.Second,
				serve: func(to *process, reply func(any, error)) {
					a, err := c.sim.controlPlaneAt(to).join(call)
					c.sim.controlPlaneAt(to).pump()
					reply(a, err)
				},
				back: func(any, error, bool) {}})
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

// turn is the loop's tick.
func (c *controlPlane) turn() {
	c.pump()
	c.after(10*time.Millisecond, c.turn)
}

func (c *controlPlane) expire() {
	c.driver.ProposeGC()
	c.pump()
	c.after(10*time.Second, c.expire)
}

// pump takes all output of the store to where it goes.
func (c *controlPlane) pump() {
	s := c.sim
	if !c.alive || c.driver == nil {
		return
	}
	c.driver.Pass()
	s.invariantChecker.committed(c) // before Shade lets go of it
	for _, p := range c.driver.TakeMessages() {
		to := s.byAddr[p.Addr]
		if to == nil || to == c.process {
			continue
		}
		incarnation, call := to.gen, p.Call
		s.transmit(c.process, to, 500*time.Millisecond, true, func() bool { return true }, func() {
			to.run(incarnation, func() {
				if d := s.controlPlaneAt(to); d.driver != nil {
					d.store.Step(call)
					d.pump()
				}
			})
		})
	}
	if b := c.driver.TakeDiskBatch(); b != nil {
		c.batch = b
		if s.opt.Break == "sync" && s.chance(0.5) {
			b.MarkStored()
			c.after(s.between(0, 300*time.Millisecond), func() { c.synced(b, false) })
		} else {
			c.after(s.between(200*time.Microsecond, 3*time.Millisecond)+c.slow, func() { c.synced(b, true) })
		}
	}
	before := c.driver.SnapshotIndex()
	if err := c.driver.RunSnapshotter(); err != nil {
		c.crashed(c.gen, err)
		return
	}
	if after := c.driver.SnapshotIndex(); after != before {
		c.floor = max(c.floor, after)
		s.report.Counts["slots written"]++
	}
	if c.driver.WantsSnapshot() {
		c.after(s.between(time.Millisecond, 50*time.Millisecond), func() {
			if err := c.driver.FetchSnapshot(); err == nil {
				s.report.Counts["snapshots fetched by a cplane"]++
				c.pump()
			}
		})
	}
	c.answer()
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

// synced ends a sync.
func (c *controlPlane) synced(b *store.DiskBatch, deliver bool) {
	if c.batch != b {
		return
	}
	if c.failing {
		c.failing = false
		c.disk.FailSync(1)
	}
	if err := b.Write(); err != nil {
		c.sim.report.Faults["sync failed"]++
		c.batch = nil
		c.crashed(c.gen, err)
		return
	}
	c.batch = nil
	for _, e := range b.Entries() {
		for i := e.Index; i <= c.top; i++ {
			delete(c.terms, i)
		}
		c.terms[e.Index], c.top = e.Term, e.Index
	}
	if deliver {
		b.MarkStored()
	}
	c.pump()
}

// answer ends the waits that have an outcome.
func (c *controlPlane) answer() {
	rest := c.waits[:0:0]
	var do []func()
	for _, w := range c.waits {
		index, a, err, ok := w.proposal.Done()
		switch {
		case ok:
			do = append(do, func() { w.done(index, a, err) })
		case c.Now() >= w.by:
			err := w.proposal.Abandon()
			do = append(do, func() { w.done(0, nil, err) })
		default:
			rest = append(rest, w)
		}
	}
	c.waits = rest
	left := c.follows[:0:0]
	for _, f := range c.follows {
		lack, err := c.driver.ChangesAfter(f.version)
		switch {
		case err != nil:
			do = append(do, func() { f.reply(nil, err) })
		case lack != nil:
			do = append(do, func() {
				f.reply(internalapi.FollowAnswer{Updates: map[string]internalapi.SourceUpdate{"store": *lack}}, nil)
			})
		case c.Now() >= f.by:
			do = append(do, func() { f.reply(internalapi.FollowAnswer{}, nil) })
		default:
			left = append(left, f)
		}
	}
	c.follows = left
	for _, d := range do {
		d()
	}
}

// propose is the answer to internalapi.Propose.
func (c *controlPlane) propose(cmd command.Command, done func(index uint64, answer any, err error)) {
	first := cmd
	if p, ok := cmd.(*command.Plan); ok && c.sim.opt.Break == "epoch" {
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
				c.sim.invariantChecker.planned(epoch, index)
			}
			then(index, answer, err)
		}
	}
	p, err := c.driver.Propose(cmd)
	if err != nil {
		done(0, nil, err)
		return
	}
	c.waits = append(c.waits, &proposal{p, c.Now() + 2*time.Second, done})
	c.pump()
}

func (c *controlPlane) grantRole(call internalapi.ClaimRoleCall, reply func(any, error)) {
	a, granted, cmd, err := c.driver.ClaimRole(call)
	if err != nil || cmd == nil {
		reply(c.signRole(a), err)
		return
	}
	c.propose(cmd, func(index uint64, _ any, err error) {
		a, err := c.driver.FinishRoleCall(call, granted, index, err)
		reply(c.signRole(a), err)
	})
}

// signRole takes a guard out: leases longer than the granter waits.
func (c *controlPlane) signRole(a internalapi.RoleLease) internalapi.RoleLease {
	if c.sim.opt.Break == "lease" {
		a.TTL *= 8
	}
	return a
}

func (c *controlPlane) follow(version uint64, wait time.Duration, reply func(any, error)) {
	c.follows = append(c.follows, &follower{version, c.Now() + wait, reply})
	c.answer()
}

// jsonOf is what an answer is on the wire.
func jsonOf(a any) json.RawMessage {
	raw, err := json.Marshal(a)
	must(err)
	return raw
}

// direct is the store's way to others for the calls that are made within one event; they are lost like others.
type direct struct {
	store.Net    // the other calls are not made here
	controlPlane *controlPlane
}

func (d direct) to(addr string) (*controlPlane, error) {
	s := d.controlPlane.sim
	p := s.byAddr[addr]
	if p == nil || !p.alive || p.frozen || s.blocked(d.controlPlane.process, p) || s.blocked(p, d.controlPlane.process) || s.chance(s.net.lose) {
		return nil, errs.New(errs.Unavailable, "%s does not answer", addr)
	}
	return s.controlPlaneAt(p), nil
}

// Chunk reads a part of a peer's snapshot.
func (d direct) FetchChunk(_ context.Context, addr string, call internalapi.ChunkCall) (internalapi.ChunkAnswer, error) {
	c, err := d.to(addr)
	if err != nil {
		return internalapi.ChunkAnswer{}, errs.Pass(err, "chunk")
	}
	a, err := c.store.Chunk(call)
	return a, errs.Pass(err, "chunk")
}

// Found asks a peer how it stands with the founding.
func (d direct) BootstrapStatus(_ context.Context, addr string, call internalapi.DiscoverCall) (internalapi.DiscoverAnswer, error) {
	c, err := d.to(addr)
	if err != nil {
		return internalapi.DiscoverAnswer{}, errs.Pass(err, "found")
	}
	return c.store.BootstrapStatus(call), nil
}

func (c *controlPlane) join(call internalapi.JoinCall) (internalapi.JoinAnswer, error) {
	a, err := c.store.Join(context.Background(), call)
	return a, errs.Pass(err, "join")
}

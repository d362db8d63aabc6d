package policysim

import (
	"fmt"
	mathrand "math/rand"
	"time"

	"crosstide/internal/config"
	"crosstide/internal/errs"
	"crosstide/internal/storage"
	"crosstide/internal/store"
)

// controlPlane is a machine with a disk, on which the store runs. Its steps are taken by store.ManualDriver as events,
// where the daemon has goroutines: controlplaneloop.go. controlplanecalls.go answers the calls of other nodes.
type controlPlane struct {
	*process
	disk      *storage.MemDisk
	store     *store.Store
	driver    *store.ManualDriver
	batch     *store.DiskBatch // being written to the disk
	proposals []*proposal      // whose outcome is awaited
	followers []*follower      // whose replicas lack nothing yet
	role      string           // with its term, as the trace has it

	durable durableLog // of the folder, by what the disk has reported as synced
	wipedID string     // under which the node was a member before its disk was wiped; "": it was not
	wiped   durableLog // of the folder that was wiped

	syncDelay    time.Duration // for the fault slow
	failNextSync bool          // for the fault sync
}

// durableLog is what of the log a folder surely has.
type durableLog struct {
	snapshot uint64            // index of the newest snapshot: all entries up to it are had
	terms    map[uint64]uint64 // of the entries, by index
	last     uint64            // index of the last entry
}

// has tells whether the folder surely has an entry.
func (l *durableLog) has(index, term uint64) bool {
	return index <= l.snapshot || l.terms[index] == term
}

// add adds an entry, which replaces what stood at its index and after it.
func (l *durableLog) add(index, term uint64) {
	for i := index; i <= l.last; i++ {
		delete(l.terms, i)
	}
	l.terms[index], l.last = term, index
}

// open starts an incarnation on what the disk has. bootstrap: the node is one of the store's first members.
func (c *controlPlane) open(bootstrap bool) {
	s := c.sim
	c.startIncarnation()
	opened, err := c.openStore()
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
	c.store, c.driver = opened, opened.Manual()
	c.batch, c.proposals, c.followers, c.role = nil, nil, nil, ""
	if bootstrap {
		must(c.driver.Bootstrap())
	}
	c.durable = readDurable(c.disk)
	s.trace("%s up, folder to %d", c.addr, c.durable.last)
	s.checker.observed[c] = 0
	c.tick()
	c.after(10*time.Second, c.collectGarbage)
	if !c.driver.IsMember() || c.isJoining() {
		c.joinMembers()
	}
}

func (c *controlPlane) openStore() (*store.Store, error) {
	s, generation := c.sim, c.generation
	settings := config.DefaultControlPlane()
	settings.Name, settings.Addr, settings.Zone, settings.Members = c.addr, c.addr, c.zone, initialMembers()
	settings.SnapshotEvery, settings.KeepEnded, settings.KeepEndedFor = 40+s.rng.IntN(100), 10, 20*time.Second
	opened, err := store.Open(store.Options{Settings: settings, Disk: c.disk, Net: directNetwork{controlPlane: c},
		Seed: s.rng.Uint64() | 1, Clock: c.process,
		Fatal:    func(err error) { s.schedule(0, func() { c.onDiskFault(generation, err) }) },
		RandomID: func() string { return fmt.Sprintf("%010X%010X", s.rng.Uint32(), s.rng.Uint32()) }})
	return opened, errs.Pass(err, "store")
}

// readDurable reads on a copy of the disk what the folder has.
func readDurable(disk *storage.MemDisk) durableLog {
	log := durableLog{terms: map[uint64]uint64{}}
	_, contents, err := storage.Open(disk.Clone(), storage.Options{})
	must(err)
	if contents.Snapshot != nil {
		log.snapshot = contents.Snapshot.Index
	}
	log.last = log.snapshot
	for _, record := range contents.Records {
		if record.Kind != storage.KindHardState {
			log.terms[record.Index], log.last = record.Term, record.Index
		}
	}
	return log
}

// restart starts another incarnation, unless one runs.
func (c *controlPlane) restart() {
	if !c.alive {
		c.open(false)
	}
}

// onDiskFault ends an incarnation whose disk has failed; another one starts soon.
func (c *controlPlane) onDiskFault(generation int, err error) {
	if c.generation != generation || !c.alive {
		return
	}
	c.sim.trace("%s falls: %v", c.addr, errs.Of(err).Kind)
	c.crash(true)
	c.sim.schedule(c.sim.between(100*time.Millisecond, 5*time.Second), c.restart)
}

// crash ends the incarnation. A loss of power also takes what is not synced, now and then in the middle of a write.
func (c *controlPlane) crash(losesPower bool) {
	if !c.alive {
		return
	}
	s := c.sim
	c.endIncarnation()
	if losesPower && c.batch != nil && s.chance(0.5) {
		c.disk.PowerOff(1 + s.rng.IntN(2))
		_ = c.batch.Write() // it fails
	}
	c.batch = nil
	if losesPower {
		c.disk.Crash(mathrand.New(mathrand.NewSource(s.rng.Int64())))
	}
}

// isJoining tells whether the node is a member that is not a voter yet.
func (c *controlPlane) isJoining() bool {
	_, _, ok := c.driver.JoinCall()
	return ok
}

// joinMembers finds out what an empty folder means, and then asks to join, until this node is a voter.
func (c *controlPlane) joinMembers() {
	if !c.driver.IsMember() {
		if c.sim.options.WithoutGuard == "learner" {
			must(c.driver.Bootstrap())
			c.tick()
			return
		}
		must(c.driver.ResolveEmptyFolder())
	}
	if c.driver.IsMember() {
		if isVoter := !c.sendJoinCall(); isVoter {
			c.sim.trace("%s is a voter again", c.addr)
			return
		}
	}
	c.after(200*time.Millisecond, c.joinMembers)
}

// sendJoinCall asks the leader, or any node, to take this one in; false if it is a voter.
func (c *controlPlane) sendJoinCall() bool {
	s := c.sim
	call, addr, ok := c.driver.JoinCall()
	if !ok {
		return false
	}
	if addr == "" || addr == c.addr {
		addr = s.controlPlanes[s.rng.IntN(5)].addr
	}
	if s.byAddr[addr] == c.process {
		return true
	}
	s.request(request{from: c.process, addr: addr, timeout: 2 * time.Second, resendFor: time.Second,
		serve: func(to *process, reply func(any, error)) {
			peer := s.controlPlaneAt(to)
			answer, err := peer.join(call)
			peer.advance()
			reply(answer, err)
		},
		onAnswer: func(any, error, bool) {}}) // the next call shows whether it is a voter
	return true
}

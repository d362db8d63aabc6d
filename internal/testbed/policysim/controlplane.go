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

// controlPlane simulates a control-plane node: a machine with a disk that runs the store. In place of the daemon's
// goroutines, events take the steps of store.ManualDriver (controlplaneloop.go). controlplanecalls.go serves the calls
// of other nodes.
type controlPlane struct {
	*process
	disk           *storage.MemDisk
	store          *store.Store
	driver         *store.ManualDriver
	batch          *store.DiskBatch // being written to the disk; nil: none
	proposals      []*proposal      // proposals whose outcome is unknown yet
	pendingFollows []*pendingFollow // follow calls that wait for the next change
	role           string           // raft role and term that were traced last

	durable  durableLog // synced log in the data folder
	wipedID  string     // member ID that the node had before its disk was wiped; "": none
	wipedLog durableLog // value of durable when the disk was wiped

	syncDelay    time.Duration // set by the fault slow
	failNextSync bool          // set by the fault sync
}

// durableLog is the part of the log that is known to be durable in a data folder.
type durableLog struct {
	snapshot uint64            // index of the newest snapshot, which covers all entries up to it
	terms    map[uint64]uint64 // terms of the entries, by index
	last     uint64            // index of the last entry
}

// has reports whether an entry is durable.
func (l *durableLog) has(index, term uint64) bool {
	return index <= l.snapshot || l.terms[index] == term
}

// add adds an entry, after it has removed all entries from its index on.
func (l *durableLog) add(index, term uint64) {
	for i := index; i <= l.last; i++ {
		delete(l.terms, i)
	}
	l.terms[index], l.last = term, index
}

// open starts an incarnation from the content of the disk. bootstrap is set for the initial members at the start of the
// run.
func (c *controlPlane) open(bootstrap bool) {
	s := c.sim
	c.startIncarnation()
	opened, err := c.openStore()
	if errs.Is(err, errs.Disk) { // the process ends, as after any failed sync
		s.trace("%s cannot open its folder: %v", c.addr, errs.Of(err))
		c.endIncarnation()
		s.schedule(500*time.Millisecond, c.restart)
		return
	}
	if err != nil {
		s.reportViolation("disk", "%s cannot read its folder: %v", c.addr, errs.Of(err))
		return
	}
	c.store, c.driver = opened, opened.Manual()
	c.batch, c.proposals, c.pendingFollows, c.role = nil, nil, nil, ""
	if bootstrap {
		must(c.driver.Bootstrap())
	}
	c.durable = readDurable(c.disk)
	s.trace("%s up, folder to %d", c.addr, c.durable.last)
	s.checker.compared[c] = 0
	c.tick()
	c.after(10*time.Second, c.proposeGarbageCollection)
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

// readDurable reads the data folder from a copy of the disk.
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

// restart starts another incarnation, unless one is running.
func (c *controlPlane) restart() {
	if !c.alive {
		c.open(false)
	}
}

// onDiskFault crashes an incarnation whose disk has failed, and restarts the node later.
func (c *controlPlane) onDiskFault(generation int, err error) {
	if c.generation != generation || !c.alive {
		return
	}
	c.sim.trace("%s falls: %v", c.addr, errs.Of(err).Kind)
	c.crash(true)
	c.sim.schedule(c.sim.between(100*time.Millisecond, 5*time.Second), c.restart)
}

// crash ends the incarnation. With losesPower, unsynced data is lost too, sometimes in the middle of a write.
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

// isJoining reports whether the node is a member that is not a voter yet.
func (c *controlPlane) isJoining() bool {
	_, _, ok := c.driver.JoinCall()
	return ok
}

// joinMembers resolves an empty data folder, and then sends join calls until this node is a voter.
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

// sendJoinCall asks the leader, or a random node, to add this node to the members. It returns false if the node is
// already a voter.
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
		onAnswer: func(any, error, bool) {}}) // the next call finds out whether it is a voter
	return true
}

package raft

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// diskWrite is a queued write: that of a Ready, or a compaction of the stored log.
type diskWrite struct {
	due       time.Duration
	ready     Ready
	compactTo uint64 // 0: no compaction
}

// node is a member with its disk, which outlives a crash.
type node struct {
	core        *Core // nil while down
	id          string
	disk        InitialState  // the durable state
	queue       []diskWrite   // writes that are not synced yet, in order
	clockOffset time.Duration // its clock at simulation time 0
	minSyncTime time.Duration // minimum duration of a sync
	applied     uint64        // last index applied
	down        bool
}

// inTransit is a message and its time of arrival.
type inTransit struct {
	at  time.Duration
	msg Message
}

// simulation runs nodes with a virtual clock, a simulated network and simulated disks, and checks the invariants of
// Raft at every step.
type simulation struct {
	random    *rand.Rand
	now       time.Duration
	nodes     []*node
	net       []inTransit
	partition map[string]int    // partition number by member ID; messages between partitions are lost
	loss      float64           // probability that a copy of a message is lost
	committed []Entry           // committed by any node, from index 2 on
	leaders   map[uint64]string // leader by term
	reads     int               // reads that a lease allowed
	failures  []string          // violated invariants; the run stops at the first one
}

func (sim *simulation) fail(format string, args ...any) {
	sim.failures = append(sim.failures, fmt.Sprintf(format, args...))
}

// clockOf returns the time on the clock of a node.
func (sim *simulation) clockOf(n *node) time.Duration { return sim.now + n.clockOffset }

func voters(ids ...string) (members []Member) {
	for _, id := range ids {
		members = append(members, Member{ID: id, Addr: id})
	}
	return members
}

func newSimulation(seed uint64, bootstrapIDs ...string) *simulation {
	sim := &simulation{random: rand.New(rand.NewPCG(seed, 1)), partition: map[string]int{}, leaders: map[uint64]string{}}
	for _, id := range bootstrapIDs {
		sim.join(id, Bootstrap(voters(bootstrapIDs...)))
	}
	return sim
}

// join adds a node with the initial state disk, and starts it.
func (sim *simulation) join(id string, disk InitialState) *node {
	n := &node{id: id, disk: disk, clockOffset: time.Duration(sim.random.Int64N(int64(time.Hour)))}
	sim.nodes = append(sim.nodes, n)
	sim.startNode(n)
	return n
}

func (sim *simulation) startNode(n *node) {
	cfg := Config{ID: n.id, Seed: sim.random.Uint64(), MaxAppendBytes: 200, MaxInflightAppends: 4}
	var err error
	n.core, err = New(cfg, n.disk, sim.clockOf(n))
	if err != nil {
		sim.fail("start %s: %v", n.id, err)
		n.down = true
		return
	}
	n.down, n.queue, n.applied = false, nil, n.disk.Snapshot.Index
}

func (sim *simulation) node(id string) *node {
	return sim.nodes[slices.IndexFunc(sim.nodes, func(n *node) bool { return n.id == id })]
}

func (sim *simulation) send(messages []Message) {
	for _, m := range messages {
		for sim.random.Float64() >= sim.loss { // each copy is lost or duplicated with the same probability
			delay := time.Duration(sim.random.Int64N(int64(20 * time.Millisecond)))
			if sim.loss > 0 && sim.random.IntN(50) == 0 {
				delay *= 100
			}
			sim.net = append(sim.net, inTransit{sim.now + delay, m})
			if sim.random.Float64() >= sim.loss {
				break
			}
		}
	}
}

// meta returns the description of a snapshot after the entry at index. members is the member set that applies unless a
// committed entry up to index has another one.
func (sim *simulation) meta(index uint64, members []Member) Meta {
	meta := Meta{Index: index, Term: 1, Members: members}
	for _, e := range sim.committed[:index-1] {
		meta.Term = e.Term
		if e.Kind == Members {
			conf, _ := configurationOf(e)
			meta.Members = conf.members
		}
	}
	return meta
}

// processReady processes one Ready of a node and checks the invariants.
func (sim *simulation) processReady(n *node) {
	r := n.core.Ready()
	sim.send(r.Messages)
	sim.apply(n, r.CommittedEntries)
	if sim.fetchSnapshot(n, r) {
		sim.processReady(n)
		return
	}
	if r.HardState != nil || r.ResetLog || len(r.Entries) > 0 || len(r.MessagesAfterSync) > 0 {
		due := sim.now + n.minSyncTime + time.Duration(sim.random.Int64N(int64(30*time.Millisecond)))
		n.queue = append(n.queue, diskWrite{due: due, ready: r})
	}
	if last := n.disk.Snapshot; n.applied > last.Index+30 {
		n.disk.Snapshot = sim.meta(n.applied, last.Members)
		n.core.SnapshotPersisted(n.disk.Snapshot)
		n.core.Compact(n.applied - 10)
		n.queue = append(n.queue, diskWrite{due: sim.now, compactTo: n.applied - 10})
	}
	sim.checkLeadership(n)
}

// apply applies committed entries in order, and checks that all nodes commit the same ones.
func (sim *simulation) apply(n *node, entries []Entry) {
	for _, e := range entries {
		if n.applied++; e.Index != n.applied {
			sim.fail("%s applied entry %d after %d", n.id, e.Index, n.applied-1)
		}
		if at := int(e.Index) - 2; at == len(sim.committed) {
			sim.committed = append(sim.committed, e)
		} else if at > len(sim.committed) || !isSameEntry(sim.committed[at], e) {
			sim.fail("%s committed a different entry %d", n.id, e.Index)
		}
	}
}

// isSameEntry reports whether two entries with the same index are equal.
func isSameEntry(a, b Entry) bool { return a.Term == b.Term && string(a.Data) == string(b.Data) }

// fetchSnapshot installs the snapshot that r requests, and reports whether it succeeded: one fetch in four fails.
func (sim *simulation) fetchSnapshot(n *node, r Ready) bool {
	fetch := r.Fetch
	if fetch == nil || sim.node(fetch.From).down || sim.partition[fetch.From] != sim.partition[n.id] {
		return false
	}
	snapshot := sim.node(fetch.From).disk.Snapshot
	if snapshot.Index <= r.Commit || sim.random.IntN(4) == 0 {
		return false
	}
	n.queue = append(n.queue, diskWrite{due: sim.now, ready: r})
	sim.sync(n, true)
	n.disk.Snapshot, n.applied = snapshot, snapshot.Index
	n.core.SnapshotInstalled(sim.clockOf(n), snapshot)
	return true
}

// checkLeadership checks that a term has at most one leader, and that a lease read sees every committed entry.
func (sim *simulation) checkLeadership(n *node) {
	term := n.core.hardState.Term
	if n.core.refused > 0 {
		sim.fail("%s refused a message", n.id)
	}
	if n.core.role == Leader {
		if l := sim.leaders[term]; l != "" && l != n.id {
			sim.fail("term %d has two leaders, %s and %s", term, l, n.id)
		}
		sim.leaders[term] = n.id
	}
	if at, ok := n.core.LeaseReadIndex(sim.clockOf(n)); ok {
		if sim.reads++; at < uint64(len(sim.committed))+1 {
			sim.fail("%s allows a read at index %d in term %d, but %d is committed", n.id, at, term, len(sim.committed)+1)
		}
	}
}

// sync makes the queued writes of a node durable in order: those that are due, or all of them.
func (sim *simulation) sync(n *node, all bool) {
	for len(n.queue) > 0 && (all || n.queue[0].due <= sim.now) {
		write := n.queue[0]
		n.queue = n.queue[1:]
		if write.ready.HardState != nil {
			n.disk.HardState = *write.ready.HardState
		}
		if write.ready.ResetLog {
			n.disk.Entries = nil
		}
		stored := n.disk.Entries
		if entries := write.ready.Entries; len(entries) > 0 {
			last := entries[len(entries)-1]
			stored = slices.DeleteFunc(slices.Clone(stored), func(e Entry) bool { return e.Index >= entries[0].Index })
			stored = append(stored, entries...)
			n.core.Synced(sim.clockOf(n), last.Index, last.Term)
		}
		isCompacted := func(e Entry) bool { return e.Index <= write.compactTo }
		n.disk.Entries = slices.DeleteFunc(slices.Clone(stored), isCompacted)
		sim.send(write.ready.MessagesAfterSync)
	}
}

// run advances the simulation by duration, and calls onStep (which may be nil) at each step.
func (sim *simulation) run(duration time.Duration, onStep func()) {
	const step = 20 * time.Millisecond
	for end := sim.now + duration; sim.now < end && len(sim.failures) == 0; sim.now += step {
		sim.deliver()
		for _, n := range sim.nodes {
			if !n.down {
				n.core.Tick(sim.clockOf(n))
				sim.sync(n, false)
				sim.processReady(n)
			}
		}
		if onStep != nil {
			onStep()
		}
	}
}

// deliver passes the messages whose time of arrival has come to their receivers.
func (sim *simulation) deliver() {
	messages := sim.net
	sim.net = nil
	for _, m := range messages {
		if m.at > sim.now {
			sim.net = append(sim.net, m)
			continue
		}
		i := slices.IndexFunc(sim.nodes, func(n *node) bool { return n.id == m.msg.To })
		if i >= 0 && !sim.nodes[i].down && sim.partition[m.msg.From] == sim.partition[m.msg.To] {
			sim.nodes[i].core.Step(sim.clockOf(sim.nodes[i]), m.msg)
		}
	}
}

// leader returns the leader of the highest term, or nil if no node's role is Leader.
func (sim *simulation) leader() (newest *node) {
	for _, n := range sim.nodes {
		if !n.down && n.core.role == Leader && (newest == nil || n.core.hardState.Term > newest.core.hardState.Term) {
			newest = n
		}
	}
	return newest
}

// propose proposes an entry on every node whose role is Leader.
func (sim *simulation) propose() {
	for _, n := range sim.nodes {
		if !n.down && n.core.role == Leader {
			_, _, _ = n.core.Propose(sim.clockOf(n), json.RawMessage(fmt.Sprintf(`"%s at %d"`, n.id, sim.now)))
		}
	}
}

func (*simulation) crash(n *node) { n.down, n.core = true, nil }

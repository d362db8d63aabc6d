package raft

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// diskWrite is one Ready, or a compaction of the stored log, on its way to the disk.
type diskWrite struct {
	due       time.Duration
	ready     Ready
	compactTo uint64 // 0: nothing is compacted
}

// node is a member with its disk, which outlives a crash.
type node struct {
	core    *Core // nil while down
	id      string
	disk    InitialState  // what is durable
	queue   []diskWrite   // what the disk has still to sync, in order
	zero    time.Duration // its clock at world time 0
	slow    time.Duration // least time of a sync
	applied uint64
	down    bool
}

// inTransit is a message and when it arrives.
type inTransit struct {
	at  time.Duration
	msg Message
}

// world runs nodes under a virtual clock, on a simulated network and disks, and checks the invariants at every step.
type world struct {
	random    *rand.Rand
	now       time.Duration
	nodes     []*node
	net       []inTransit
	partition map[string]int    // by member; different ones do not reach each other
	loss      float64           // probability that a copy of a message is lost
	committed []Entry           // by any node, from index 2 on
	leaders   map[uint64]string // by term
	reads     int               // that a lease allowed
	failures  []string          // violated invariants; the run ends at the first
}

func (w *world) fail(format string, args ...any) {
	w.failures = append(w.failures, fmt.Sprintf(format, args...))
}

// clockOf returns the time on the clock of a node.
func (w *world) clockOf(n *node) time.Duration { return w.now + n.zero }

func voters(ids ...string) (members []Member) {
	for _, id := range ids {
		members = append(members, Member{ID: id, Addr: id})
	}
	return members
}

func newWorld(seed uint64, bootstrapIDs ...string) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), partition: map[string]int{}, leaders: map[uint64]string{}}
	for _, id := range bootstrapIDs {
		w.join(id, Bootstrap(voters(bootstrapIDs...)))
	}
	return w
}

// join adds a node whose disk has the initial state, and starts it.
func (w *world) join(id string, disk InitialState) *node {
	n := &node{id: id, disk: disk, zero: time.Duration(w.random.Int64N(int64(time.Hour)))}
	w.nodes = append(w.nodes, n)
	w.startNode(n)
	return n
}

func (w *world) startNode(n *node) {
	cfg := Config{ID: n.id, Seed: w.random.Uint64(), MaxAppendBytes: 200, MaxInflightAppends: 4}
	var err error
	n.core, err = New(cfg, n.disk, w.clockOf(n))
	if err != nil {
		w.fail("start %s: %v", n.id, err)
		n.down = true
		return
	}
	n.down, n.queue, n.applied = false, nil, n.disk.Snapshot.Index
}

func (w *world) node(id string) *node {
	return w.nodes[slices.IndexFunc(w.nodes, func(n *node) bool { return n.id == id })]
}

func (w *world) send(messages []Message) {
	for _, m := range messages {
		for w.random.Float64() >= w.loss { // each copy is lost or duplicated with the same probability
			delay := time.Duration(w.random.Int64N(int64(20 * time.Millisecond)))
			if w.loss > 0 && w.random.IntN(50) == 0 {
				delay *= 100
			}
			w.net = append(w.net, inTransit{w.now + delay, m})
			if w.random.Float64() >= w.loss {
				break
			}
		}
	}
}

// meta describes the state after index. members is the set in force if no committed entry has another one.
func (w *world) meta(index uint64, members []Member) Meta {
	meta := Meta{Index: index, Term: 1, Members: members}
	for _, e := range w.committed[:index-1] {
		meta.Term = e.Term
		if e.Kind == Members {
			conf, _ := configurationOf(e)
			meta.Members = conf.members
		}
	}
	return meta
}

// pump executes one Ready of a node and checks the invariants.
func (w *world) pump(n *node) {
	r := n.core.Ready()
	w.send(r.Messages)
	w.apply(n, r.CommittedEntries)
	if w.fetchSnapshot(n, r) {
		w.pump(n)
		return
	}
	if r.HardState != nil || r.ResetLog || len(r.Entries) > 0 || len(r.MessagesAfterSync) > 0 {
		due := w.now + n.slow + time.Duration(w.random.Int64N(int64(30*time.Millisecond)))
		n.queue = append(n.queue, diskWrite{due: due, ready: r})
	}
	if s := n.disk.Snapshot; n.applied > s.Index+30 {
		n.disk.Snapshot = w.meta(n.applied, s.Members)
		n.core.SnapshotPersisted(n.disk.Snapshot)
		n.core.Compact(n.applied - 10)
		n.queue = append(n.queue, diskWrite{due: w.now, compactTo: n.applied - 10})
	}
	w.checkLeadership(n)
}

// apply applies committed entries in order, and checks that all nodes commit the same ones.
func (w *world) apply(n *node, entries []Entry) {
	for _, e := range entries {
		if n.applied++; e.Index != n.applied {
			w.fail("%s applies %d after %d", n.id, e.Index, n.applied-1)
		}
		if at := int(e.Index) - 2; at == len(w.committed) {
			w.committed = append(w.committed, e)
		} else if at > len(w.committed) || !isSame(w.committed[at], e) {
			w.fail("%s commits another entry %d", n.id, e.Index)
		}
	}
}

// isSame reports whether two entries of one index are the same.
func isSame(a, b Entry) bool { return a.Term == b.Term && string(a.Data) == string(b.Data) }

// fetchSnapshot installs the snapshot that r asks for, and reports whether it did: it fails now and then.
func (w *world) fetchSnapshot(n *node, r Ready) bool {
	fetch := r.Fetch
	if fetch == nil || w.node(fetch.From).down || w.partition[fetch.From] != w.partition[n.id] {
		return false
	}
	snapshot := w.node(fetch.From).disk.Snapshot
	if snapshot.Index <= r.Commit || w.random.IntN(4) == 0 {
		return false
	}
	n.queue = append(n.queue, diskWrite{due: w.now, ready: r})
	w.sync(n, true)
	n.disk.Snapshot, n.applied = snapshot, snapshot.Index
	n.core.SnapshotInstalled(w.clockOf(n), snapshot)
	return true
}

// checkLeadership checks that a term has one leader, and that a lease read sees all that is committed.
func (w *world) checkLeadership(n *node) {
	term := n.core.hardState.Term
	if n.core.refused > 0 {
		w.fail("%s refused a message", n.id)
	}
	if n.core.role == Leader {
		if l := w.leaders[term]; l != "" && l != n.id {
			w.fail("term %d is led by %s and %s", term, l, n.id)
		}
		w.leaders[term] = n.id
	}
	if at, ok := n.core.LeaseReadIndex(w.clockOf(n)); ok {
		if w.reads++; at < uint64(len(w.committed))+1 {
			w.fail("%s confirms %d in term %d, committed is %d", n.id, at, term, len(w.committed)+1)
		}
	}
}

// sync makes the disk writes of a node durable that are due, or all, in order.
func (w *world) sync(n *node, all bool) {
	for len(n.queue) > 0 && (all || n.queue[0].due <= w.now) {
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
			n.core.Synced(w.clockOf(n), last.Index, last.Term)
		}
		isCompacted := func(e Entry) bool { return e.Index <= write.compactTo }
		n.disk.Entries = slices.DeleteFunc(slices.Clone(stored), isCompacted)
		w.send(write.ready.MessagesAfterSync)
	}
}

// run lets time pass; each (nil: none) is called at each step.
func (w *world) run(duration time.Duration, each func()) {
	const step = 20 * time.Millisecond
	for end := w.now + duration; w.now < end && len(w.failures) == 0; w.now += step {
		w.deliver()
		for _, n := range w.nodes {
			if !n.down {
				n.core.Tick(w.clockOf(n))
				w.sync(n, false)
				w.pump(n)
			}
		}
		if each != nil {
			each()
		}
	}
}

// deliver passes the messages that have arrived to their nodes.
func (w *world) deliver() {
	messages := w.net
	w.net = nil
	for _, m := range messages {
		if m.at > w.now {
			w.net = append(w.net, m)
			continue
		}
		i := slices.IndexFunc(w.nodes, func(n *node) bool { return n.id == m.msg.To })
		if i >= 0 && !w.nodes[i].down && w.partition[m.msg.From] == w.partition[m.msg.To] {
			w.nodes[i].core.Step(w.clockOf(w.nodes[i]), m.msg)
		}
	}
}

// leader returns the leader of the newest term; nil if no node leads.
func (w *world) leader() (newest *node) {
	for _, n := range w.nodes {
		if !n.down && n.core.role == Leader && (newest == nil || n.core.hardState.Term > newest.core.hardState.Term) {
			newest = n
		}
	}
	return newest
}

// propose proposes an entry on every node that believes to lead.
func (w *world) propose() {
	for _, n := range w.nodes {
		if !n.down && n.core.role == Leader {
			_, _, _ = n.core.Propose(w.clockOf(n), json.RawMessage(fmt.Sprintf(`"%s at %d"`, n.id, w.now)))
		}
	}
}

func (*world) crash(n *node) { n.down, n.core = true, nil }

package raft

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// batch is one Ready, or a cut of the stored log, on its way to the disk.
type batch struct {
	due time.Duration
	r   Ready
	cut uint64
}

// node is a member with its disk, which outlives a crash.
type node struct {
	core    *Core // nil while down
	id      string
	disk    InitialState  // what is durable
	queue   []batch       // what the disk has still to sync, in order
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
	partition map[string]int // by member; different ones do not reach each other
	loss      float64
	committed []Entry           // by any node, from index 2 on
	leaders   map[uint64]string // by term
	reads     int               // that a lease allowed
	failures  []string          // violated invariants; the run ends at the first
}

func (w *world) fail(f string, a ...any) { w.failures = append(w.failures, fmt.Sprintf(f, a...)) }

func voters(ids ...string) (ms []Member) {
	for _, id := range ids {
		ms = append(ms, Member{ID: id, Addr: id})
	}
	return ms
}

func newWorld(seed uint64, bootstrapIDs ...string) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), partition: map[string]int{}, leaders: map[uint64]string{}}
	for _, id := range bootstrapIDs {
		w.join(id, Bootstrap(voters(bootstrapIDs...)))
	}
	return w
}

func (w *world) join(id string, b InitialState) *node {
	n := &node{id: id, disk: b, zero: time.Duration(w.random.Int64N(int64(time.Hour)))}
	w.nodes = append(w.nodes, n)
	w.startNode(n)
	return n
}

func (w *world) startNode(n *node) {
	var err error
	n.core, err = New(Config{ID: n.id, Seed: w.random.Uint64(), MaxAppendBytes: 200, MaxInflightAppends: 4}, n.disk, w.now+n.zero)
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

func (w *world) send(ms []Message) {
	for _, m := range ms {
		for w.random.Float64() >= w.loss { // each copy is lost or duplicated with the same probability
			late := time.Duration(w.random.Int64N(int64(20 * time.Millisecond)))
			if w.loss > 0 && w.random.IntN(50) == 0 {
				late *= 100
			}
			w.net = append(w.net, inTransit{w.now + late, m})
			if w.random.Float64() >= w.loss {
				break
			}
		}
	}
}

// meta describes the state after index i.
func (w *world) meta(i uint64, base []Member) Meta {
	m := Meta{Index: i, Term: 1, Members: base}
	for _, e := range w.committed[:i-1] {
		m.Term = e.Term
		if e.Kind == Members {
			f, _ := configurationOf(e)
			m.Members = f.members
		}
	}
	return m
}

// pump executes one Ready of a node and checks what it commits.
func (w *world) pump(n *node) {
	r := n.core.Ready()
	w.send(r.Messages)
	for _, e := range r.CommittedEntries {
		if n.applied++; e.Index != n.applied {
			w.fail("%s applies %d after %d", n.id, e.Index, n.applied-1)
		}
		if at := int(e.Index) - 2; at == len(w.committed) {
			w.committed = append(w.committed, e)
		} else if at > len(w.committed) || w.committed[at].Term != e.Term || string(w.committed[at].Data) != string(e.Data) {
			w.fail("%s commits another entry %d", n.id, e.Index)
		}
	}
	if f := r.Fetch; f != nil && !w.node(f.From).down && w.partition[f.From] == w.partition[n.id] {
		if m := w.node(f.From).disk.Snapshot; m.Index > r.Commit && w.random.IntN(4) > 0 {
			n.queue = append(n.queue, batch{due: w.now, r: r})
			w.sync(n, true)
			n.disk.Snapshot, n.applied = m, m.Index
			n.core.SnapshotInstalled(w.now+n.zero, m)
			w.pump(n)
			return
		}
	}
	if r.HardState != nil || r.ResetLog || len(r.Entries) > 0 || len(r.MessagesAfterSync) > 0 {
		n.queue = append(n.queue, batch{due: w.now + n.slow + time.Duration(w.random.Int64N(int64(30*time.Millisecond))), r: r})
	}
	if s := n.disk.Snapshot; n.applied > s.Index+30 {
		n.disk.Snapshot = w.meta(n.applied, s.Members)
		n.core.SnapshotPersisted(n.disk.Snapshot)
		n.core.Compact(n.applied - 10)
		n.queue = append(n.queue, batch{due: w.now, cut: n.applied - 10})
	}
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
	if at, ok := n.core.LeaseReadIndex(w.now + n.zero); ok {
		if w.reads++; at < uint64(len(w.committed))+1 {
			w.fail("%s confirms %d in term %d, committed is %d", n.id, at, term, len(w.committed)+1)
		}
	}
}

// sync brings what is due to the disk, in order.
func (w *world) sync(n *node, all bool) {
	for len(n.queue) > 0 && (all || n.queue[0].due <= w.now) {
		b := n.queue[0]
		n.queue = n.queue[1:]
		if b.r.HardState != nil {
			n.disk.HardState = *b.r.HardState
		}
		if b.r.ResetLog {
			n.disk.Entries = nil
		}
		old := n.disk.Entries
		if a := b.r.Entries; len(a) > 0 {
			old = slices.DeleteFunc(slices.Clone(old), func(e Entry) bool { return e.Index >= a[0].Index })
			old = append(old, a...)
			n.core.Synced(w.now+n.zero, a[len(a)-1].Index, a[len(a)-1].Term)
		}
		n.disk.Entries = slices.DeleteFunc(slices.Clone(old), func(e Entry) bool { return e.Index <= b.cut })
		w.send(b.r.MessagesAfterSync)
	}
}

// run lets time pass; do is called at each step.
func (w *world) run(duration time.Duration, do func()) {
	const step = 20 * time.Millisecond
	for end := w.now + duration; w.now < end && len(w.failures) == 0; w.now += step {
		due := w.net
		w.net = nil
		for _, f := range due {
			if f.at > w.now {
				w.net = append(w.net, f)
				continue
			}
			i := slices.IndexFunc(w.nodes, func(n *node) bool { return n.id == f.msg.To })
			if i >= 0 && !w.nodes[i].down && w.partition[f.msg.From] == w.partition[f.msg.To] {
				w.nodes[i].core.Step(w.now+w.nodes[i].zero, f.msg)
			}
		}
		for _, n := range w.nodes {
			if !n.down {
				n.core.Tick(w.now + n.zero)
				w.sync(n, false)
				w.pump(n)
			}
		}
		if do != nil {
			do()
		}
	}
}

// leader returns the leader of the newest term.
func (w *world) leader() (out *node) {
	for _, n := range w.nodes {
		if !n.down && n.core.role == Leader && (out == nil || n.core.hardState.Term > out.core.hardState.Term) {
			out = n
		}
	}
	return out
}

func (w *world) propose() {
	for _, n := range w.nodes {
		if !n.down && n.core.role == Leader {
			_, _, _ = n.core.Propose(w.now+n.zero, json.RawMessage(fmt.Sprintf(`"%s at %d"`, n.id, w.now)))
		}
	}
}

func (w *world) crash(n *node) { n.down, n.core = true, nil }

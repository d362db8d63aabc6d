package raft

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// forEveryChoice runs f with each sequence of choices; f asks choose(n) for a number below n.
func forEveryChoice(f func(choose func(n int) int)) (runs int) {
	var picks, sizes []int
	for {
		at := 0
		f(func(n int) int {
			if at == len(picks) {
				picks, sizes = append(picks, 0), append(sizes, n)
			}
			at++
			return picks[at-1]
		})
		runs++
		for len(picks) > 0 && picks[len(picks)-1] == sizes[len(sizes)-1]-1 {
			picks, sizes = picks[:len(picks)-1], sizes[:len(sizes)-1]
		}
		if len(picks) == 0 {
			return runs
		}
		picks[len(picks)-1]++
	}
}

// runInterleaving runs two candidates and an append among three nodes; the first choices are delivered or lost as chosen.
func runInterleaving(choose func(int) int, depth int) (bad string, led bool) {
	w := newWorld(1, "a", "b", "c")
	var pool []Message
	drain := func() {
		for _, n := range w.nodes {
			r := n.core.Ready()
			pool = append(append(pool, r.Messages...), r.MessagesAfterSync...)
			if a := r.Entries; len(a) > 0 {
				n.core.Synced(n.zero+3*time.Second, a[len(a)-1].Index, a[len(a)-1].Term)
			}
			term, leads := n.core.hardState.Term, n.core.role == Leader
			if l, ok := w.leaders[term]; leads && !ok {
				w.leaders[term] = n.id
				_, _, _ = n.core.Propose(n.zero+3*time.Second, json.RawMessage(`"`+n.id+`"`))
			} else if leads && l != n.id {
				bad = "two leaders in a term"
			}
		}
	}
	w.nodes[0].core.Tick(w.nodes[0].zero + 3*time.Second)
	w.nodes[1].core.Tick(w.nodes[1].zero + 3*time.Second)
	drain()
	for step := 0; len(pool) > 0 && step < 200; step++ {
		i := 0
		if step < depth {
			i = choose(min(len(pool), 4) + 1)
		}
		m := pool[i%min(len(pool), 4)]
		lost := step < depth && i == min(len(pool), 4)
		pool = slices.Delete(pool, i%min(len(pool), 4), i%min(len(pool), 4)+1)
		if to := w.node(m.To); !lost {
			to.core.Step(to.zero+3*time.Second, m)
		}
		drain()
	}
	for _, x := range w.nodes {
		for _, y := range w.nodes {
			match := false // from an entry of the same term down, all must be equal
			for i := min(x.core.log.last(), y.core.log.last()); i > 1; i-- {
				p, q := x.core.log.entries[i-2], y.core.log.entries[i-2]
				match = match || p.Term == q.Term || i <= min(x.core.commit, y.core.commit)
				if match && (p.Term != q.Term || string(p.Data) != string(q.Data)) {
					bad = "logs differ"
				}
			}
		}
	}
	return bad, len(w.leaders) > 0
}

func TestElection_everyInterleaving(t *testing.T) {
	Convey("Every order and loss of the first messages of two campaigns keeps the invariants of Raft", t, func() {
		bad, led := "", 0
		runs := forEveryChoice(func(choose func(int) int) {
			b, ok := runInterleaving(choose, 6)
			if bad += b; ok {
				led++
			}
		})
		So(bad, ShouldEqual, "")
		So(runs, ShouldBeGreaterThan, 10000)
		So(led, ShouldBeGreaterThan, runs/4)
	})
}

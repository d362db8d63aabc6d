package replica

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/raft"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
	"crosstide/internal/testbed/exhaustive"
)

// history is the log of a store and the state after each entry.
type history struct {
	log    []raft.Entry // from index 2 on
	states [][]byte     // encoded, by index
}

// newHistory returns a history of n entries; the bootstrap is at index 1.
func newHistory(t *testing.T, n int) history {
	t.Helper()
	s := state.New()
	s.Index, s.Term = 1, 1 // bootstrap
	first, err := s.Encode()
	So(err, ShouldBeNil)
	h := history{states: [][]byte{nil, first}}
	for i := 2; i < n+2; i++ {
		announce := &command.Announce{Worker: state.Worker{Name: fmt.Sprint("m", i), Addr: "a"}}
		data, err := command.Encode(time.Unix(int64(i), 0), announce)
		So(err, ShouldBeNil)
		_, err = command.Apply(s, uint64(i), 1, data)
		So(err, ShouldBeNil)
		h.log = append(h.log, raft.Entry{Term: 1, Index: uint64(i), Data: data})
		body, err := s.Encode()
		So(err, ShouldBeNil)
		h.states = append(h.states, body)
	}
	return h
}

// bootstrapped returns a replica at index 1.
func (h history) bootstrapped(t *testing.T) *Replica {
	t.Helper()
	r := New(nil, nil)
	source := &fakeSource{body: h.states[1], number: 1, chunkSize: 1 << 20}
	source.answers = []internalapi.SourceUpdate{{Snapshot: source.snapshot(1)}}
	So(r.Pull(context.Background(), source, "d", 0), ShouldBeNil)
	return r
}

// changes returns the entries from index from to index to, both inclusive.
func (h history) changes(from, to uint64) []raft.Entry { return h.log[from-2 : to-1] }

// matches reports whether a replica has the state of the store at its index. At index 0 it has received nothing.
func (h history) matches(r *Replica) bool {
	index := r.Index()
	body, err := r.Lock().Encode()
	r.Unlock()
	return err == nil && (index == 0 || string(body) == string(h.states[index]))
}

// fakeSource is a Source that returns prepared answers one after the other, and one snapshot in chunks.
type fakeSource struct {
	answers   []internalapi.SourceUpdate
	body      []byte // of the snapshot
	number    uint64 // of the snapshot
	failures  int    // how many of the next calls of Chunk fail
	chunkSize int
}

func (f *fakeSource) Follow(context.Context, internalapi.FollowCall) (internalapi.FollowAnswer, error) {
	next := f.answers[0]
	f.answers = f.answers[1:]
	return internalapi.FollowAnswer{Updates: map[string]internalapi.SourceUpdate{storeSource: next}}, nil
}

func (f *fakeSource) Chunk(_ context.Context, call internalapi.ChunkCall) (internalapi.ChunkAnswer, error) {
	if f.failures > 0 {
		f.failures--
		return internalapi.ChunkAnswer{}, errs.New(errs.Unavailable, "lost")
	}
	end := min(int(call.From)+f.chunkSize, len(f.body))
	return internalapi.ChunkAnswer{
		Snapshot: internalapi.Snapshot{Number: f.number, Size: int64(len(f.body))},
		Data:     f.body[call.From:end],
		Sum:      xxhash.Sum64(f.body),
	}, nil
}

func (f *fakeSource) snapshot(index uint64) *internalapi.Snapshot {
	return &internalapi.Snapshot{Number: f.number, Index: index, Term: 1, Size: int64(len(f.body))}
}

// checkOrder pulls the answers in the given order, and fails the test if the replica's index decreases or its state
// differs from that of the store. It returns the final index.
func (h history) checkOrder(t *testing.T, answers [][]raft.Entry, order []int) uint64 {
	t.Helper()
	r := h.bootstrapped(t)
	for _, i := range order {
		before := r.Index()
		source := &fakeSource{answers: []internalapi.SourceUpdate{{Changes: answers[i]}}}
		err := r.Pull(context.Background(), source, "d", 0)
		if err != nil && !errs.Is(err, errs.Stale) {
			t.Fatalf("order %v: %v", order, err)
		}
		if r.Index() < before || !h.matches(r) {
			t.Fatalf("order %v: at %d after %d, not the state of the log", order, r.Index(), before)
		}
	}
	return r.Index()
}

func TestPull_answersInAnyOrder(t *testing.T) {
	Convey("Whatever the order of the answers, the index never decreases and no change is skipped", t, func() {
		h := newHistory(t, 6)
		answers := [][]raft.Entry{h.changes(2, 4), h.changes(2, 3), h.changes(4, 5), h.changes(6, 7), nil}
		orders, complete := 0, 0
		exhaustive.Permutations(len(answers), func(order []int) {
			if orders++; h.checkOrder(t, answers, order) == 7 {
				complete++
			}
		})
		So(orders, ShouldEqual, 120)
		So(complete, ShouldBeGreaterThan, 0)
	})
}

func TestPull_snapshotInChunks(t *testing.T) {
	for _, failures := range []int{0, 1, 5} {
		name := fmt.Sprintf("A snapshot is fetched in chunks although %d requests fail", failures)
		Convey(name+", and changes follow it", t, func() {
			h := newHistory(t, 6)
			source := &fakeSource{body: h.states[5], number: 3, chunkSize: 100, failures: failures}
			source.answers = []internalapi.SourceUpdate{{Snapshot: source.snapshot(5), Changes: h.changes(5, 7)}}
			resets := 0
			r := New(nil, func(*state.State) { resets++ })
			So(r.Pull(context.Background(), source, "d", 0), ShouldBeNil)
			So(r.Index(), ShouldEqual, 7)
			So(resets, ShouldEqual, 1)
			body, err := r.Lock().Encode()
			r.Unlock()
			So(err, ShouldBeNil)
			So(string(body), ShouldEqual, string(h.states[7]))
		})
	}
}

func TestPull_snapshotRejected(t *testing.T) {
	for _, test := range []struct {
		name   string
		damage func(h history, source *fakeSource)
	}{
		{"too many failed requests", func(_ history, f *fakeSource) { f.failures = 6 }},
		{"a damaged body", func(_ history, f *fakeSource) { f.body = append([]byte("x"), f.body[1:]...) }},
		{"an older snapshot", func(h history, f *fakeSource) { f.body = h.states[3] }},
	} {
		Convey("A snapshot that cannot be installed leaves the replica unchanged: "+test.name, t, func() {
			h := newHistory(t, 6)
			r := h.bootstrapped(t)
			first := &fakeSource{answers: []internalapi.SourceUpdate{{Changes: h.changes(2, 4)}}}
			So(r.Pull(context.Background(), first, "d", 0), ShouldBeNil)
			source := &fakeSource{body: h.states[5], number: 3, chunkSize: 1 << 20}
			test.damage(h, source)
			source.answers = []internalapi.SourceUpdate{{Snapshot: source.snapshot(5)}}
			So(r.Pull(context.Background(), source, "d", 0), ShouldNotBeNil)
			So(r.Index(), ShouldEqual, 4)
		})
	}
}

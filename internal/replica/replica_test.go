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
)

// history is a store's log of n entries with the state at each.
type history struct {
	log    []raft.Entry // from index 2 on
	states [][]byte     // encoded, by index
}

func newHistory(n int) history {
	s := state.New()
	s.Index, s.Term = 1, 1 // bootstrap
	first, err := s.Encode()
	So(err, ShouldBeNil)
	h := history{states: [][]byte{nil, first}}
	for i := 2; i < n+2; i++ {
		data, err := command.Encode(time.Unix(int64(i), 0), &command.Announce{Worker: state.Worker{Name: fmt.Sprint("m", i), Addr: "a"}})
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

// bootstrapped returns a replica at the first snapshot.
func (h history) bootstrapped() *Replica {
	r := New(nil, nil)
	f := &fake{body: h.states[1], number: 1, size: 1 << 20}
	f.answers = []internalapi.SourceUpdate{{Snapshot: f.snapshot(1)}}
	So(r.Pull(context.Background(), f, "d", 0), ShouldBeNil)
	return r
}

func (h history) changes(from, to uint64) []raft.Entry { return h.log[from-2 : to-1] }

// fake is a source that returns the answers in turn, and chunks of a body with a failure before some.
type fake struct {
	answers  []internalapi.SourceUpdate
	body     []byte
	number   uint64
	failures int // of the next chunks
	size     int // of a chunk
	asked    []uint64
}

func (f *fake) Follow(_ context.Context, call internalapi.FollowCall) (internalapi.FollowAnswer, error) {
	f.asked = append(f.asked, call.Vector[storeSource])
	a := f.answers[0]
	f.answers = f.answers[1:]
	return internalapi.FollowAnswer{Updates: map[string]internalapi.SourceUpdate{storeSource: a}}, nil
}

func (f *fake) Chunk(_ context.Context, call internalapi.ChunkCall) (internalapi.ChunkAnswer, error) {
	if f.failures > 0 {
		f.failures--
		return internalapi.ChunkAnswer{}, errs.New(errs.Unavailable, "lost")
	}
	end := min(int(call.From)+f.size, len(f.body))
	return internalapi.ChunkAnswer{Snapshot: internalapi.Snapshot{Number: f.number, Size: int64(len(f.body))}, Data: f.body[call.From:end], Sum: xxhash.Sum64(f.body)}, nil
}

func (f *fake) snapshot(index uint64) *internalapi.Snapshot {
	return &internalapi.Snapshot{Number: f.number, Index: index, Term: 1, Size: int64(len(f.body))}
}

func TestPull_answersInAnyOrder(t *testing.T) {
	Convey("In whatever order answers arrive, the replica never goes back and never skips a change", t, func() {
		h := newHistory(6)
		answers := [][]raft.Entry{h.changes(2, 4), h.changes(2, 3), h.changes(4, 5), h.changes(6, 7), nil}
		orders, whole := 0, 0
		var walk func(seq []int, used int)
		walk = func(seq []int, used int) {
			if len(seq) == len(answers) {
				r := h.bootstrapped()
				source := &fake{}
				for _, i := range seq {
					before := r.Index()
					source.answers = append(source.answers, internalapi.SourceUpdate{Changes: answers[i]})
					err := r.Pull(context.Background(), source, "d", 0)
					if err != nil && !errs.Is(err, errs.Stale) {
						panic(err)
					}
					at := r.Index()
					body, bad := r.Lock().Encode()
					r.Unlock()
					if bad != nil || at < before || at > 0 && string(body) != string(h.states[at]) {
						panic(fmt.Sprintf("order %v: at %d after %d, not the state of the log", seq, at, before))
					}
				}
				if at := r.Index(); at == 7 {
					whole++
				}
				orders++
				return
			}
			for i := range answers {
				if used&(1<<i) == 0 {
					walk(append(seq[:len(seq):len(seq)], i), used|1<<i)
				}
			}
		}
		walk(nil, 0)
		So(orders, ShouldEqual, 120)
		So(whole, ShouldBeGreaterThan, 0)
	})
}

func TestPull_snapshotInChunks(t *testing.T) {
	Convey("A snapshot comes in chunks, a lost one is requested again alone, and what follows is applied to it", t, func() {
		h := newHistory(6)
		for _, lost := range []int{0, 1, 5} {
			source := &fake{body: h.states[5], number: 3, size: 100, failures: lost}
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
		}
		Convey("Too many lost chunks, a damaged body or an older snapshot leave the replica as it was", func() {
			for _, damage := range []func(f *fake){
				func(f *fake) { f.failures = 6 },
				func(f *fake) { f.body = append([]byte("x"), f.body[1:]...) },
				func(f *fake) { f.body = h.states[3] },
			} {
				r := h.bootstrapped()
				first := &fake{answers: []internalapi.SourceUpdate{{Changes: h.changes(2, 4)}}}
				So(r.Pull(context.Background(), first, "d", 0), ShouldBeNil)
				source := &fake{body: h.states[5], number: 3, size: 1 << 20}
				damage(source)
				source.answers = []internalapi.SourceUpdate{{Snapshot: source.snapshot(5)}}
				So(r.Pull(context.Background(), source, "d", 0), ShouldNotBeNil)
				So(r.Index(), ShouldEqual, 4)
			}
		})
	})
}

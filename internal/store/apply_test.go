package store

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/raft"
)

// TestPass_appliesBoundedBatch checks that one pass applies a bounded batch, so that a leader with many entries to
// apply sends its heartbeats in between.
func TestPass_appliesBoundedBatch(t *testing.T) {
	Convey("Given a store with more committed entries than one pass applies", t, func() {
		s := &Store{wakeLoop: make(chan struct{}, 1)}
		for i := range 2*maxApplyEntries + 8 {
			s.unapplied = append(s.unapplied, raft.Entry{Index: uint64(i + 1)})
		}
		Convey("Then passes apply them in order, in batches, and each requests the next pass", func() {
			var sizes []int
			next := uint64(1)
			for len(s.unapplied) > 0 {
				batch := s.takeApplyBatch()
				sizes = append(sizes, len(batch))
				for _, e := range batch {
					So(e.Index, ShouldEqual, next)
					next++
				}
				So(len(s.wakeLoop) == 1, ShouldEqual, len(s.unapplied) > 0)
				select {
				case <-s.wakeLoop:
				default:
				}
			}
			So(sizes, ShouldResemble, []int{maxApplyEntries, maxApplyEntries, 8})
			So(s.takeApplyBatch(), ShouldBeEmpty)
		})
		Convey("Then a batch ends at the byte limit, after one entry at least", func() {
			s.unapplied[0].Data = make([]byte, maxApplyBytes)
			So(len(s.takeApplyBatch()), ShouldEqual, 1)
		})
		Convey("Then a store with a manual driver applies all of them in one batch", func() {
			s.manual = &ManualDriver{}
			So(len(s.takeApplyBatch()), ShouldEqual, 2*maxApplyEntries+8)
		})
	})
}

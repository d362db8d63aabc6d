package store

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/raft"
)

// TestSnapshotter_waitsForCatchUp checks that the snapshotter does not compete with the catch-up of a restarted node,
// which would then serve later.
func TestSnapshotter_waitsForCatchUp(t *testing.T) {
	Convey("The snapshotter takes no entries while the live state is catching up", t, func() {
		s := &Store{
			diskQueue: diskQueue{durable: 9},
			snapshots: snapshots{committed: []raft.Entry{{Index: 8}, {Index: 9}, {Index: 10}}},
			unapplied: []raft.Entry{{Index: 11}},
		}
		_, batch := s.takeDurableEntries()
		So(batch, ShouldBeEmpty)
		s.unapplied = nil
		_, batch = s.takeDurableEntries()
		So(batch, ShouldHaveLength, 2) // entry 10 is not durable yet
		So(s.snapshots.committed, ShouldHaveLength, 1)
	})
	Convey("A fetched snapshot is taken even while the live state is catching up", t, func() {
		s := &Store{unapplied: []raft.Entry{{Index: 11}}, snapshots: snapshots{toInstall: &fetchedSnapshot{}}}
		fetched, _ := s.takeDurableEntries()
		So(fetched, ShouldNotBeNil)
	})
}

// TestSnapshotter_pausesInTakeover checks that a new leader writes a snapshot that is due only after takeoverPeriod, as
// encoding would slow the takeover.
func TestSnapshotter_pausesInTakeover(t *testing.T) {
	withFleet(t, 40, func(fleet *testFleet) {
		s := fleet.leader()
		start := fleet.clock.Now()
		fleet.submitJobs("a", 60)
		fleet.waitInSync()
		So(fleet.clock.Now()-start, ShouldBeLessThan, takeoverPeriod)
		So(s.Status().Raft.Role, ShouldEqual, raft.Leader)
		So(newestSnapshot(s), ShouldBeLessThan, 40)
		fleet.until("the end of the takeover", func() bool { return fleet.clock.Now()-start > takeoverPeriod })
		fleet.submitJobs("b", 1)
		fleet.until("the snapshot that was due", func() bool { return newestSnapshot(s) > 40 })
	})
}

// newestSnapshot returns the index of the newest snapshot on disk.
func newestSnapshot(s *Store) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshots.newest.Index
}

package store

import (
	"context"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sys/unix"

	"crosstide/internal/errs"
	"crosstide/internal/raft"
)

// submitAll submits n jobs, and submits them again after a failure such as a change of leader, until all of them are
// acknowledged.
func (fleet *testFleet) submitAll(label string, n int) {
	for attempt := 0; ; attempt++ {
		if failures := fleet.submitJobs(label, n); len(failures) == 0 {
			return
		}
		So(attempt, ShouldBeLessThan, 20)
		fleet.advance(100 * time.Millisecond)
	}
}

// durableIndex returns the index of the newest entry that is durable at a node.
func (s *Store) durableIndex() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.diskQueue.durable
}

// TestDiskFull_leaderStepsDown checks that a leader whose disk is full loses the leadership and acknowledges nothing,
// but stays alive and counts towards a majority again once there is space.
func TestDiskFull_leaderStepsDown(t *testing.T) {
	withFleet(t, 40, func(fleet *testFleet) {
		fleet.submitAll("before", 50)
		old := fleet.leader()
		name := old.settings.Name
		fleet.setFull(name, true)
		var err error
		fleet.call(func(ctx context.Context) { _, _, err = old.Propose(ctx, job("while full")) })
		if err == nil { // the two other nodes committed it
			fleet.acked["while full"] = 1
		}
		fleet.until("another leader", func() bool { return old.Status().Raft.Role != raft.Leader })
		durable := old.durableIndex()
		fleet.submitAll("without it", 200)
		So(old.durableIndex(), ShouldEqual, durable) // the node acknowledges nothing
		So(fleet.fatalErrors, ShouldBeEmpty)
		fleet.advance(30 * time.Second)
		So(fleet.fatalErrors, ShouldBeEmpty)
		So(fleet.leader().settings.Name, ShouldNotEqual, name)

		fleet.setFull(name, false)
		fleet.waitInSync()
		So(fleet.fatalErrors, ShouldBeEmpty)
		// Its acknowledgements count again: with one of the other nodes stopped, a majority needs it.
		gone := fleet.others(name)[0]
		fleet.kill(gone)
		fleet.submitAll("with it", 50)
		fleet.start(gone)
		fleet.waitInSync()
	})
}

// TestRefusedWrite_isFatal checks that a write that fails for any reason but a full disk is fatal, as a failed sync is.
func TestRefusedWrite_isFatal(t *testing.T) {
	withFleet(t, 40, func(fleet *testFleet) {
		fleet.submitAll("before", 20)
		lead := fleet.leader()
		fleet.setWriteError(lead.settings.Name, unix.EIO)
		fleet.call(func(ctx context.Context) { _, _, _ = lead.Propose(ctx, job("a")) })
		fleet.until("the call of Options.Fatal", func() bool { return fleet.fatalErrors[lead.settings.Name] != nil })
		So(fleet.fatalErrors, ShouldHaveLength, 1)
		fleet.kill(lead.settings.Name)
		fleet.setWriteError(lead.settings.Name, nil)
		fleet.start(lead.settings.Name)
		fleet.submitAll("after", 20)
		fleet.waitInSync()
	})
}

// TestDiskFull_atStartWaits checks that a node that starts on a full disk waits for space instead of failing, as Open
// writes to the disk.
func TestDiskFull_atStartWaits(t *testing.T) {
	withFleet(t, 40, func(fleet *testFleet) {
		fleet.submitAll("before", 50)
		name := fleet.follower(fleet.leader()).settings.Name
		fleet.kill(name)
		fleet.setFull(name, true)
		fleet.submitAll("meanwhile", 50)
		var s *Store
		var err error
		done := false
		fleet.calls.Go(func(ctx context.Context) {
			s, err = OpenRetryingFullDisk(ctx, fleet.options(name))
			done = true
		})
		fleet.advance(30 * time.Second)
		So(done, ShouldBeFalse)
		fleet.setFull(name, false)
		fleet.until("the start to complete", func() bool { return done })
		So(err, ShouldBeNil)
		fleet.mu.Lock()
		fleet.nodes[name] = s
		fleet.mu.Unlock()
		s.Start()
		fleet.waitInSync()
		So(fleet.fatalErrors, ShouldBeEmpty)
	})
}

// TestDiskFull_startIsCancelled checks that a node that waits for space can be stopped.
func TestDiskFull_startIsCancelled(t *testing.T) {
	withFleet(t, 40, func(fleet *testFleet) {
		name := fleet.follower(fleet.leader()).settings.Name
		fleet.kill(name)
		fleet.setFull(name, true)
		ctx, cancel := context.WithCancel(context.Background())
		var err error
		done := false
		fleet.calls.Go(func(context.Context) {
			_, err = OpenRetryingFullDisk(ctx, fleet.options(name))
			done = true
		})
		fleet.advance(time.Second)
		cancel()
		fleet.until("the cancelled start to return", func() bool { return done })
		So(errs.KindOf(err), ShouldEqual, errs.Stopped)
	})
}

// TestHungDisk_leaderStepsDown checks that a leader whose disk hangs loses the leadership and that the fleet still
// commits. The disk of one node after another hangs, the leader's included.
func TestHungDisk_leaderStepsDown(t *testing.T) {
	withFleet(t, 40, func(fleet *testFleet) {
		for round, m := range slices.Clone(fleet.settings.Members) {
			s := fleet.nodes[m.ID]
			fleet.setHang(m.ID, true)
			fleet.until("a leader whose disk works", func() bool {
				lead := fleet.leader()
				if lead != s {
					return true
				}
				fleet.call(func(ctx context.Context) { _, _, _ = lead.Propose(ctx, job("a write shows that the disk hangs")) })
				return false
			})
			fleet.submitAll(m.ID+" hangs", 50+round)
			So(fleet.fatalErrors, ShouldBeEmpty)
			fleet.setHang(m.ID, false)
			fleet.waitInSync()
		}
	})
}

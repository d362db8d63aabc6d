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

// submitAll submits until n jobs are acknowledged; what a change of leader leaves open is submitted again.
func (r *testStores) submitAll(label string, n int) {
	for try := 0; ; try++ {
		if failures := r.submitJobs(label, n); len(failures) == 0 {
			return
		}
		So(try, ShouldBeLessThan, 20)
		r.advance(100 * time.Millisecond)
	}
}

// durableIndex is the newest entry that is durable at a node.
func (s *Store) durableIndex() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.disk.durable
}

func TestDiskFull_leaderStepsDown(t *testing.T) {
	withFleet(t, 40, func(r *testStores) {
		r.submitAll("before", 50)
		old := r.leader()
		name := old.settings.Name
		r.setFull(name, true)
		var err error
		r.call(func(ctx context.Context) { _, _, err = old.Propose(ctx, job("while full")) })
		if err == nil { // the two others have it
			r.acked["while full"] = 1
		}
		r.until("another leader", func() bool { return old.Status().Raft.Role != raft.Leader })
		at := old.durableIndex()
		r.submitAll("without it", 200)
		So(old.durableIndex(), ShouldEqual, at) // it acknowledges nothing
		So(r.died, ShouldBeEmpty)
		r.advance(30 * time.Second)
		So(r.died, ShouldBeEmpty)
		So(r.leader().settings.Name, ShouldNotEqual, name)

		r.setFull(name, false)
		r.waitLevel()
		So(r.died, ShouldBeEmpty)
		// What it acknowledges now counts: with one other node gone, it makes the majority.
		gone := r.others(name)[0]
		r.kill(gone)
		r.submitAll("with it", 50)
		r.start(gone)
		r.waitLevel()
	})
}

// TestRefusedWrite_isFatal: without the mark of a full disk a refused write ends the process, as a failed sync does.
func TestRefusedWrite_isFatal(t *testing.T) {
	withFleet(t, 40, func(r *testStores) {
		r.submitAll("before", 20)
		lead := r.leader()
		r.setRefusal(lead.settings.Name, unix.EIO)
		r.call(func(ctx context.Context) { _, _, _ = lead.Propose(ctx, job("a")) })
		r.until("the end of the process", func() bool { return r.died[lead.settings.Name] != nil })
		So(r.died, ShouldHaveLength, 1)
		r.kill(lead.settings.Name)
		r.setRefusal(lead.settings.Name, nil)
		r.start(lead.settings.Name)
		r.submitAll("after", 20)
		r.waitLevel()
	})
}

func TestDiskFull_atStartWaits(t *testing.T) {
	withFleet(t, 40, func(r *testStores) {
		r.submitAll("before", 50)
		name := r.follower(r.leader()).settings.Name
		r.kill(name)
		r.setFull(name, true)
		r.submitAll("meanwhile", 50)
		var s *Store
		var err error
		done := false
		r.work.Go(func(ctx context.Context) {
			s, err = OpenWhenDiskHasSpace(ctx, r.options(name))
			done = true
		})
		r.advance(30 * time.Second)
		So(done, ShouldBeFalse)
		r.setFull(name, false)
		r.until("the start", func() bool { return done })
		So(err, ShouldBeNil)
		r.mu.Lock()
		r.nodes[name] = s
		r.mu.Unlock()
		s.Start()
		r.waitLevel()
		So(r.died, ShouldBeEmpty)
	})
}

func TestDiskFull_startIsCancelled(t *testing.T) {
	withFleet(t, 40, func(r *testStores) {
		name := r.follower(r.leader()).settings.Name
		r.kill(name)
		r.setFull(name, true)
		ctx, cancel := context.WithCancel(context.Background())
		var err error
		done := false
		r.work.Go(func(context.Context) {
			_, err = OpenWhenDiskHasSpace(ctx, r.options(name))
			done = true
		})
		r.advance(time.Second)
		cancel()
		r.until("the end of the start", func() bool { return done })
		So(errs.KindOf(err), ShouldEqual, errs.Stopped)
	})
}

// TestHungDisk_leaderStepsDown lets the disks of one node after the other hang, the leader's among them.
func TestHungDisk_leaderStepsDown(t *testing.T) {
	withFleet(t, 40, func(r *testStores) {
		for round, m := range slices.Clone(r.settings.Members) {
			s := r.nodes[m.ID]
			r.setHang(m.ID, true)
			r.until("a leader whose disk works", func() bool {
				lead := r.leader()
				if lead != s {
					return true
				}
				r.call(func(ctx context.Context) { _, _, _ = lead.Propose(ctx, job("a write shows that the disk hangs")) })
				return false
			})
			r.submitAll(m.ID+" hangs", 50+round)
			So(r.died, ShouldBeEmpty)
			r.setHang(m.ID, false)
			r.waitLevel()
		}
	})
}

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

// loadAll submits until n jobs are acknowledged; what a change of leader leaves open is submitted again.
func (r *testStores) loadAll(label string, n int) {
	for try := 0; ; try++ {
		if failures := r.load(label, n); len(failures) == 0 {
			return
		}
		So(try, ShouldBeLessThan, 20)
		r.run(100 * time.Millisecond)
	}
}

// durableIndex is the newest entry that is durable at a node.
func (s *Store) durableIndex() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.durable
}

func TestFullDiskOfLeader(t *testing.T) {
	within(t, 40, func(r *testStores) {
		r.loadAll("before", 50)
		old := r.leader()
		name := old.set.Name
		r.fill(name, true)
		var err error
		r.call(func(ctx context.Context) { _, _, err = old.Propose(ctx, job("while full")) })
		if err == nil { // the two others have it
			r.acked["while full"] = 1
		}
		r.until("another leader", func() bool { return old.Status().Quorum.Role != raft.Leader })
		at := old.durableIndex()
		r.loadAll("without it", 200)
		So(old.durableIndex(), ShouldEqual, at) // it acknowledges nothing
		So(r.died, ShouldBeEmpty)
		r.run(30 * time.Second)
		So(r.died, ShouldBeEmpty)
		So(r.leader().set.Name, ShouldNotEqual, name)

		r.fill(name, false)
		r.level()
		So(r.died, ShouldBeEmpty)
		// What it acknowledges now counts: with one other node gone, it makes the majority.
		gone := r.others(name)[0]
		r.kill(gone)
		r.loadAll("with it", 50)
		r.start(gone)
		r.level()
	})
}

// TestOtherRefusalIsFatal: without the mark of a full disk a refused write ends the process, as a failed sync does.
func TestOtherRefusalIsFatal(t *testing.T) {
	within(t, 40, func(r *testStores) {
		r.loadAll("before", 20)
		lead := r.leader()
		r.refuse(lead.set.Name, unix.EIO)
		r.call(func(ctx context.Context) { _, _, _ = lead.Propose(ctx, job("a")) })
		r.until("the end of the process", func() bool { return r.died[lead.set.Name] != nil })
		So(r.died, ShouldHaveLength, 1)
		r.kill(lead.set.Name)
		r.refuse(lead.set.Name, nil)
		r.start(lead.set.Name)
		r.loadAll("after", 20)
		r.level()
	})
}

func TestFullDiskAtStart(t *testing.T) {
	within(t, 40, func(r *testStores) {
		r.loadAll("before", 50)
		name := r.follower(r.leader()).set.Name
		r.kill(name)
		r.fill(name, true)
		r.loadAll("meanwhile", 50)
		var s *Store
		var err error
		done := false
		r.work.Go(func(ctx context.Context) {
			s, err = OpenWhenRoom(ctx, r.options(name))
			done = true
		})
		r.run(30 * time.Second)
		So(done, ShouldBeFalse)
		r.fill(name, false)
		r.until("the start", func() bool { return done })
		So(err, ShouldBeNil)
		r.mu.Lock()
		r.nodes[name] = s
		r.mu.Unlock()
		s.Start()
		r.level()
		So(r.died, ShouldBeEmpty)
	})
}

func TestStartOnFullDiskCalledOff(t *testing.T) {
	within(t, 40, func(r *testStores) {
		name := r.follower(r.leader()).set.Name
		r.kill(name)
		r.fill(name, true)
		ctx, cancel := context.WithCancel(context.Background())
		var err error
		done := false
		r.work.Go(func(context.Context) {
			_, err = OpenWhenRoom(ctx, r.options(name))
			done = true
		})
		r.run(time.Second)
		cancel()
		r.until("the end of the start", func() bool { return done })
		So(errs.KindOf(err), ShouldEqual, errs.Stopped)
	})
}

// TestStalledDisk lets the disks of one node after the other hang, the leader's among them.
func TestStalledDisk(t *testing.T) {
	within(t, 40, func(r *testStores) {
		for round, m := range slices.Clone(r.set.Members) {
			s := r.nodes[m.ID]
			r.hang(m.ID, true)
			r.until("a leader whose disk works", func() bool {
				lead := r.leader()
				if lead != s {
					return true
				}
				r.call(func(ctx context.Context) { _, _, _ = lead.Propose(ctx, job("a write shows that the disk hangs")) })
				return false
			})
			r.loadAll(m.ID+" hangs", 50+round)
			So(r.died, ShouldBeEmpty)
			r.hang(m.ID, false)
			r.level()
		}
	})
}

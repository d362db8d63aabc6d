package controller

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/jobs"
	"crosstide/internal/state/command"
)

// heartbeat returns a heartbeat of a worker that accepts starts.
func heartbeat(sequence uint64) HeartbeatCall {
	worker := jobs.Worker{ID: "w1", Address: "10.0.0.1:80", Service: "s", Zone: "z",
		Capacity: jobs.Resources{MilliCPU: 4000}}
	return HeartbeatCall{Sequence: sequence, Clock: time.Minute, Worker: worker}
}

func sendHeartbeat(leader *Leader, call HeartbeatCall) {
	answer, err := leader.Heartbeat(context.Background(), call)
	So(err, ShouldBeNil)
	So(answer.HeartbeatAddress, ShouldEqual, "lead:2")
}

func draining(call HeartbeatCall) HeartbeatCall {
	call.Worker.Draining, call.Remaining = true, 2*time.Second
	return call
}

// TestLateHeartbeats guards against starts on a worker that is shutting down: a heartbeat from before it began to drain
// may be delayed on the network and arrive after newer ones.
func TestLateHeartbeats(t *testing.T) {
	Convey("Given a draining worker whose earlier heartbeats arrive late", t, func() {
		store, clk := newFakeStore(), &clock.Virtual{}
		leader := newTestLeader(store, clk)
		sendHeartbeat(leader, heartbeat(1))
		sendHeartbeat(leader, draining(heartbeat(5)))
		record := func() jobs.Worker { return *store.state.JobTable.Workers["w1"] }
		So(record().Draining, ShouldBeTrue)
		Convey("late heartbeats are acknowledged without effect", func() {
			before, entries := record(), store.index
			for _, sequence := range []uint64{4, 2, 3, 1} {
				late := heartbeat(sequence)
				late.Worker.Address = "10.0.0.9:80"
				clk.Advance(time.Second)
				sendHeartbeat(leader, late)
			}
			So(record(), ShouldResemble, before)
			So(store.index, ShouldEqual, entries)
		})
		Convey("the worker stays draining at a new leader that has not received the newer heartbeats", func() {
			other := newTestLeader(store, clk)
			sendHeartbeat(other, heartbeat(4))
			So(record().Draining, ShouldBeTrue)
			sendHeartbeat(other, draining(heartbeat(6)))
			sendHeartbeat(other, heartbeat(5))
			So(record().Draining, ShouldBeTrue)
		})
		Convey("a heartbeat that is retried after its answer was lost is acknowledged", func() {
			sendHeartbeat(leader, draining(heartbeat(5)))
			So(record().Draining, ShouldBeTrue)
		})
	})
	Convey("Changes reported by a heartbeat are committed before it is acknowledged", t, func() {
		store := newFakeStore()
		leader := newTestLeader(store, &clock.Virtual{})
		sendHeartbeat(leader, heartbeat(1))
		store.proposeErr = errs.Timeout
		_, err := leader.Heartbeat(context.Background(), draining(heartbeat(2)))
		So(errs.KindOf(err), ShouldEqual, errs.Timeout)
		store.proposeErr = ""
		sendHeartbeat(leader, draining(heartbeat(3)))
		So(store.state.JobTable.Workers["w1"].Draining, ShouldBeTrue)
	})
}

// TestLeavingWorker guards against starts on a worker that has deregistered: its heartbeats may arrive afterwards, and
// the first of them may be the first that the leader receives.
func TestLeavingWorker(t *testing.T) {
	Convey("Given a worker that deregisters without draining and continues to send heartbeats", t, func() {
		store, clk := newFakeStore(), &clock.Virtual{}
		leader := newTestLeader(store, clk)
		sendHeartbeat(leader, heartbeat(1))
		sendHeartbeat(leader, HeartbeatCall{Worker: jobs.Worker{ID: "w1"}, Leaving: true})
		So(store.state.JobTable.Workers["w1"].Left, ShouldBeTrue)
		Convey("later heartbeats do not reset Left, at this leader or a new one", func() {
			sendHeartbeat(leader, heartbeat(2))
			sendHeartbeat(newTestLeader(store, clk), heartbeat(3))
			So(store.state.JobTable.Workers["w1"].Left, ShouldBeTrue)
		})
		Convey("a second deregistration is acknowledged without effect", func() {
			entries := store.index
			sendHeartbeat(leader, HeartbeatCall{Worker: jobs.Worker{ID: "w1"}, Leaving: true})
			So(store.index, ShouldEqual, entries)
		})
	})
	Convey("An unknown worker that deregisters is recorded as left, even if its heartbeats arrive later", t, func() {
		store, clk := newFakeStore(), &clock.Virtual{}
		leader := newTestLeader(store, clk)
		sendHeartbeat(leader, HeartbeatCall{Worker: jobs.Worker{ID: "w1"}, Leaving: true})
		sendHeartbeat(leader, heartbeat(1))
		sendHeartbeat(newTestLeader(store, clk), heartbeat(2))
		So(store.state.JobTable.Workers["w1"].Left, ShouldBeTrue)
	})
	Convey("The sequence numbers of removed workers are dropped", t, func() {
		store, clk := newFakeStore(), &clock.Virtual{}
		leader := newTestLeader(store, clk)
		sendHeartbeat(leader, heartbeat(1))
		So(leader.heartbeats.byWorker, ShouldHaveLength, 1)
		_, err := store.commit(&command.JobProgress{Progress: jobs.Progress{Term: store.term, RemoveWorkers: []string{"w1"}}})
		So(err, ShouldBeNil)
		leader.pass()
		So(leader.heartbeats.byWorker, ShouldBeEmpty)
	})
	Convey("The state of workers that were removed while another node led is dropped", t, func() {
		store, clk := newFakeStore(), &clock.Virtual{}
		leader := newTestLeader(store, clk)
		leader.opt.Mailboxes = NewMailboxes()
		leader.opt.Mailboxes.mailboxFor("w1")
		sendHeartbeat(leader, heartbeat(1))
		previousTerm := store.term
		store.term = 0
		leader.pass()
		store.term = previousTerm + 1
		_, err := store.commit(&command.JobProgress{Progress: jobs.Progress{Term: store.term, RemoveWorkers: []string{"w1"}}})
		So(err, ShouldBeNil)
		leader.pass()
		So(leader.heartbeats.byWorker, ShouldBeEmpty)
		So(leader.opt.Mailboxes.byWorker, ShouldBeEmpty)
	})
}

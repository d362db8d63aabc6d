package controller

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/clock"
	"crosstide/internal/controller/scheduler"
	"crosstide/internal/errs"
	"crosstide/internal/jobs"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

// fakeStore commits at once, under one term, for as long as it leads.
type fakeStore struct {
	state   *state.State
	term    uint64
	index   uint64
	refuses errs.Kind // of every proposal; "": none
	late    bool      // a refused proposal is committed all the same
	reached []string
}

func newFakeStore() *fakeStore { return &fakeStore{state: state.New(), term: 3} }

func (f *fakeStore) View(read func(*state.State))            { read(f.state) }
func (f *fakeStore) LeaderTerm(time.Duration) (uint64, bool) { return f.term, f.term != 0 }
func (f *fakeStore) Changed() <-chan struct{}                { return nil }
func (f *fakeStore) ReachableVoters() []string               { return f.reached }

func (f *fakeStore) Members() (leader string, addresses []string) {
	return "lead:1", []string{"lead:1"}
}
func (f *fakeStore) commit(c command.Command) (answer any, err error) {
	data, err := command.Encode(time.Unix(0, 0), c)
	if err != nil {
		return nil, errs.Pass(err, "encode")
	}
	f.index++
	answer, err = command.Apply(f.state, f.index, f.term, data)
	return answer, errs.Pass(err, "apply")
}

func (f *fakeStore) ProposeIn(_ context.Context, term uint64, c command.Command) (uint64, any, error) {
	if term != f.term {
		return 0, nil, errs.New(errs.Unavailable, "another term")
	}
	if f.refuses != "" {
		if f.late {
			_, _ = f.commit(c)
		}
		return 0, nil, errs.New(f.refuses, "on purpose")
	}
	answer, err := f.commit(c)
	return f.index, answer, errs.Pass(err, "commit")
}

// unresponsiveWorkers answer no order.
type unresponsiveWorkers struct{}

func (unresponsiveWorkers) Start(context.Context, jobs.Worker, scheduler.StartOrder) (scheduler.StartAnswer, error) {
	return scheduler.StartAnswer{}, errs.New(errs.Timeout, "deaf")
}

func (unresponsiveWorkers) Stop(context.Context, jobs.Worker, scheduler.StopOrder) error {
	return errs.New(errs.Timeout, "deaf")
}

func (unresponsiveWorkers) RenewLease(context.Context, jobs.Worker, scheduler.LeaseRenewal) (scheduler.RenewalAnswer, error) {
	return scheduler.RenewalAnswer{}, errs.New(errs.Timeout, "deaf")
}

// fakeLeader is a controller whose passes the test makes by hand.
func fakeLeader(store *fakeStore, by *clock.Virtual) *Leader {
	l := NewLeader(LeaderOptions{Store: store, Workers: unresponsiveWorkers{}, Config: scheduler.Defaults(), ControlAddress: "lead:2", Clock: by, Logger: log.NewNopLogger()})
	l.pass()
	return l
}

// heartbeat is a call of a worker that is ready.
func heartbeat(sequence uint64) HeartbeatCall {
	return HeartbeatCall{Sequence: sequence, Clock: time.Minute, Worker: jobs.Worker{ID: "w1", Address: "10.0.0.1:80", Service: "s",
		Zone: "z", Capacity: jobs.Resources{MilliCPU: 4000}}}
}

func sendHeartbeat(l *Leader, call HeartbeatCall) {
	answer, err := l.Heartbeat(context.Background(), call)
	So(err, ShouldBeNil)
	So(answer.HeartbeatAddress, ShouldEqual, "lead:2")
}

func draining(call HeartbeatCall) HeartbeatCall {
	call.Worker.Draining, call.Remaining = true, 2*time.Second
	return call
}

func TestHeartbeatsOutOfOrder(t *testing.T) {
	Convey("Given a worker that drains, and earlier heartbeats of it that come late", t, func() {
		store, by := newFakeStore(), &clock.Virtual{}
		l := fakeLeader(store, by)
		sendHeartbeat(l, heartbeat(1))
		sendHeartbeat(l, draining(heartbeat(5)))
		record := func() jobs.Worker { return *store.state.JobTable.Workers["w1"] }
		So(record().Draining, ShouldBeTrue)
		Convey("they are acknowledged and change nothing", func() {
			before, entries := record(), store.index
			for _, sequence := range []uint64{4, 2, 3, 1} {
				late := heartbeat(sequence)
				late.Worker.Address = "10.0.0.9:80"
				by.Advance(time.Second)
				sendHeartbeat(l, late)
			}
			So(record(), ShouldResemble, before)
			So(store.index, ShouldEqual, entries)
		})
		Convey("at a new leader, which has not seen the newer ones, the worker drains still", func() {
			other := fakeLeader(store, by)
			sendHeartbeat(other, heartbeat(4))
			So(record().Draining, ShouldBeTrue)
			sendHeartbeat(other, draining(heartbeat(6)))
			sendHeartbeat(other, heartbeat(5))
			So(record().Draining, ShouldBeTrue)
		})
		Convey("the same heartbeat sent again after a lost answer is acknowledged", func() {
			sendHeartbeat(l, draining(heartbeat(5)))
			So(record().Draining, ShouldBeTrue)
		})
	})
	Convey("What a heartbeat changes is committed before it is acknowledged", t, func() {
		store := newFakeStore()
		l := fakeLeader(store, &clock.Virtual{})
		sendHeartbeat(l, heartbeat(1))
		store.refuses = errs.Timeout
		_, err := l.Heartbeat(context.Background(), draining(heartbeat(2)))
		So(errs.KindOf(err), ShouldEqual, errs.Timeout)
		store.refuses = ""
		sendHeartbeat(l, draining(heartbeat(3)))
		So(store.state.JobTable.Workers["w1"].Draining, ShouldBeTrue)
	})
}

func TestDeregisterFirst(t *testing.T) {
	Convey("Given a worker that never says that it drains, but that it ends, and serves on", t, func() {
		store, by := newFakeStore(), &clock.Virtual{}
		l := fakeLeader(store, by)
		sendHeartbeat(l, heartbeat(1))
		sendHeartbeat(l, HeartbeatCall{Worker: jobs.Worker{ID: "w1"}, Leaving: true})
		So(store.state.JobTable.Workers["w1"].Left, ShouldBeTrue)
		Convey("heartbeats that come later do not bring it back, here or at a new leader", func() {
			sendHeartbeat(l, heartbeat(2))
			sendHeartbeat(fakeLeader(store, by), heartbeat(3))
			So(store.state.JobTable.Workers["w1"].Left, ShouldBeTrue)
		})
		Convey("said again it is acknowledged and changes nothing", func() {
			entries := store.index
			sendHeartbeat(l, HeartbeatCall{Worker: jobs.Worker{ID: "w1"}, Leaving: true})
			So(store.index, ShouldEqual, entries)
		})
	})
	Convey("A worker that is not known yet has left all the same: its heartbeat may come later", t, func() {
		store, by := newFakeStore(), &clock.Virtual{}
		l := fakeLeader(store, by)
		sendHeartbeat(l, HeartbeatCall{Worker: jobs.Worker{ID: "w1"}, Leaving: true})
		sendHeartbeat(l, heartbeat(1))
		sendHeartbeat(fakeLeader(store, by), heartbeat(2))
		So(store.state.JobTable.Workers["w1"].Left, ShouldBeTrue)
	})
	Convey("The sequence numbers of workers that are forgotten are let go", t, func() {
		store, by := newFakeStore(), &clock.Virtual{}
		l := fakeLeader(store, by)
		sendHeartbeat(l, heartbeat(1))
		So(l.heartbeats.byWorker, ShouldHaveLength, 1)
		_, err := store.commit(&command.JobProgress{Progress: jobs.Progress{Term: store.term, Forget: []string{"w1"}}})
		So(err, ShouldBeNil)
		l.pass()
		So(l.heartbeats.byWorker, ShouldBeEmpty)
	})
	Convey("Also those of workers that were forgotten while another node led", t, func() {
		store, by := newFakeStore(), &clock.Virtual{}
		l := fakeLeader(store, by)
		l.opt.Mailboxes = NewMailboxes()
		l.opt.Mailboxes.mailboxOf("w1")
		sendHeartbeat(l, heartbeat(1))
		lead := store.term
		store.term = 0
		l.pass()
		store.term = lead + 1
		_, err := store.commit(&command.JobProgress{Progress: jobs.Progress{Term: store.term, Forget: []string{"w1"}}})
		So(err, ShouldBeNil)
		l.pass()
		So(l.heartbeats.byWorker, ShouldBeEmpty)
		So(l.opt.Mailboxes.byWorker, ShouldBeEmpty)
	})
}

// submitCall hands in job j of queue q.
func submitCall(digest string) SubmitCall {
	return SubmitCall{Location: Location{Host: "h", Path: "/q/j"}, Digest: digest,
		Spec: jobs.Spec{ID: "j", Payload: "p", Steps: []jobs.Step{{Count: 1, Estimate: time.Second}}}}
}

func configured(store *fakeStore, version uint64) {
	_, err := store.commit(&command.JobConfigure{Configure: jobs.Configure{Base: version - 1, Version: version, Replace: true,
		Services: []jobs.Service{{Name: "s"}}, Queues: []jobs.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s",
			MaxAttempts: 3, Stretch: 2, Target: time.Second, Timeout: time.Second}}}})
	So(err, ShouldBeNil)
}

func TestSubmitAgain(t *testing.T) {
	ctx := context.Background()
	Convey("A job that is handed in again stays one job", t, func() {
		store, by := newFakeStore(), &clock.Virtual{}
		l := fakeLeader(store, by)
		configured(store, 1)
		Convey("seconds after it was accepted, at a new leader", func() {
			_, err := l.Submit(ctx, submitCall("d"))
			So(err, ShouldBeNil)
			accepted := *store.state.JobTable.Jobs["j"]
			by.Advance(5 * time.Second)
			answer, err := fakeLeader(store, by).Submit(ctx, submitCall("d"))
			So([]any{answer.State, err}, ShouldResemble, []any{jobs.Queued, nil})
			So(store.state.JobTable.Jobs, ShouldHaveLength, 1)
			So(store.state.JobTable.Jobs["j"].Sequence, ShouldEqual, accepted.Sequence)
			So(store.state.JobTable.Jobs["j"].AcceptedAt, ShouldResemble, accepted.AcceptedAt)
		})
		Convey("when nobody knows whether the first attempt was committed", func() {
			for _, late := range []bool{false, true} {
				store.refuses, store.late = errs.Timeout, late
				_, err := l.Submit(ctx, submitCall("d"))
				So(errs.KindOf(err), ShouldEqual, errs.Timeout)
				store.refuses = ""
				_, err = l.Submit(ctx, submitCall("d"))
				So(err, ShouldBeNil)
				So(store.state.JobTable.Jobs, ShouldHaveLength, 1)
			}
		})
		Convey("when it is over, and after it was cancelled", func() {
			_, err := l.Submit(ctx, submitCall("d"))
			So(err, ShouldBeNil)
			_, err = l.Job(ctx, JobCall{Location: Location{Host: "h", Path: "/q/j"}, Cancel: true})
			So(err, ShouldBeNil)
			answer, err := l.Submit(ctx, submitCall("d"))
			So([]any{answer.State, err}, ShouldResemble, []any{jobs.Cancelled, nil})
		})
		Convey("another job under its ID is refused", func() {
			_, err := l.Submit(ctx, submitCall("d"))
			So(err, ShouldBeNil)
			_, err = l.Submit(ctx, submitCall("other"))
			So(errs.KindOf(err), ShouldEqual, errs.Conflict)
		})
		Convey("a node without a configuration says that it took nothing, not that there is no queue", func() {
			_, err := fakeLeader(newFakeStore(), by).Submit(ctx, submitCall("d"))
			So(errs.KindOf(err), ShouldEqual, errs.Unavailable)
		})
	})
}

func TestCancelAgain(t *testing.T) {
	ctx := context.Background()
	cancel := JobCall{Location: Location{Host: "h", Path: "/q/j"}, Cancel: true}
	Convey("Given a job and a cancel whose answer is lost", t, func() {
		store, by := newFakeStore(), &clock.Virtual{}
		l := fakeLeader(store, by)
		configured(store, 1)
		_, err := l.Submit(ctx, submitCall("d"))
		So(err, ShouldBeNil)
		for _, late := range []bool{false, true} {
			store.refuses, store.late = errs.Timeout, late
			_, err = l.Job(ctx, cancel)
			So(errs.KindOf(err), ShouldEqual, errs.Timeout)
		}
		store.refuses = ""
		Convey("the next one is acknowledged, by this or by a new leader, as often as it comes", func() {
			for _, leader := range []*Leader{l, fakeLeader(store, by), l} {
				answer, err := leader.Job(ctx, cancel)
				So([]any{answer.State, answer.Gone, err}, ShouldResemble, []any{jobs.Cancelled, false, nil})
			}
		})
		Convey("one that comes when the job is forgotten says so", func() {
			store.state.JobTable.Purge(by.Wall().Add(time.Hour))
			answer, err := l.Job(ctx, cancel)
			So([]any{answer.Gone, err}, ShouldResemble, []any{true, nil})
		})
	})
}

// TestCancelWithLostLeader plays a front's cancels over the loss of the leader.
func TestCancelWithLostLeader(t *testing.T) {
	// ackTime is the shortest time within which the platform wants a cancel acknowledged.
	const ackTime = 4 * time.Second
	// electionTime is the longest until the core has another leader.
	const electionTime = 1500 * time.Millisecond
	Convey("A cancel is acknowledged in time although the leader is lost before, while or after it takes it", t, func() {
		for name, lose := range map[string]func(f *fakeCore) node{
			"killed": func(*fakeCore) node { return connectionRefused },
			"silent": func(f *fakeCore) node { return f.timesOut },
			"hangs":  func(f *fakeCore) node { return f.connectTimesOut },
			"stops":  func(*fakeCore) node { return failsWith(errs.Stopped) },
			"cut":    func(*fakeCore) node { return failsWith(errs.Timeout) },
		} {
			f := newFakeCore(nil, "a", "b", "c")
			newLeader := func(ctx context.Context, q query, answer any, timeout time.Duration) reply {
				if f.clock.Now() < electionTime {
					return redirectsTo("a")(ctx, q, answer, timeout)
				}
				return answersAsLeader(ctx, q, answer, timeout)
			}
			f.nodes = map[string]node{"a": lose(f), "b": newLeader, "c": redirectsTo("b")}
			f.directory.recordLeader("a")
			// The client asks a front again and again, each time for a second; it gives no answer later than that.
			for f.clock.Now() < ackTime {
				if _, err := f.Job(f.until(time.Second), JobCall{Cancel: true}); err == nil {
					break
				}
			}
			So(f.clock.Now(), ShouldBeLessThan, ackTime)
			t.Log(name, f.clock.Now())
		}
	})
}

package controller

import (
	"context"
	"testing"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/clock"
	"crosstide/internal/controller/scheduler"
	"crosstide/internal/errs"
	"crosstide/internal/jobs"
)

func TestOrderErrors(t *testing.T) {
	notDelivered := errs.Wrap(errNotDelivered, errs.Unavailable, "worker w")
	Convey("Each error of an order is mapped to the outcome that the scheduler handles", t, func() {
		for _, c := range []struct {
			err     error
			start   scheduler.StartOutcome
			stop    scheduler.StopOutcome
			renewal scheduler.RenewalOutcome
		}{
			{nil, scheduler.StartOK, scheduler.StopOK, scheduler.RenewalOK},
			{errs.New(errs.Unknown, "another incarnation"), scheduler.StartOtherIncarnation, scheduler.StopFailed,
				scheduler.RenewalOtherIncarnation},
			{errs.New(errs.Stale, "a higher token"), scheduler.StartUnconfirmed, scheduler.StopFailed, scheduler.RenewalFenced},
			{notDelivered, scheduler.StartUnsent, scheduler.StopFailed, scheduler.RenewalFailed},
			{errs.New(errs.Unavailable, "refused"), scheduler.StartUnconfirmed, scheduler.StopFailed, scheduler.RenewalFailed},
			{errs.New(errs.Timeout, "no answer"), scheduler.StartUnconfirmed, scheduler.StopFailed, scheduler.RenewalFailed},
		} {
			err := errs.Pass(c.err, "order")
			So([]any{c.err, startOutcomeOf(err), stopOutcomeOf(err), renewalOutcomeOf(err)}, ShouldResemble,
				[]any{c.err, c.start, c.stop, c.renewal})
		}
	})
}

// countingWorkers counts the stop orders that it receives.
type countingWorkers struct {
	unresponsiveWorkers
	orders int
}

func (w *countingWorkers) Stop(context.Context, jobs.Worker, scheduler.StopOrder) error {
	w.orders++
	return nil
}

// TestOrderWithoutLease guards against orders of a node that has lost leadership, and against orders whose outcome is
// never reported: the scheduler would count them as in flight forever.
func TestOrderWithoutLease(t *testing.T) {
	Convey("An order is sent if the node leads in the order's term, and its outcome becomes an event", t, func() {
		store, workers := newFakeStore(), &countingWorkers{}
		leader := NewLeader(LeaderOptions{Store: store, Workers: workers, Config: scheduler.Defaults(),
			Clock: &clock.Virtual{}, Logger: log.NewNopLogger()})
		leader.sendStop(context.Background(), store.term, scheduler.StopAction{})
		So([]int{workers.orders, len(leader.inbox.events)}, ShouldResemble, []int{1, 1})
		Convey("an order of an earlier term is not sent, and its failure becomes an event", func() {
			leader.sendStop(context.Background(), store.term-1, scheduler.StopAction{})
			So([]int{workers.orders, len(leader.inbox.events)}, ShouldResemble, []int{1, 2})
		})
	})
}

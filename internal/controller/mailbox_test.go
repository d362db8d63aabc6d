package controller

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/controller/scheduler"
	"crosstide/internal/errs"
	"crosstide/internal/jobs"
	"crosstide/internal/routine"
)

const mailboxTerm = 3

// mailboxFixture holds the mailbox of worker w, with orders of mailboxTerm.
type mailboxFixture struct {
	mailboxes *Mailboxes
	group     *routine.Group
	hasLease  bool
}

func newMailboxFixture() *mailboxFixture {
	return &mailboxFixture{mailboxes: NewMailboxes(), group: routine.New(context.Background()), hasLease: true}
}

// heartbeat exchanges one heartbeat. The answer to an idle worker would be delayed, so it always lists run 99.
func (b *mailboxFixture) heartbeat(sequence uint64, running ...jobs.RunKey) *HeartbeatOrders {
	listing := scheduler.RenewalAnswer{Clock: time.Minute, Running: []scheduler.ListedRun{{Key: runKey(99)}}}
	for _, key := range running {
		listing.Running = append(listing.Running, scheduler.ListedRun{Key: key})
	}
	return b.mailboxes.Exchange(context.Background(), "w", sequence, mailboxTerm, listing,
		func() bool { return b.hasLease })
}

// waitForOrders waits until count orders are in the worker's mailbox.
func (b *mailboxFixture) waitForOrders(count int) {
	for {
		b.mailboxes.mu.Lock()
		box := b.mailboxes.mailboxFor("w")
		orderAdded, pending := box.orderAdded, len(box.starts)+len(box.stops)+len(box.renewals)
		b.mailboxes.mu.Unlock()
		if pending >= count {
			return
		}
		<-orderAdded
	}
}

func runKey(index int) jobs.RunKey {
	return jobs.RunKey{Task: jobs.TaskRef{Job: "j", Index: index}, Number: 1}
}

// startResult is the result of Mailboxes.Start.
type startResult struct {
	clock   time.Duration
	refusal scheduler.Refusal
	err     error
}

func (b *mailboxFixture) start(ctx context.Context, index int) chan startResult {
	done := make(chan startResult, 1)
	b.group.Go(func(context.Context) {
		answer, err := b.mailboxes.Start(ctx, jobs.Worker{ID: "w"},
			scheduler.StartOrder{Key: runKey(index), Token: mailboxTerm, LeaseDeadline: time.Minute + 5*time.Second})
		done <- startResult{answer.Clock, answer.Refusal, err}
	})
	b.waitForOrders(1)
	return done
}

// TestMailboxStart guards, among others, against a leader that hangs for good: the leader's loop takes the store's lock
// and then that of the mailboxes, so the check of the lease, which takes the store's, must not run under the latter.
func TestMailboxStart(t *testing.T) {
	Convey("Given a start order for a worker", t, func() {
		b := newMailboxFixture()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		done := b.start(ctx, 1)
		Convey("every answer carries it until the worker lists the run", func() {
			first, second := b.heartbeat(1), b.heartbeat(2)
			So(len(first.Starts), ShouldEqual, 1)
			So(len(second.Starts), ShouldEqual, 1)
			third := b.heartbeat(3, runKey(1))
			So(third.Starts, ShouldBeEmpty)
			So((<-done).clock, ShouldEqual, time.Minute)
			Convey("and each answer has a higher token within the range of the term", func() {
				So(first.Token, ShouldBeGreaterThan, uint64(mailboxTerm*tokensPerTerm))
				So(second.Token, ShouldBeGreaterThan, first.Token)
				So(third.Token, ShouldBeLessThan, uint64((mailboxTerm+1)*tokensPerTerm))
			})
			Convey("and the lease is shortened by the time that the answer may take", func() {
				So(first.Lease, ShouldEqual, 5*time.Second-answerTimeout)
			})
		})
		Convey("it is refused if the worker lists the run as ended with EndLost", func() {
			b.heartbeat(1)
			listing := scheduler.RenewalAnswer{Clock: time.Minute,
				Ended: []scheduler.EndedRun{{Sequence: 1, Key: runKey(1), Reason: jobs.EndLost}}}
			b.mailboxes.Exchange(context.Background(), "w", 2, mailboxTerm, listing, func() bool { return true })
			So((<-done).refusal, ShouldEqual, scheduler.RefusedCapacity)
		})
		Convey("if it is withdrawn before the first heartbeat, the error is errNotDelivered", func() {
			cancel()
			So(errors.Is((<-done).err, errNotDelivered), ShouldBeTrue)
			So(b.heartbeat(1).Starts, ShouldBeEmpty)
		})
		Convey("if it is withdrawn after an answer carried it, the error is Timeout", func() {
			b.heartbeat(1)
			cancel()
			So(errs.KindOf((<-done).err), ShouldEqual, errs.Timeout)
		})
		Convey("the lease is checked without the mutex", func() {
			isFree := false
			b.mailboxes.Exchange(context.Background(), "w", 1, mailboxTerm,
				scheduler.RenewalAnswer{Clock: time.Minute, Running: []scheduler.ListedRun{{Key: runKey(99)}}}, func() bool {
					if isFree = b.mailboxes.mu.TryLock(); isFree {
						b.mailboxes.mu.Unlock()
					}
					return true
				})
			So(isFree, ShouldBeTrue)
		})
		Convey("a node without the lease sends no orders", func() {
			b.hasLease = false
			So(b.heartbeat(1), ShouldBeNil)
		})
	})
}

// TestMailboxConfirmation guards against a second run of a task: a heartbeat that the worker sent before it received an
// order doesn't reflect the order, so it must not confirm a stop or prove that a run is dead.
func TestMailboxConfirmation(t *testing.T) {
	Convey("Given a stop order for a worker", t, func() {
		b := newMailboxFixture()
		done := make(chan error, 1)
		b.group.Go(func(ctx context.Context) {
			done <- b.mailboxes.Stop(ctx, jobs.Worker{ID: "w"}, scheduler.StopOrder{Key: runKey(1), Token: mailboxTerm})
		})
		b.waitForOrders(1)
		Convey("it is confirmed by a heartbeat without the run after two answers carried it", func() {
			So(b.heartbeat(1, runKey(1)).Stops, ShouldResemble, []jobs.RunKey{runKey(1)})
			So(len(b.heartbeat(2).Stops), ShouldEqual, 1)
			So(len(b.heartbeat(3).Stops), ShouldEqual, 0)
			So(<-done, ShouldBeNil)
		})
		Convey("it is not confirmed while the run is listed", func() {
			for sequence := uint64(1); sequence < 5; sequence++ {
				So(len(b.heartbeat(sequence, runKey(1)).Stops), ShouldEqual, 1)
			}
			So(len(b.heartbeat(5).Stops), ShouldEqual, 0)
			So(<-done, ShouldBeNil)
		})
	})
	Convey("Given a renewal whose answer serves as proof", t, func() {
		b := newMailboxFixture()
		done := make(chan scheduler.RenewalAnswer, 1)
		b.group.Go(func(ctx context.Context) {
			answer, _ := b.mailboxes.RenewLease(ctx, jobs.Worker{ID: "w"},
				scheduler.LeaseRenewal{Token: mailboxTerm, AcknowledgedUpTo: 4})
			done <- answer
		})
		b.waitForOrders(1)
		Convey("it is answered with the list of the first heartbeat after two answers carried it", func() {
			So(b.heartbeat(1, runKey(1)).AcknowledgedUpTo, ShouldEqual, 4)
			b.heartbeat(2, runKey(1))
			b.heartbeat(2, runKey(1)) // a duplicate of the heartbeat does not confirm it
			b.heartbeat(3, runKey(2))
			answer := <-done
			So(answer.Running[1].Key, ShouldResemble, runKey(2))
		})
	})
}

func TestHeartbeatInterval(t *testing.T) {
	Convey("The heartbeat interval of a busy worker is proportional to the number of workers, within bounds", t, func() {
		for workers, interval := range map[int]time.Duration{
			1: minHeartbeatInterval, 48: minHeartbeatInterval, 400: 200 * time.Millisecond, 5000: maxHeartbeatInterval,
		} {
			So(heartbeatInterval(false, workers), ShouldEqual, interval)
		}
	})
	Convey("The delay of an answer is part of the pause", t, func() {
		for workers, interval := range map[int]time.Duration{
			1: minHeartbeatInterval, 400: minHeartbeatInterval, 1000: minHeartbeatInterval,
			1500: 250 * time.Millisecond, 5000: maxHeartbeatInterval,
		} {
			So(heartbeatInterval(true, workers), ShouldEqual, interval)
		}
	})
}

package controller

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"crosstide/internal/controller/scheduler"
	"crosstide/internal/errs"
	"crosstide/internal/jobs"
)

const (
	// answerTimeout is how long a worker waits for the answer to a heartbeat; a later answer doesn't count.
	answerTimeout = time.Second
	// idleAnswerDelay is how long the answer to an idle worker's heartbeat is held until there are orders.
	idleAnswerDelay = 500 * time.Millisecond
	// minHeartbeatInterval and maxHeartbeatInterval bound the pause before a worker's next heartbeat; intervalPerWorker of it is for each worker, so
	// that the heartbeats of all of them stay within what one leader can answer. The time that an answer was held counts
	// as part of the pause.
	minHeartbeatInterval = 100 * time.Millisecond
	maxHeartbeatInterval = time.Second
	intervalPerWorker    = 500 * time.Microsecond
	// tokensPerTerm is how many fencing tokens, one for each answer, a term has for a worker.
	tokensPerTerm = 1 << 20
	// requiredDeliveries is how many answers must have carried a stop, or the first call under a term, before a heartbeat
	// counts as sent after it.
	requiredDeliveries = 2
)

// errNotDelivered says that an order was taken back before any answer carried it.
var errNotDelivered = errors.New("no heartbeat came to carry the order")

// Mailboxes carry the scheduler's orders to workers with the answers to their heartbeats. An order waits until the
// worker's next heartbeat, goes with its answer and with all later ones, and is settled by what a later heartbeat lists.
type Mailboxes struct {
	mu       sync.Mutex
	byWorker map[string]*mailbox
}

var _ scheduler.Workers = (*Mailboxes)(nil)

// NewMailboxes makes empty mailboxes.
func NewMailboxes() *Mailboxes { return &Mailboxes{byWorker: map[string]*mailbox{}} }

// mailbox holds the orders for one worker.
type mailbox struct {
	starts        []*pendingOrder[scheduler.StartOrder, scheduler.StartAnswer]
	stops         []*pendingOrder[scheduler.StopOrder, struct{}]
	renewals      []*pendingOrder[scheduler.LeaseRenewal, scheduler.RenewalAnswer]
	leaseDeadline time.Duration // the latest lease granted, on the worker's clock
	seenUpTo      uint64
	tokens        uint64
	orderAdded    chan struct{} // closed when an order comes in
}

// pendingOrder is an order on its way.
type pendingOrder[Order, Answer any] struct {
	order            Order
	term             uint64
	confirmableAfter uint64 // sequence of the heartbeat whose answer carried it last enough times; 0: not yet
	deliveries       int
	result           chan Answer
}

func newPendingOrder[Order, Answer any](order Order, term uint64) *pendingOrder[Order, Answer] {
	return &pendingOrder[Order, Answer]{order: order, term: term, result: make(chan Answer, 1)}
}

// recordDelivery notes that the answer to the heartbeat of a sequence carries the letter.
func (l *pendingOrder[Order, Answer]) recordDelivery(sequence uint64, needed int) {
	l.deliveries++
	if l.confirmableAfter == 0 && l.deliveries >= needed {
		l.confirmableAfter = sequence
	}
}

// deliveredBefore tells whether the heartbeat of a sequence was sent after the letter was carried.
func (l *pendingOrder[Order, Answer]) deliveredBefore(sequence uint64) bool {
	return l.confirmableAfter != 0 && l.confirmableAfter < sequence
}

func (m *Mailboxes) mailboxOf(id string) *mailbox {
	b := m.byWorker[id]
	if b == nil {
		b = &mailbox{orderAdded: make(chan struct{})}
		m.byWorker[id] = b
	}
	return b
}

// signalOrder wakes the heartbeat that waits for orders.
func (b *mailbox) signalOrder() {
	close(b.orderAdded)
	b.orderAdded = make(chan struct{})
}

// Start hands over one run; it is settled when the worker lists the run.
func (m *Mailboxes) Start(ctx context.Context, worker jobs.Worker, order scheduler.StartOrder) (scheduler.StartAnswer, error) {
	l := newPendingOrder[scheduler.StartOrder, scheduler.StartAnswer](order, order.Token)
	answer, err := deliver(ctx, m, worker.ID, l, func(b *mailbox) *[]*pendingOrder[scheduler.StartOrder, scheduler.StartAnswer] {
		b.leaseDeadline = max(b.leaseDeadline, order.LeaseDeadline)
		return &b.starts
	})
	return answer, errs.Pass(err, "start")
}

// Stop stops a run; it is settled when the worker does not list the run any more.
func (m *Mailboxes) Stop(ctx context.Context, worker jobs.Worker, order scheduler.StopOrder) error {
	l := newPendingOrder[scheduler.StopOrder, struct{}](order, order.Token)
	_, err := deliver(ctx, m, worker.ID, l, func(b *mailbox) *[]*pendingOrder[scheduler.StopOrder, struct{}] { return &b.stops })
	return errs.Pass(err, "stop")
}

// Hold asks for the worker's lists.
func (m *Mailboxes) RenewLease(ctx context.Context, worker jobs.Worker, call scheduler.LeaseRenewal) (scheduler.RenewalAnswer, error) {
	l := newPendingOrder[scheduler.LeaseRenewal, scheduler.RenewalAnswer](call, call.Token)
	answer, err := deliver(ctx, m, worker.ID, l, func(b *mailbox) *[]*pendingOrder[scheduler.LeaseRenewal, scheduler.RenewalAnswer] {
		b.leaseDeadline, b.seenUpTo = max(b.leaseDeadline, call.LeaseDeadline), max(b.seenUpTo, call.AcknowledgedUpTo)
		return &b.renewals
	})
	return answer, errs.Pass(err, "hold")
}

// deliver puts a letter into a worker's box and waits until it is settled or ctx ends.
func deliver[Order, Answer any](ctx context.Context, m *Mailboxes, id string, l *pendingOrder[Order, Answer],
	into func(*mailbox) *[]*pendingOrder[Order, Answer]) (Answer, error) {
	m.mu.Lock()
	b := m.mailboxOf(id)
	list := into(b)
	*list = append(*list, l)
	b.signalOrder()
	m.mu.Unlock()
	var answer Answer
	select {
	case answer = <-l.result:
		return answer, nil
	case <-ctx.Done():
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	*list = without(*list, l)
	select {
	case answer = <-l.result:
		return answer, nil
	default:
	}
	if l.deliveries == 0 {
		return answer, errs.Wrap(errNotDelivered, errs.Unavailable, "worker %s", id)
	}
	return answer, errs.New(errs.Timeout, "worker %s has not confirmed the order", id)
}

func without[L comparable](list []L, one L) []L {
	kept := list[:0:0]
	for _, l := range list {
		if l != one {
			kept = append(kept, l)
		}
	}
	return kept
}

// Exchange settles what the worker's heartbeat proves and gives the orders that its answer carries. leads tells, at the
// last moment, whether this node may give orders under term; without it there are none.
func (m *Mailboxes) Exchange(ctx context.Context, id string, sequence, term uint64, listing scheduler.RenewalAnswer, hasLease func() bool) *HeartbeatOrders {
	m.mu.Lock()
	b := m.mailboxOf(id)
	b.completeOrders(sequence, listing)
	idle := len(listing.Running)+len(listing.Ended) == 0
	filled := b.orderAdded
	wait := idle && b.empty()
	m.mu.Unlock()
	if wait {
		bounded, cancel := context.WithTimeout(ctx, idleAnswerDelay)
		select {
		case <-filled:
		case <-bounded.Done():
		}
		cancel()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !hasLease() {
		return nil
	}
	out := b.orders(sequence, term, listing.Clock)
	out.NextHeartbeat = heartbeatInterval(wait, len(m.byWorker))
	return out
}

// heartbeatInterval gives the pause before a worker's next heartbeat, by whether this answer was held and by how many workers
// there are.
func heartbeatInterval(hasLease bool, workers int) time.Duration {
	pause := time.Duration(workers) * intervalPerWorker
	if hasLease {
		pause -= idleAnswerDelay
	}
	return min(max(minHeartbeatInterval, pause), maxHeartbeatInterval)
}

// ForgetWorker drops the box of a worker that is gone. Orders in it are settled by their time-outs.
func (m *Mailboxes) ForgetWorker(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.byWorker, id)
}

// ForgetWorkers drops the boxes of all workers that are gone.
func (m *Mailboxes) ForgetWorkers(gone func(id string) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.byWorker, func(id string, _ *mailbox) bool { return gone(id) })
}

func (b *mailbox) empty() bool { return len(b.starts)+len(b.stops)+len(b.renewals) == 0 }

// completeOrders ends the letters of which the heartbeat of a sequence is the proof.
func (b *mailbox) completeOrders(sequence uint64, listing scheduler.RenewalAnswer) {
	running, started, refused := map[jobs.RunKey]bool{}, map[jobs.RunKey]bool{}, map[jobs.RunKey]bool{}
	for _, r := range listing.Running {
		running[r.Key], started[r.Key] = true, true
	}
	for _, e := range listing.Ended {
		if e.Reason == jobs.EndLost {
			refused[e.Key] = true
		} else {
			started[e.Key] = true
		}
	}
	accepted := scheduler.StartAnswer{Clock: listing.Clock}
	b.starts = completeWhere(b.starts, accepted, func(l *pendingOrder[scheduler.StartOrder, scheduler.StartAnswer]) bool { return started[l.order.Key] })
	refusal := scheduler.StartAnswer{Clock: listing.Clock, Refusal: scheduler.RefusedCapacity}
	b.starts = completeWhere(b.starts, refusal, func(l *pendingOrder[scheduler.StartOrder, scheduler.StartAnswer]) bool { return refused[l.order.Key] })
	b.stops = completeWhere(b.stops, struct{}{}, func(l *pendingOrder[scheduler.StopOrder, struct{}]) bool {
		return l.deliveredBefore(sequence) && !running[l.order.Key]
	})
	b.renewals = completeWhere(b.renewals, listing, func(l *pendingOrder[scheduler.LeaseRenewal, scheduler.RenewalAnswer]) bool {
		return l.deliveredBefore(sequence)
	})
}

// completeWhere ends the letters that are proved and gives the others.
func completeWhere[Order, Answer any](list []*pendingOrder[Order, Answer], answer Answer, isConfirmed func(*pendingOrder[Order, Answer]) bool) []*pendingOrder[Order, Answer] {
	kept := list[:0:0]
	for _, l := range list {
		if isConfirmed(l) {
			l.result <- answer
		} else {
			kept = append(kept, l)
		}
	}
	return kept
}

// orders gives what the answer to the heartbeat of a sequence carries, under a token of its own: a worker that has taken
// it does nothing for an earlier answer any more.
func (b *mailbox) orders(sequence, term uint64, clock time.Duration) *HeartbeatOrders {
	b.tokens = min(b.tokens+1, tokensPerTerm-1)
	out := &HeartbeatOrders{Token: term*tokensPerTerm + b.tokens, SeenUpTo: b.seenUpTo}
	out.Lease = max(0, b.leaseDeadline-clock-answerTimeout)
	for _, l := range b.starts {
		if l.term == term {
			l.recordDelivery(sequence, 1)
			out.Starts = append(out.Starts, l.order)
		}
	}
	for _, l := range b.stops {
		if l.term == term {
			l.recordDelivery(sequence, requiredDeliveries)
			out.Stops = append(out.Stops, l.order.Key)
		}
	}
	for _, l := range b.renewals {
		if l.term == term {
			l.recordDelivery(sequence, renewalDeliveries(l.order))
		}
	}
	return out
}

// renewalDeliveries is one for the calls that only renew a lease; more for those whose answer is a proof.
func renewalDeliveries(call scheduler.LeaseRenewal) int {
	if call.Wait > 0 {
		return 1
	}
	return requiredDeliveries
}

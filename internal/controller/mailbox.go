package controller

import (
	"context"
	"maps"
	"sync"
	"time"

	"crosstide/internal/controller/scheduler"
	"crosstide/internal/errs"
	"crosstide/internal/jobs"
)

const (
	// answerTimeout is how long a worker waits for the answer to a heartbeat; it ignores a later one. A lease begins
	// when its answer arrives, so an answer grants that much less.
	answerTimeout = time.Second
	// idleAnswerDelay is how long the answer to an idle worker's heartbeat is delayed until there are orders.
	idleAnswerDelay = 500 * time.Millisecond
	// minHeartbeatInterval and maxHeartbeatInterval bound the pause before a worker's next heartbeat. Between them it
	// is intervalPerWorker for each worker there is, so that one leader can answer the heartbeats of all. The time
	// that an answer was delayed counts as part of the pause.
	minHeartbeatInterval = 100 * time.Millisecond
	maxHeartbeatInterval = time.Second
	intervalPerWorker    = 500 * time.Microsecond
	// tokensPerTerm is how many fencing tokens, one for each answer, a term has for a worker.
	tokensPerTerm = 1 << 20
	// requiredDeliveries is how many answers must have carried a stop, or the first call under a term, before a
	// heartbeat counts as sent after it.
	requiredDeliveries = 2
)

// Mailboxes carry the scheduler's orders to workers with the answers to their heartbeats, where the system cannot call
// the workers. An order waits for the worker's next heartbeat, goes with its answer and with all later ones, and is
// confirmed by what a later heartbeat lists. It is safe for concurrent use.
type Mailboxes struct {
	mu       sync.Mutex // also guards each mailbox and its orders
	byWorker map[string]*mailbox
}

var _ scheduler.Workers = (*Mailboxes)(nil)

// NewMailboxes returns Mailboxes without any.
func NewMailboxes() *Mailboxes { return &Mailboxes{byWorker: map[string]*mailbox{}} }

// Start delivers a start; the worker confirms it by listing the run.
func (m *Mailboxes) Start(ctx context.Context, worker jobs.Worker,
	order scheduler.StartOrder) (scheduler.StartAnswer, error) {
	pending := newPendingOrder[scheduler.StartOrder, scheduler.StartAnswer](order, order.Token)
	answer, err := deliver(ctx, m, worker.ID, pending, func(b *mailbox) *[]*pendingStart {
		b.leaseDeadline = max(b.leaseDeadline, order.LeaseDeadline)
		return &b.starts
	})
	return answer, errs.Pass(err, "start")
}

// Stop delivers a stop; the worker confirms it by not listing the run any more.
func (m *Mailboxes) Stop(ctx context.Context, worker jobs.Worker, order scheduler.StopOrder) error {
	pending := newPendingOrder[scheduler.StopOrder, struct{}](order, order.Token)
	_, err := deliver(ctx, m, worker.ID, pending, func(b *mailbox) *[]*pendingStop { return &b.stops })
	return errs.Pass(err, "stop")
}

// RenewLease extends the worker's lease and waits for the worker's lists.
func (m *Mailboxes) RenewLease(ctx context.Context, worker jobs.Worker,
	call scheduler.LeaseRenewal) (scheduler.RenewalAnswer, error) {
	pending := newPendingOrder[scheduler.LeaseRenewal, scheduler.RenewalAnswer](call, call.Token)
	answer, err := deliver(ctx, m, worker.ID, pending, func(b *mailbox) *[]*pendingRenewal {
		b.leaseDeadline = max(b.leaseDeadline, call.LeaseDeadline)
		b.acknowledgedUpTo = max(b.acknowledgedUpTo, call.AcknowledgedUpTo)
		return &b.renewals
	})
	return answer, errs.Pass(err, "renew lease")
}

// Exchange completes the orders that the worker's heartbeat confirms and returns those that the answer is to carry. If
// there are none and the worker is idle, it waits for some, for idleAnswerDelay at most. It calls hasLease last, which
// reports whether this node may send orders under term; if not, the result is nil. hasLease is called under the mutex.
func (m *Mailboxes) Exchange(ctx context.Context, id string, sequence, term uint64, listing scheduler.RenewalAnswer,
	hasLease func() bool) *HeartbeatOrders {
	m.mu.Lock()
	b := m.mailboxOf(id)
	b.completeOrders(sequence, listing)
	isIdle := len(listing.Running)+len(listing.Ended) == 0
	orderAdded := b.orderAdded
	delayed := isIdle && b.isEmpty()
	m.mu.Unlock()
	if delayed {
		bounded, cancel := context.WithTimeout(ctx, idleAnswerDelay)
		select {
		case <-orderAdded:
		case <-bounded.Done():
		}
		cancel()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !hasLease() {
		return nil
	}
	orders := b.takeOrders(sequence, term, listing.Clock)
	orders.NextHeartbeat = heartbeatInterval(delayed, len(m.byWorker))
	return orders
}

// heartbeatInterval returns the pause before a worker's next heartbeat; delayed reports whether the answer was delayed
// by idleAnswerDelay, workers is how many there are.
func heartbeatInterval(delayed bool, workers int) time.Duration {
	pause := time.Duration(workers) * intervalPerWorker
	if delayed {
		pause -= idleAnswerDelay
	}
	return min(max(minHeartbeatInterval, pause), maxHeartbeatInterval)
}

// ForgetWorker drops the mailbox of a worker that is gone. Calls that wait for its orders end by their timeouts.
func (m *Mailboxes) ForgetWorker(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.byWorker, id)
}

// ForgetWorkers drops the mailboxes of all workers that are gone.
func (m *Mailboxes) ForgetWorkers(gone func(id string) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.byWorker, func(id string, _ *mailbox) bool { return gone(id) })
}

// mailboxOf returns a worker's mailbox, which it makes if there is none. The mutex is held.
func (m *Mailboxes) mailboxOf(id string) *mailbox {
	b := m.byWorker[id]
	if b == nil {
		b = &mailbox{orderAdded: make(chan struct{})}
		m.byWorker[id] = b
	}
	return b
}

// mailbox holds the pending orders for one worker. The mutex of Mailboxes guards it.
type mailbox struct {
	starts           []*pendingStart
	stops            []*pendingStop
	renewals         []*pendingRenewal
	leaseDeadline    time.Duration // the latest lease granted, on the worker's clock
	acknowledgedUpTo uint64        // ends numbered up to it are durable
	tokens           uint64        // fencing tokens used, over all terms
	orderAdded       chan struct{} // closed, and replaced, when an order comes in
}

func (b *mailbox) isEmpty() bool { return len(b.starts)+len(b.stops)+len(b.renewals) == 0 }

// signalOrder wakes the heartbeats that wait for orders.
func (b *mailbox) signalOrder() {
	close(b.orderAdded)
	b.orderAdded = make(chan struct{})
}

// completeOrders completes the orders that the heartbeat of a sequence confirms. A start is confirmed, or refused, by
// any heartbeat that lists its run; a stop or a renewal only by one that was sent after the worker had the order.
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
	b.starts = completeWhere(b.starts, accepted, func(p *pendingStart) bool { return started[p.order.Key] })
	refusal := scheduler.StartAnswer{Clock: listing.Clock, Refusal: scheduler.RefusedCapacity}
	b.starts = completeWhere(b.starts, refusal, func(p *pendingStart) bool { return refused[p.order.Key] })
	b.stops = completeWhere(b.stops, struct{}{}, func(p *pendingStop) bool {
		return p.deliveredBefore(sequence) && !running[p.order.Key]
	})
	b.renewals = completeWhere(b.renewals, listing, func(p *pendingRenewal) bool { return p.deliveredBefore(sequence) })
}

// takeOrders returns the orders that the answer to the heartbeat of a sequence carries, under a new token: a worker
// that has seen it ignores an earlier answer that comes later. Orders of other terms are not sent: this node has no
// lease for them.
func (b *mailbox) takeOrders(sequence, term uint64, clock time.Duration) *HeartbeatOrders {
	b.tokens = min(b.tokens+1, tokensPerTerm-1)
	orders := &HeartbeatOrders{Token: term*tokensPerTerm + b.tokens, AcknowledgedUpTo: b.acknowledgedUpTo}
	orders.Lease = max(0, b.leaseDeadline-clock-answerTimeout)
	for _, p := range b.starts {
		if p.term == term {
			p.recordDelivery(sequence, 1)
			orders.Starts = append(orders.Starts, p.order)
		}
	}
	for _, p := range b.stops {
		if p.term == term {
			p.recordDelivery(sequence, requiredDeliveries)
			orders.Stops = append(orders.Stops, p.order.Key)
		}
	}
	for _, p := range b.renewals {
		if p.term == term {
			p.recordDelivery(sequence, renewalDeliveries(p.order))
		}
	}
	return orders
}

// renewalDeliveries returns how many answers must have carried a renewal before a heartbeat confirms it: one if it only
// renews a lease, requiredDeliveries if the lists that it asks for serve as a proof.
func renewalDeliveries(call scheduler.LeaseRenewal) int {
	if call.Wait > 0 {
		return 1
	}
	return requiredDeliveries
}

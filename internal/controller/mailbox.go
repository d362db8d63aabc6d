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
	// answerTimeout is how long a worker waits for the answer to a heartbeat; it ignores a later answer. A lease starts
	// when the answer that grants it arrives, so the granted duration is reduced by answerTimeout.
	answerTimeout = time.Second
	// idleAnswerDelay is the maximum time that the answer to an idle worker's heartbeat waits for an order.
	idleAnswerDelay = 500 * time.Millisecond
	// minHeartbeatInterval and maxHeartbeatInterval bound the pause before a worker's next heartbeat. Within these
	// bounds the pause is intervalPerWorker times the number of workers, so that one leader can answer all heartbeats.
	// The time that an answer was delayed counts as part of the pause.
	minHeartbeatInterval = 100 * time.Millisecond
	maxHeartbeatInterval = time.Second
	intervalPerWorker    = 500 * time.Microsecond
	// tokensPerTerm is the number of fencing tokens reserved per worker and term. Each answer uses one.
	tokensPerTerm = 1 << 20
	// requiredDeliveries is the number of answers that must have carried a stop or a probe before a later heartbeat can
	// confirm it. For other renewals one is enough, see renewalDeliveries.
	requiredDeliveries = 2
)

// Mailboxes delivers the scheduler's orders in the answers to the workers' heartbeats, for deployments in which the
// control plane cannot connect to workers. An order waits for the worker's next heartbeat, is included in its answer
// and all later ones, and is confirmed by the runs that a later heartbeat lists. It is safe for concurrent use.
type Mailboxes struct {
	// mu also guards each mailbox and its orders. Lock order: the store's lock before mu, because the leader's loop
	// forgets workers inside Store.View. So no method calls the store, or a function that may do so, while it holds mu.
	mu       sync.Mutex
	byWorker map[string]*mailbox
}

var _ scheduler.Workers = (*Mailboxes)(nil)

// NewMailboxes returns an empty Mailboxes.
func NewMailboxes() *Mailboxes { return &Mailboxes{byWorker: map[string]*mailbox{}} }

// Start delivers a start order. The worker confirms it by listing the run.
func (m *Mailboxes) Start(ctx context.Context, worker jobs.Worker,
	order scheduler.StartOrder) (scheduler.StartAnswer, error) {
	pending := newPendingOrder[scheduler.StartOrder, scheduler.StartAnswer](order, order.Token)
	answer, err := deliver(ctx, m, worker.ID, pending, func(b *mailbox) *[]*pendingStart {
		b.leaseDeadline = max(b.leaseDeadline, order.LeaseDeadline)
		return &b.starts
	})
	return answer, errs.Pass(err, "start")
}

// Stop delivers a stop order. The worker confirms it by no longer listing the run.
func (m *Mailboxes) Stop(ctx context.Context, worker jobs.Worker, order scheduler.StopOrder) error {
	pending := newPendingOrder[scheduler.StopOrder, struct{}](order, order.Token)
	_, err := deliver(ctx, m, worker.ID, pending, func(b *mailbox) *[]*pendingStop { return &b.stops })
	return errs.Pass(err, "stop")
}

// RenewLease extends the worker's lease and waits for the worker's list of runs.
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

// Exchange completes the orders that the worker's heartbeat confirms and returns the orders for the answer. If no order
// is pending and the worker is idle, it waits up to idleAnswerDelay for one. Immediately before it collects the orders
// it calls hasLease, which reports whether this node may send orders under term, and returns nil if it may not.
// hasLease may call the store: it is called without the mutex.
func (m *Mailboxes) Exchange(ctx context.Context, id string, sequence, term uint64, listing scheduler.RenewalAnswer,
	hasLease func() bool) *HeartbeatOrders {
	m.mu.Lock()
	box := m.mailboxFor(id)
	box.completeOrders(sequence, listing)
	isIdle := len(listing.Running)+len(listing.Ended) == 0
	orderAdded := box.orderAdded
	isDelayed := isIdle && box.isEmpty()
	m.mu.Unlock()
	if isDelayed {
		bounded, cancel := context.WithTimeout(ctx, idleAnswerDelay)
		select {
		case <-orderAdded:
		case <-bounded.Done():
		}
		cancel()
	}
	if !hasLease() {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	orders := box.collectOrders(sequence, term, listing.Clock)
	orders.NextHeartbeat = heartbeatInterval(isDelayed, len(m.byWorker))
	return orders
}

// heartbeatInterval returns the pause before a worker's next heartbeat, given the number of workers and whether the
// answer was delayed by idleAnswerDelay.
func heartbeatInterval(isDelayed bool, workers int) time.Duration {
	pause := time.Duration(workers) * intervalPerWorker
	if isDelayed {
		pause -= idleAnswerDelay
	}
	return min(max(minHeartbeatInterval, pause), maxHeartbeatInterval)
}

// ForgetWorker drops the mailbox of a removed worker. Calls that wait for its orders fail when they time out.
func (m *Mailboxes) ForgetWorker(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.byWorker, id)
}

// ForgetWorkers drops the mailboxes of all workers for which isGone returns true.
func (m *Mailboxes) ForgetWorkers(isGone func(id string) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.byWorker, func(id string, _ *mailbox) bool { return isGone(id) })
}

// mailboxFor returns a worker's mailbox and creates it if necessary. m.mu must be held.
func (m *Mailboxes) mailboxFor(id string) *mailbox {
	b := m.byWorker[id]
	if b == nil {
		b = &mailbox{orderAdded: make(chan struct{})}
		m.byWorker[id] = b
	}
	return b
}

// mailbox holds the pending orders of one worker. The mutex of Mailboxes guards it.
type mailbox struct {
	starts           []*pendingStart
	stops            []*pendingStop
	renewals         []*pendingRenewal
	leaseDeadline    time.Duration // of the longest lease granted, on the worker's clock
	acknowledgedUpTo uint64        // ended runs up to this sequence number are durable
	tokens           uint64        // number of fencing tokens used, over all terms
	orderAdded       chan struct{} // closed and replaced when an order is added
}

func (b *mailbox) isEmpty() bool { return len(b.starts)+len(b.stops)+len(b.renewals) == 0 }

// signalOrder wakes the heartbeats that wait for an order.
func (b *mailbox) signalOrder() {
	close(b.orderAdded)
	b.orderAdded = make(chan struct{})
}

// completeOrders completes the orders that the heartbeat with the given sequence number confirms. Any heartbeat that
// lists a run confirms its start, or refuses it if the run is listed as ended with jobs.EndLost. A stop or a renewal is
// confirmed only by a heartbeat that was sent after the answers that carried the order, see recordDelivery.
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

// collectOrders returns the orders for the answer to the heartbeat with the given sequence number, under a new fencing
// token, so that the worker ignores earlier answers that arrive after this one. Orders of other terms are excluded:
// this node has no lease for them.
func (b *mailbox) collectOrders(sequence, term uint64, clock time.Duration) *HeartbeatOrders {
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

// renewalDeliveries returns the number of answers that must have carried a renewal before a heartbeat can confirm it:
// one for a long poll, requiredDeliveries for a probe (without a Wait), whose list of runs serves as a proof.
func renewalDeliveries(call scheduler.LeaseRenewal) int {
	if call.Wait > 0 {
		return 1
	}
	return requiredDeliveries
}

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
	// answerLife is how long a worker waits for the answer to a heartbeat; a later answer doesn't count.
	answerLife = time.Second
	// idleHold is how long the answer to an idle worker's heartbeat is held until there are orders.
	idleHold = 500 * time.Millisecond
	// leastAgain and mostAgain bound the pause before a worker's next heartbeat; beatShare of it is for each worker, so
	// that the heartbeats of all of them stay within what one leader can answer. The time that an answer was held counts
	// as part of the pause.
	leastAgain = 100 * time.Millisecond
	mostAgain  = time.Second
	beatShare  = 500 * time.Microsecond
	// tokensPerTerm is how many fencing tokens, one for each answer, a term has for a worker.
	tokensPerTerm = 1 << 20
	// confirmations is how many answers must have carried a stop, or the first call under a term, before a heartbeat
	// counts as sent after it.
	confirmations = 2
)

// errNeverLeft says that an order was taken back before any answer carried it.
var errNeverLeft = errors.New("no heartbeat came to carry the order")

// Mailboxes carry the scheduler's orders to workers with the answers to their heartbeats. An order waits until the
// worker's next heartbeat, goes with its answer and with all later ones, and is settled by what a later heartbeat lists.
type Mailboxes struct {
	mu    sync.Mutex
	boxes map[string]*mailbox
}

var _ scheduler.Workers = (*Mailboxes)(nil)

// NewMailboxes makes empty mailboxes.
func NewMailboxes() *Mailboxes { return &Mailboxes{boxes: map[string]*mailbox{}} }

// mailbox holds the orders for one worker.
type mailbox struct {
	starts   []*letter[scheduler.StartOrder, scheduler.StartAnswer]
	stops    []*letter[scheduler.StopOrder, struct{}]
	holds    []*letter[scheduler.LeaseRenewal, scheduler.RenewalAnswer]
	deadline time.Duration // the latest lease granted, on the worker's clock
	seen     uint64
	tokens   uint64
	filled   chan struct{} // closed when an order comes in
}

// letter is an order on its way.
type letter[Order, Answer any] struct {
	order   Order
	term    uint64
	carried uint64 // sequence of the heartbeat whose answer carried it last enough times; 0: not yet
	times   int
	settled chan Answer
}

func newLetter[Order, Answer any](order Order, term uint64) *letter[Order, Answer] {
	return &letter[Order, Answer]{order: order, term: term, settled: make(chan Answer, 1)}
}

// carry notes that the answer to the heartbeat of a sequence carries the letter.
func (l *letter[Order, Answer]) carry(sequence uint64, needed int) {
	l.times++
	if l.carried == 0 && l.times >= needed {
		l.carried = sequence
	}
}

// before tells whether the heartbeat of a sequence was sent after the letter was carried.
func (l *letter[Order, Answer]) before(sequence uint64) bool {
	return l.carried != 0 && l.carried < sequence
}

func (m *Mailboxes) box(id string) *mailbox {
	b := m.boxes[id]
	if b == nil {
		b = &mailbox{filled: make(chan struct{})}
		m.boxes[id] = b
	}
	return b
}

// fill wakes the heartbeat that waits for orders.
func (b *mailbox) fill() {
	close(b.filled)
	b.filled = make(chan struct{})
}

// Start hands over one run; it is settled when the worker lists the run.
func (m *Mailboxes) Start(ctx context.Context, worker jobs.Worker, order scheduler.StartOrder) (scheduler.StartAnswer, error) {
	l := newLetter[scheduler.StartOrder, scheduler.StartAnswer](order, order.Token)
	answer, err := post(ctx, m, worker.ID, l, func(b *mailbox) *[]*letter[scheduler.StartOrder, scheduler.StartAnswer] {
		b.deadline = max(b.deadline, order.LeaseDeadline)
		return &b.starts
	})
	return answer, errs.Pass(err, "start")
}

// Stop stops a run; it is settled when the worker does not list the run any more.
func (m *Mailboxes) Stop(ctx context.Context, worker jobs.Worker, order scheduler.StopOrder) error {
	l := newLetter[scheduler.StopOrder, struct{}](order, order.Token)
	_, err := post(ctx, m, worker.ID, l, func(b *mailbox) *[]*letter[scheduler.StopOrder, struct{}] { return &b.stops })
	return errs.Pass(err, "stop")
}

// Hold asks for the worker's lists.
func (m *Mailboxes) RenewLease(ctx context.Context, worker jobs.Worker, call scheduler.LeaseRenewal) (scheduler.RenewalAnswer, error) {
	l := newLetter[scheduler.LeaseRenewal, scheduler.RenewalAnswer](call, call.Token)
	answer, err := post(ctx, m, worker.ID, l, func(b *mailbox) *[]*letter[scheduler.LeaseRenewal, scheduler.RenewalAnswer] {
		b.deadline, b.seen = max(b.deadline, call.LeaseDeadline), max(b.seen, call.AcknowledgedUpTo)
		return &b.holds
	})
	return answer, errs.Pass(err, "hold")
}

// post puts a letter into a worker's box and waits until it is settled or ctx ends.
func post[Order, Answer any](ctx context.Context, m *Mailboxes, id string, l *letter[Order, Answer],
	into func(*mailbox) *[]*letter[Order, Answer]) (Answer, error) {
	m.mu.Lock()
	b := m.box(id)
	list := into(b)
	*list = append(*list, l)
	b.fill()
	m.mu.Unlock()
	var answer Answer
	select {
	case answer = <-l.settled:
		return answer, nil
	case <-ctx.Done():
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	*list = without(*list, l)
	select {
	case answer = <-l.settled:
		return answer, nil
	default:
	}
	if l.times == 0 {
		return answer, errs.Wrap(errNeverLeft, errs.Unavailable, "worker %s", id)
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
func (m *Mailboxes) Exchange(ctx context.Context, id string, sequence, term uint64, listing scheduler.RenewalAnswer, leads func() bool) *BeatOrders {
	m.mu.Lock()
	b := m.box(id)
	b.settle(sequence, listing)
	idle := len(listing.Running)+len(listing.Ended) == 0
	filled := b.filled
	wait := idle && b.empty()
	m.mu.Unlock()
	if wait {
		bounded, cancel := context.WithTimeout(ctx, idleHold)
		select {
		case <-filled:
		case <-bounded.Done():
		}
		cancel()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !leads() {
		return nil
	}
	out := b.orders(sequence, term, listing.Clock)
	out.Again = pauseAfter(wait, len(m.boxes))
	return out
}

// pauseAfter gives the pause before a worker's next heartbeat, by whether this answer was held and by how many workers
// there are.
func pauseAfter(held bool, workers int) time.Duration {
	pause := time.Duration(workers) * beatShare
	if held {
		pause -= idleHold
	}
	return min(max(leastAgain, pause), mostAgain)
}

// Forget drops the box of a worker that is gone. Orders in it are settled by their time-outs.
func (m *Mailboxes) Forget(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.boxes, id)
}

// ForgetAll drops the boxes of all workers that are gone.
func (m *Mailboxes) ForgetAll(gone func(id string) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.boxes, func(id string, _ *mailbox) bool { return gone(id) })
}

func (b *mailbox) empty() bool { return len(b.starts)+len(b.stops)+len(b.holds) == 0 }

// settle ends the letters of which the heartbeat of a sequence is the proof.
func (b *mailbox) settle(sequence uint64, listing scheduler.RenewalAnswer) {
	running, begun, refused := map[jobs.RunKey]bool{}, map[jobs.RunKey]bool{}, map[jobs.RunKey]bool{}
	for _, r := range listing.Running {
		running[r.Key], begun[r.Key] = true, true
	}
	for _, e := range listing.Ended {
		if e.Reason == jobs.EndLost {
			refused[e.Key] = true
		} else {
			begun[e.Key] = true
		}
	}
	taken := scheduler.StartAnswer{Clock: listing.Clock}
	b.starts = settleAll(b.starts, taken, func(l *letter[scheduler.StartOrder, scheduler.StartAnswer]) bool { return begun[l.order.Key] })
	refusal := scheduler.StartAnswer{Clock: listing.Clock, Refusal: scheduler.RefusedCapacity}
	b.starts = settleAll(b.starts, refusal, func(l *letter[scheduler.StartOrder, scheduler.StartAnswer]) bool { return refused[l.order.Key] })
	b.stops = settleAll(b.stops, struct{}{}, func(l *letter[scheduler.StopOrder, struct{}]) bool {
		return l.before(sequence) && !running[l.order.Key]
	})
	b.holds = settleAll(b.holds, listing, func(l *letter[scheduler.LeaseRenewal, scheduler.RenewalAnswer]) bool { return l.before(sequence) })
}

// settleAll ends the letters that are proved and gives the others.
func settleAll[Order, Answer any](list []*letter[Order, Answer], answer Answer, proved func(*letter[Order, Answer]) bool) []*letter[Order, Answer] {
	kept := list[:0:0]
	for _, l := range list {
		if proved(l) {
			l.settled <- answer
		} else {
			kept = append(kept, l)
		}
	}
	return kept
}

// orders gives what the answer to the heartbeat of a sequence carries, under a token of its own: a worker that has taken
// it does nothing for an earlier answer any more.
func (b *mailbox) orders(sequence, term uint64, clock time.Duration) *BeatOrders {
	b.tokens = min(b.tokens+1, tokensPerTerm-1)
	out := &BeatOrders{Token: term*tokensPerTerm + b.tokens, SeenUpTo: b.seen}
	out.Lease = max(0, b.deadline-clock-answerLife)
	for _, l := range b.starts {
		if l.term == term {
			l.carry(sequence, 1)
			out.Starts = append(out.Starts, l.order)
		}
	}
	for _, l := range b.stops {
		if l.term == term {
			l.carry(sequence, confirmations)
			out.Stops = append(out.Stops, l.order.Key)
		}
	}
	for _, l := range b.holds {
		if l.term == term {
			l.carry(sequence, holdConfirmations(l.order))
		}
	}
	return out
}

// holdConfirmations is one for the calls that only renew a lease; more for those whose answer is a proof.
func holdConfirmations(call scheduler.LeaseRenewal) int {
	if call.Wait > 0 {
		return 1
	}
	return confirmations
}

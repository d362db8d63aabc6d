package controller

import (
	"context"
	"errors"

	"crosstide/internal/controller/scheduler"
	"crosstide/internal/errs"
)

// errNotDelivered is the cause of the error of an order that was withdrawn before any answer carried it.
var errNotDelivered = errors.New("no heartbeat came to carry the order")

// pendingOrder is an order in a mailbox that its worker has not confirmed yet. The mutex of Mailboxes guards it, apart
// from its result.
type pendingOrder[Order, Answer any] struct {
	order            Order
	term             uint64
	deliveries       int         // how many answers carried it
	confirmableAfter uint64      // sequence of the heartbeat whose answer was the last required delivery; 0: none yet
	result           chan Answer // buffered, so that completing the order never blocks
}

type (
	pendingStart   = pendingOrder[scheduler.StartOrder, scheduler.StartAnswer]
	pendingStop    = pendingOrder[scheduler.StopOrder, struct{}]
	pendingRenewal = pendingOrder[scheduler.LeaseRenewal, scheduler.RenewalAnswer]
)

func newPendingOrder[Order, Answer any](order Order, term uint64) *pendingOrder[Order, Answer] {
	return &pendingOrder[Order, Answer]{order: order, term: term, result: make(chan Answer, 1)}
}

// recordDelivery records that the answer to the heartbeat of a sequence carries the order. The order can be confirmed
// after the required number of deliveries.
func (p *pendingOrder[Order, Answer]) recordDelivery(sequence uint64, required int) {
	p.deliveries++
	if p.confirmableAfter == 0 && p.deliveries >= required {
		p.confirmableAfter = sequence
	}
}

// deliveredBefore reports whether the heartbeat of a sequence was sent after the order was delivered.
func (p *pendingOrder[Order, Answer]) deliveredBefore(sequence uint64) bool {
	return p.confirmableAfter != 0 && p.confirmableAfter < sequence
}

// deliver puts an order into the list of a worker's mailbox that listOf returns, and waits until it is completed or ctx
// ends. Then it withdraws the order; the error is errs.Unavailable with errNotDelivered if the order was surely not
// carried out, errs.Timeout if it may be.
func deliver[Order, Answer any](ctx context.Context, m *Mailboxes, worker string, p *pendingOrder[Order, Answer],
	listOf func(*mailbox) *[]*pendingOrder[Order, Answer]) (Answer, error) {
	m.mu.Lock()
	b := m.mailboxOf(worker)
	list := listOf(b)
	*list = append(*list, p)
	b.signalOrder()
	m.mu.Unlock()
	var answer Answer
	select {
	case answer = <-p.result:
		return answer, nil
	case <-ctx.Done():
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	*list = without(*list, p)
	select {
	case answer = <-p.result:
		return answer, nil
	default:
	}
	if p.deliveries == 0 {
		return answer, errs.Wrap(errNotDelivered, errs.Unavailable, "worker %s", worker)
	}
	return answer, errs.New(errs.Timeout, "worker %s has not confirmed the order", worker)
}

// without returns a copy of list without one of its items.
func without[T comparable](list []T, dropped T) []T {
	kept := list[:0:0]
	for _, item := range list {
		if item != dropped {
			kept = append(kept, item)
		}
	}
	return kept
}

// completeWhere completes the orders that are confirmed, with answer, and returns the others.
func completeWhere[Order, Answer any](list []*pendingOrder[Order, Answer], answer Answer,
	isConfirmed func(*pendingOrder[Order, Answer]) bool) []*pendingOrder[Order, Answer] {
	kept := list[:0:0]
	for _, p := range list {
		if isConfirmed(p) {
			p.result <- answer
		} else {
			kept = append(kept, p)
		}
	}
	return kept
}

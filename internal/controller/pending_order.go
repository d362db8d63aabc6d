package controller

import (
	"context"
	"errors"

	"crosstide/internal/controller/scheduler"
	"crosstide/internal/errs"
)

// errNotDelivered is the cause of the error if an order was withdrawn before any heartbeat answer carried it.
var errNotDelivered = errors.New("order not delivered: no heartbeat received")

// pendingOrder is an order in a mailbox that its worker has not confirmed yet. The mutex of Mailboxes guards all fields
// but result.
type pendingOrder[Order, Answer any] struct {
	order            Order
	term             uint64
	deliveries       int         // number of heartbeat answers that carried it
	confirmableAfter uint64      // sequence number of the heartbeat whose answer completed delivery; 0: not delivered
	result           chan Answer // buffered, so that completing an order never blocks
}

type (
	pendingStart   = pendingOrder[scheduler.StartOrder, scheduler.StartAnswer]
	pendingStop    = pendingOrder[scheduler.StopOrder, struct{}]
	pendingRenewal = pendingOrder[scheduler.LeaseRenewal, scheduler.RenewalAnswer]
)

func newPendingOrder[Order, Answer any](order Order, term uint64) *pendingOrder[Order, Answer] {
	return &pendingOrder[Order, Answer]{order: order, term: term, result: make(chan Answer, 1)}
}

// recordDelivery records that the answer to the heartbeat with the given sequence number carries the order. The order
// can be confirmed after the required number of deliveries.
func (p *pendingOrder[Order, Answer]) recordDelivery(sequence uint64, required int) {
	p.deliveries++
	if p.confirmableAfter == 0 && p.deliveries >= required {
		p.confirmableAfter = sequence
	}
}

// deliveredBefore reports whether the heartbeat with the given sequence number was sent after the order was delivered.
func (p *pendingOrder[Order, Answer]) deliveredBefore(sequence uint64) bool {
	return p.confirmableAfter != 0 && p.confirmableAfter < sequence
}

// deliver appends an order to the list of the worker's mailbox that listOf selects, and waits until the order is
// completed or ctx ends. If ctx ends first, it withdraws the order. The error then is errs.Unavailable, caused by
// errNotDelivered, if no answer carried the order, and errs.Timeout if the order may be executed.
func deliver[Order, Answer any](ctx context.Context, m *Mailboxes, worker string, p *pendingOrder[Order, Answer],
	listOf func(*mailbox) *[]*pendingOrder[Order, Answer]) (Answer, error) {
	m.mu.Lock()
	box := m.mailboxFor(worker)
	list := listOf(box)
	*list = append(*list, p)
	box.signalOrder()
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
	return answer, errs.New(errs.Timeout, "worker %s did not confirm the order", worker)
}

// without returns a copy of list without the dropped item.
func without[T comparable](list []T, dropped T) []T {
	kept := list[:0:0]
	for _, item := range list {
		if item != dropped {
			kept = append(kept, item)
		}
	}
	return kept
}

// completeWhere completes the confirmed orders in list with answer and returns the others.
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

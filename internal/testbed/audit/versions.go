package audit

import (
	"fmt"

	"crosstide/internal/bundle"
	"crosstide/internal/testbed/operator"
)

// checkOperatorOrders checks that only one of the drafts on a base is accepted, and that an order sent again is
// answered as before. Cases are the bases with several drafts, and the orders that were answered more than once.
func checkOperatorOrders(h History, f *Finding) {
	orders := h.filter(Operator, operator.Put, operator.Sign)
	f.Cases = checkSameAnswers(orders, f) + checkOneDraftPerBase(orders, f)
}

// checkSameAnswers checks that an accepted order is answered the same when it is sent again. It returns how many orders
// were answered more than once.
func checkSameAnswers(orders []Event, f *Finding) (cases int) {
	accepted, times := map[string]Event{}, map[string]int{} // by order
	for _, e := range orders {
		op := e.OperatorEntry
		earlier, wasAccepted := accepted[op.Order]
		switch {
		case !wasAccepted && e.OK:
			accepted[op.Order] = e
		case wasAccepted && !e.OK && op.Sent >= earlier.At:
			f.violate("an order sent again was refused", earlier, e)
		case wasAccepted && e.OK &&
			(op.Version != earlier.OperatorEntry.Version || op.SHA != earlier.OperatorEntry.SHA):
			f.violate("an order sent again was answered otherwise", earlier, e)
		}
		times[op.Order]++
		if times[op.Order] == 2 {
			cases++
		}
	}
	return cases
}

// checkOneDraftPerBase checks that at most one draft on a base is accepted. It returns how many bases had several
// drafts.
func checkOneDraftPerBase(orders []Event, f *Finding) (cases int) {
	accepted, drafts := map[uint64]Event{}, map[uint64]map[string]bool{} // by base
	for _, e := range orders {
		op := e.OperatorEntry
		if e.Event != operator.Put {
			continue
		}
		if drafts[op.Base] == nil {
			drafts[op.Base] = map[string]bool{}
		}
		drafts[op.Base][op.Order] = true
		if !e.OK {
			continue
		}
		if first, ok := accepted[op.Base]; !ok {
			accepted[op.Base] = e
		} else if first.OperatorEntry.Order != op.Order {
			f.violate("two orders on one base heard yes", first, e)
		}
	}
	for _, orders := range drafts {
		if len(orders) > 1 {
			cases++
		}
	}
	return cases
}

// checkReadBack checks that a bundle read as in force is not older than the newest one acknowledged before the call,
// and that its bytes have the digest that was signed. Cases are the reads.
func checkReadBack(h History, f *Finding) {
	acknowledged := h.filter(Operator, operator.Force)
	for _, e := range h.filter(Operator, operator.ReadBack) {
		f.Cases++
		checkOneReadBack(acknowledged, e, f)
	}
	for _, e := range acknowledged {
		if _, err := bundle.Parse(e.OperatorEntry.Bundle); err != nil {
			f.violate("what is in force is no bundle", e)
		}
	}
}

func checkOneReadBack(acknowledged []Event, read Event, f *Finding) {
	op := read.OperatorEntry
	for _, a := range acknowledged {
		signed := a.OperatorEntry
		switch {
		case a.At <= op.Sent && signed.Version > op.Version:
			f.violate("an older bundle was read back", a, read)
			return
		case signed.Version == op.Version && signed.SHA != op.SHA:
			f.violate("other bytes were read back than were signed", a, read)
			return
		}
	}
}

// checkRollout checks that no node follows a version older than one acknowledged longer than the grace ago, and that
// none goes back to an older one. Cases are the answers in which a node confirmed its version.
func checkRollout(h History, f *Finding) {
	acknowledged := h.filter(Operator, operator.Force)
	newest := map[string]Event{} // by node: the answer with the newest version
	unconfirmed := 0
	for _, e := range h.filter(Operator, operator.NodeVersion) {
		if !e.OK {
			unconfirmed++
			continue
		}
		f.Cases++
		op := e.OperatorEntry
		for _, a := range acknowledged {
			if a.OperatorEntry.Version > op.Version && op.Sent-a.At > int64(bundleGrace) {
				f.violate("a node goes by an old bundle", a, e)
				break
			}
		}
		if earlier := newest[op.Node]; earlier.At <= op.Sent && op.Version < earlier.OperatorEntry.Version {
			f.violate("a node went back", earlier, e)
		} else if op.Version > earlier.OperatorEntry.Version {
			newest[op.Node] = e
		}
	}
	if unconfirmed > 0 {
		f.Note = fmt.Sprintf("%d times a node could not confirm its version", unconfirmed)
	}
}

package audit

import (
	"fmt"

	"crosstide/internal/bundle"
	"crosstide/internal/testbed/operator"
)

// checkOperatorOrders checks that at most one draft per base version is accepted, and that a repeated order gets the
// same answer. Cases are the bases with several drafts, and the orders that were answered more than once.
func checkOperatorOrders(h History, f *Finding) {
	orders := h.filter(Operator, operator.Put, operator.Sign)
	f.Cases = checkSameAnswers(orders, f) + checkOneDraftPerBase(orders, f)
}

// checkSameAnswers checks that an accepted order gets the same answer when it is repeated. It returns the number of
// orders that were answered more than once.
func checkSameAnswers(orders []Event, f *Finding) (cases int) {
	accepted, answers := map[string]Event{}, map[string]int{} // by order: the first acceptance, the number of answers
	for _, e := range orders {
		entry := e.OperatorEntry
		earlier, wasAccepted := accepted[entry.Order]
		switch {
		case !wasAccepted && e.OK:
			accepted[entry.Order] = e
		case wasAccepted && !e.OK && entry.Sent >= earlier.At:
			f.violate("a repeated order was refused", earlier, e)
		case wasAccepted && e.OK &&
			(entry.Version != earlier.OperatorEntry.Version || entry.SHA != earlier.OperatorEntry.SHA):
			f.violate("a repeated order got a different answer", earlier, e)
		}
		answers[entry.Order]++
		if answers[entry.Order] == 2 {
			cases++
		}
	}
	return cases
}

// checkOneDraftPerBase checks that at most one draft per base version is accepted. It returns the number of bases that
// had several drafts.
func checkOneDraftPerBase(orders []Event, f *Finding) (cases int) {
	accepted, drafts := map[uint64]Event{}, map[uint64]map[string]bool{} // by base
	for _, e := range orders {
		entry := e.OperatorEntry
		if e.Event != operator.Put {
			continue
		}
		if drafts[entry.Base] == nil {
			drafts[entry.Base] = map[string]bool{}
		}
		drafts[entry.Base][entry.Order] = true
		if !e.OK {
			continue
		}
		if first, ok := accepted[entry.Base]; !ok {
			accepted[entry.Base] = e
		} else if first.OperatorEntry.Order != entry.Order {
			f.violate("two drafts on one base were accepted", first, e)
		}
	}
	for _, orders := range drafts {
		if len(orders) > 1 {
			cases++
		}
	}
	return cases
}

// checkReadBack checks that a bundle that was read as the one in force is not older than the newest one acknowledged
// before the read, and that its bytes have the digest that was signed. Cases are the reads.
func checkReadBack(h History, f *Finding) {
	acknowledged := h.filter(Operator, operator.Force)
	for _, e := range h.filter(Operator, operator.ReadBack) {
		f.Cases++
		checkOneReadBack(acknowledged, e, f)
	}
	for _, e := range acknowledged {
		if _, err := bundle.Parse(e.OperatorEntry.Bundle); err != nil {
			f.violate("the bundle in force is invalid", e)
		}
	}
}

func checkOneReadBack(acknowledged []Event, read Event, f *Finding) {
	entry := read.OperatorEntry
	for _, a := range acknowledged {
		signed := a.OperatorEntry
		switch {
		case a.At <= entry.Sent && signed.Version > entry.Version:
			f.violate("an older bundle was read back", a, read)
			return
		case signed.Version == entry.Version && signed.SHA != entry.SHA:
			f.violate("the bytes read back differ from those signed", a, read)
			return
		}
	}
}

// checkRollout checks that no node follows a version older than one acknowledged more than bundleGrace before, and that
// no node returns to an older version. Cases are the answers in which a node confirmed its version.
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
		entry := e.OperatorEntry
		for _, a := range acknowledged {
			if a.OperatorEntry.Version > entry.Version && entry.Sent-a.At > int64(bundleGrace) {
				f.violate("a node follows an old bundle", a, e)
				break
			}
		}
		if earlier := newest[entry.Node]; earlier.At <= entry.Sent && entry.Version < earlier.OperatorEntry.Version {
			f.violate("a node returned to an older bundle", earlier, e)
		} else if entry.Version > earlier.OperatorEntry.Version {
			newest[entry.Node] = e
		}
	}
	if unconfirmed > 0 {
		f.Note = fmt.Sprintf("%d times a node could not confirm its version", unconfirmed)
	}
}

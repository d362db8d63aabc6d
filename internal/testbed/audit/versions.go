package audit

import (
	"fmt"
	"math"
	"slices"

	"crosstide/internal/bundle"
	"crosstide/internal/state"
	"crosstide/internal/testbed/journal"
	"crosstide/internal/testbed/load"
	"crosstide/internal/testbed/operator"
)

// versionWindow is the time in which a version may have been in force: from the sending of the signature that put it there
// to the acknowledgement of the next one, with the grace.
type versionWindow struct {
	event    Event
	from, to int64
	bundle   state.Bundle
}

// versionWindows returns every version that was acknowledged as in force, the first one in front. blind is from when on an
// order without an answer may have put an unknown version in force, until the next acknowledgement.
func versionWindows(h History) (out []versionWindow, unknownVersions []window) {
	first, err := bundle.Parse([]byte(state.InitialBundle))
	if err != nil {
		return nil, nil // it is the store's own
	}
	out = append(out, versionWindow{from: math.MinInt64, to: math.MaxInt64, bundle: first})
	acked := h.filter(Operator, operator.Force)
	slices.SortStableFunc(acked, func(a, b Event) int { return int(a.OperatorEntry.Version) - int(b.OperatorEntry.Version) })
	for _, e := range acked {
		b, err := bundle.Parse(e.OperatorEntry.Bundle)
		if err != nil {
			continue // counted by readback: it is not what was signed
		}
		b.Version = e.OperatorEntry.Version
		out[len(out)-1].to = e.At + int64(bundleGrace)
		out = append(out, versionWindow{e, e.OperatorEntry.Sent, math.MaxInt64, b})
	}
	for _, e := range h.filter(Operator, operator.Unanswered) {
		w := window{e, e.OperatorEntry.Sent, math.MaxInt64}
		for _, r := range out {
			if r.bundle.Version > e.OperatorEntry.Version {
				w.to = min(w.to, r.to)
			}
		}
		if e.OperatorEntry.Version > 0 { // a signature; a draft changes nothing
			unknownVersions = append(unknownVersions, w)
		}
	}
	return out, unknownVersions
}

// placement policy: each start fits a version that may have been in force then.
func checkPlacementPolicy(h History, f *Finding) {
	if len(h.filter(Operator, operator.Force)) == 0 {
		f.Note = "labels; no bundle was changed"
		return
	}
	all, unknownVersions := versionWindows(h)
	teams, incarnations, unseen := map[string]string{}, map[[2]string]Event{}, 0
	for _, e := range h.filter(Client, load.Accepted) {
		teams[e.Job] = e.Team
	}
	for _, e := range h.filter(Worker, journal.NewIncarnation) {
		incarnations[[2]string{e.Worker, e.Incarnation}] = e
	}
	for _, e := range h.filter(Worker, journal.Start) {
		if e.Queue == "" {
			continue
		}
		if slices.ContainsFunc(unknownVersions, func(w window) bool { return e.At >= w.from && e.At <= w.to }) {
			unseen++
			continue
		}
		incarnation := incarnations[[2]string{e.Worker, e.Incarnation}]
		reason, last := "", Event{}
		for _, r := range all {
			if e.At < r.from || e.At > r.to {
				continue
			}
			if reason, last = placementViolation(r.bundle, e, incarnation, teams[e.Job], incarnations), r.event; reason == "" {
				break
			}
		}
		f.Cases++
		if reason != "" {
			f.violate(reason, last, e)
		}
	}
	f.Note = fmt.Sprintf("labels, and placement policies of %d versions", len(all))
	if unseen > 0 {
		f.Note += fmt.Sprintf("; %d starts not judged, the version was unsure", unseen)
	}
}

// placementViolation reports why a start is not within a bundle; "" if it is.
func placementViolation(b state.Bundle, e, incarnation Event, team string, incarnations map[[2]string]Event) string {
	q, ok := b.Queues[e.Queue]
	allows := func(list []string, name string) bool { return len(list) == 0 || slices.Contains(list, name) }
	switch {
	case !ok:
		return fmt.Sprintf("queue %s is not in bundle %d", e.Queue, b.Version)
	case !allows(q.Zones, e.Zone) || !allows(q.Racks, incarnation.Rack) || !allows(q.Workers, e.Worker):
		return fmt.Sprintf("outside of the placement policy of %s in bundle %d", e.Queue, b.Version)
	case !allows(q.Types, e.Type) || team != "" && !allows(q.Teams, team):
		return fmt.Sprintf("type or team may not use %s in bundle %d", e.Queue, b.Version)
	}
	for k, v := range q.Labels {
		if have, ok := incarnation.Labels[k]; !ok || have != v {
			return fmt.Sprintf("label %s of queue %s in bundle %d is not borne", k, e.Queue, b.Version)
		}
	}
	for _, n := range q.Near {
		found := false
		for _, other := range incarnations {
			found = found || other.Zone == e.Zone && (n.Scope == "zone" || other.Rack == incarnation.Rack) && other.Labels[n.Label] == n.Value
		}
		if !found {
			return fmt.Sprintf("%s=%s is not near in bundle %d", n.Label, n.Value, b.Version)
		}
	}
	return ""
}

// checkOperatorOrders: of orders on the same base one hears yes, and an order sent again is answered as before. Cases are
// bases that several orders were on, and orders that were answered more than once.
func checkOperatorOrders(h History, f *Finding) {
	type answer struct{ first, yes Event }
	bases, orders, raced, again := map[uint64][]Event{}, map[string]answer{}, map[uint64]map[string]bool{}, map[string]bool{}
	for _, e := range h.filter(Operator, operator.Put, operator.Sign) {
		if e.OperatorEntry.Event == operator.Put {
			if raced[e.OperatorEntry.Base] == nil {
				raced[e.OperatorEntry.Base] = map[string]bool{}
			}
			if raced[e.OperatorEntry.Base][e.OperatorEntry.Order] = true; e.OK {
				bases[e.OperatorEntry.Base] = append(bases[e.OperatorEntry.Base], e)
			}
		}
		old, checkKnown := orders[e.OperatorEntry.Order]
		if !checkKnown {
			old.first = e
		} else {
			again[e.OperatorEntry.Order] = true
		}
		switch {
		case old.yes.Event == "" && e.OK:
			old.yes = e
		case old.yes.Event != "" && !e.OK && e.OperatorEntry.Sent >= old.yes.At:
			f.violate("an order sent again was refused", old.yes, e)
		case old.yes.Event != "" && e.OK && (e.OperatorEntry.Version != old.yes.OperatorEntry.Version || e.OperatorEntry.SHA != old.yes.OperatorEntry.SHA):
			f.violate("an order sent again was answered otherwise", old.yes, e)
		}
		orders[e.OperatorEntry.Order] = old
	}
	for _, yes := range bases {
		for _, e := range yes[1:] {
			if e.OperatorEntry.Order != yes[0].OperatorEntry.Order {
				f.violate("two orders on one base heard yes", yes[0], e)
			}
		}
	}
	for _, ids := range raced {
		if len(ids) > 1 {
			f.Cases++
		}
	}
	f.Cases += len(again)
}

// checkReadBack: what is read as in force is not older than what was acknowledged before the call, and its bytes have
// the digest that was signed. Cases are the reads.
func checkReadBack(h History, f *Finding) {
	acked := h.filter(Operator, operator.Force)
	for _, e := range h.filter(Operator, operator.ReadBack) {
		f.Cases++
		for _, a := range acked {
			switch {
			case a.At <= e.OperatorEntry.Sent && a.OperatorEntry.Version > e.OperatorEntry.Version:
				f.violate("an older bundle was read back", a, e)
			case a.OperatorEntry.Version == e.OperatorEntry.Version && a.OperatorEntry.SHA != e.OperatorEntry.SHA:
				f.violate("other bytes were read back than were signed", a, e)
			default:
				continue
			}
			break
		}
	}
	for _, e := range acked {
		if _, err := bundle.Parse(e.OperatorEntry.Bundle); err != nil {
			f.violate("what is in force is no bundle", e)
		}
	}
}

// checkRollout: no node goes by a version older than one acknowledged longer than the grace ago, none goes back. Cases
// are the times a node was asked.
func checkRollout(h History, f *Finding) {
	acked := h.filter(Operator, operator.Force)
	top := map[string]Event{}
	unconfirmed := 0
	for _, e := range h.filter(Operator, operator.NodeVersion) {
		if !e.OK {
			unconfirmed++
			continue
		}
		f.Cases++
		for _, a := range acked {
			if a.OperatorEntry.Version > e.OperatorEntry.Version && e.OperatorEntry.Sent-a.At > int64(bundleGrace) {
				f.violate("a node goes by an old bundle", a, e)
				break
			}
		}
		if old := top[e.OperatorEntry.Node]; old.At <= e.OperatorEntry.Sent && e.OperatorEntry.Version < old.OperatorEntry.Version {
			f.violate("a node went back", old, e)
		} else if e.OperatorEntry.Version > old.OperatorEntry.Version {
			top[e.OperatorEntry.Node] = e
		}
	}
	if unconfirmed > 0 {
		f.Note = fmt.Sprintf("%d times a node could not confirm its version", unconfirmed)
	}
}

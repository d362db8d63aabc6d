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

// reign is the time in which a version may have been in force: from the sending of the signature that put it there
// to the acknowledgement of the next one, with the grace.
type reign struct {
	event    Event
	from, to int64
	bundle   state.Bundle
}

// reigns returns every version that was acknowledged as in force, the first one in front. blind is from when on an
// order without an answer may have put an unknown version in force, until the next acknowledgement.
func reigns(h History) (out []reign, blind []window) {
	first, err := bundle.Parse([]byte(state.InitialBundle))
	if err != nil {
		return nil, nil // it is the store's own
	}
	out = append(out, reign{from: math.MinInt64, to: math.MaxInt64, bundle: first})
	acked := h.by(Operator, operator.Force)
	slices.SortStableFunc(acked, func(a, b Event) int { return int(a.Op.Version) - int(b.Op.Version) })
	for _, e := range acked {
		b, err := bundle.Parse(e.Op.Bundle)
		if err != nil {
			continue // counted by readback: it is not what was signed
		}
		b.Version = e.Op.Version
		out[len(out)-1].to = e.At + int64(bundleGrace)
		out = append(out, reign{e, e.Op.Sent, math.MaxInt64, b})
	}
	for _, e := range h.by(Operator, operator.Unsure) {
		w := window{e, e.Op.Sent, math.MaxInt64}
		for _, r := range out {
			if r.bundle.Version > e.Op.Version {
				w.to = min(w.to, r.to)
			}
		}
		if e.Op.Version > 0 { // a signature; a draft changes nothing
			blind = append(blind, w)
		}
	}
	return out, blind
}

// placement policy: each start fits a version that may have been in force then.
func policy(h History, f *Finding) {
	if len(h.by(Operator, operator.Force)) == 0 {
		f.Note = "labels; no bundle was changed"
		return
	}
	all, blind := reigns(h)
	teams, boots, unseen := map[string]string{}, map[[2]string]Event{}, 0
	for _, e := range h.by(Client, load.Accepted) {
		teams[e.Job] = e.Team
	}
	for _, e := range h.by(Minion, journal.Boot) {
		boots[[2]string{e.Minion, e.Boot}] = e
	}
	for _, e := range h.by(Minion, journal.Start) {
		if e.Queue == "" {
			continue
		}
		if slices.ContainsFunc(blind, func(w window) bool { return e.At >= w.from && e.At <= w.to }) {
			unseen++
			continue
		}
		boot := boots[[2]string{e.Minion, e.Boot}]
		why, last := "", Event{}
		for _, r := range all {
			if e.At < r.from || e.At > r.to {
				continue
			}
			if why, last = misfit(r.bundle, e, boot, teams[e.Job], boots), r.event; why == "" {
				break
			}
		}
		f.Cases++
		if why != "" {
			f.broken(why, last, e)
		}
	}
	f.Note = fmt.Sprintf("labels, and placement policies of %d versions", len(all))
	if unseen > 0 {
		f.Note += fmt.Sprintf("; %d starts not judged, the version was unsure", unseen)
	}
}

// misfit reports why a start is not within a bundle; "" if it is.
func misfit(b state.Bundle, e, boot Event, team string, boots map[[2]string]Event) string {
	q, ok := b.Queues[e.Queue]
	allows := func(list []string, name string) bool { return len(list) == 0 || slices.Contains(list, name) }
	switch {
	case !ok:
		return fmt.Sprintf("queue %s is not in bundle %d", e.Queue, b.Version)
	case !allows(q.Zones, e.Zone) || !allows(q.Racks, boot.Rack) || !allows(q.Workers, e.Minion):
		return fmt.Sprintf("outside of the placement policy of %s in bundle %d", e.Queue, b.Version)
	case !allows(q.Types, e.Type) || team != "" && !allows(q.Teams, team):
		return fmt.Sprintf("type or team may not use %s in bundle %d", e.Queue, b.Version)
	}
	for k, v := range q.Labels {
		if have, ok := boot.Labels[k]; !ok || have != v {
			return fmt.Sprintf("label %s of queue %s in bundle %d is not borne", k, e.Queue, b.Version)
		}
	}
	for _, n := range q.Near {
		found := false
		for _, other := range boots {
			found = found || other.Zone == e.Zone && (n.Scope == "zone" || other.Rack == boot.Rack) && other.Labels[n.Label] == n.Value
		}
		if !found {
			return fmt.Sprintf("%s=%s is not near in bundle %d", n.Label, n.Value, b.Version)
		}
	}
	return ""
}

// operators: of orders on the same base one hears yes, and an order sent again is answered as before. Cases are
// bases that several orders were on, and orders that were answered more than once.
func operators(h History, f *Finding) {
	type answer struct{ first, yes Event }
	bases, orders, raced, again := map[uint64][]Event{}, map[string]answer{}, map[uint64]map[string]bool{}, map[string]bool{}
	for _, e := range h.by(Operator, operator.Put, operator.Sign) {
		if e.Op.Ev == operator.Put {
			if raced[e.Op.Base] == nil {
				raced[e.Op.Base] = map[string]bool{}
			}
			if raced[e.Op.Base][e.Op.Order] = true; e.OK {
				bases[e.Op.Base] = append(bases[e.Op.Base], e)
			}
		}
		old, known := orders[e.Op.Order]
		if !known {
			old.first = e
		} else {
			again[e.Op.Order] = true
		}
		switch {
		case old.yes.Ev == "" && e.OK:
			old.yes = e
		case old.yes.Ev != "" && !e.OK && e.Op.Sent >= old.yes.At:
			f.broken("an order sent again was refused", old.yes, e)
		case old.yes.Ev != "" && e.OK && (e.Op.Version != old.yes.Op.Version || e.Op.SHA != old.yes.Op.SHA):
			f.broken("an order sent again was answered otherwise", old.yes, e)
		}
		orders[e.Op.Order] = old
	}
	for _, yes := range bases {
		for _, e := range yes[1:] {
			if e.Op.Order != yes[0].Op.Order {
				f.broken("two orders on one base heard yes", yes[0], e)
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

// readback: what is read as in force is not older than what was acknowledged before the call, and its bytes have
// the digest that was signed. Cases are the reads.
func readback(h History, f *Finding) {
	acked := h.by(Operator, operator.Force)
	for _, e := range h.by(Operator, operator.Read) {
		f.Cases++
		for _, a := range acked {
			switch {
			case a.At <= e.Op.Sent && a.Op.Version > e.Op.Version:
				f.broken("an older bundle was read back", a, e)
			case a.Op.Version == e.Op.Version && a.Op.SHA != e.Op.SHA:
				f.broken("other bytes were read back than were signed", a, e)
			default:
				continue
			}
			break
		}
	}
	for _, e := range acked {
		if _, err := bundle.Parse(e.Op.Bundle); err != nil {
			f.broken("what is in force is no bundle", e)
		}
	}
}

// followed: no node goes by a version older than one acknowledged longer than the grace ago, none goes back. Cases
// are the times a node was asked.
func followed(h History, f *Finding) {
	acked := h.by(Operator, operator.Force)
	top := map[string]Event{}
	mute := 0
	for _, e := range h.by(Operator, operator.Has) {
		if !e.OK {
			mute++
			continue
		}
		f.Cases++
		for _, a := range acked {
			if a.Op.Version > e.Op.Version && e.Op.Sent-a.At > int64(bundleGrace) {
				f.broken("a node goes by an old bundle", a, e)
				break
			}
		}
		if old := top[e.Op.Node]; old.At <= e.Op.Sent && e.Op.Version < old.Op.Version {
			f.broken("a node went back", old, e)
		} else if e.Op.Version > old.Op.Version {
			top[e.Op.Node] = e
		}
	}
	if mute > 0 {
		f.Note = fmt.Sprintf("%d times a node could not confirm its version", mute)
	}
}

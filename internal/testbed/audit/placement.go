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

// checkPlacement checks that a run's worker has the requested labels, and that the start is within the placement policy
// of its queue. The labels are those of the accepted job, or of the start order if no acceptance was journaled.
func checkPlacement(h History, f *Finding) {
	requested := map[[2]string]map[string]string{} // labels by job and step
	for _, e := range h.filter(Client, load.Accepted) {
		for _, s := range e.Steps {
			requested[[2]string{e.Job, s.Name}] = s.Labels
		}
	}
	for _, events := range h.byWorker() {
		var worker Event // the start of its current incarnation
		for _, e := range events {
			switch e.Event {
			case journal.NewIncarnation:
				worker = e
			case journal.Start:
				labels, isAccepted := requested[[2]string{e.Job, e.Step}]
				if !isAccepted {
					labels = e.Labels
				}
				checkLabels(worker, e, labels, f)
			}
		}
	}
	checkPlacementPolicy(h, f)
}

func checkLabels(worker, start Event, labels map[string]string, f *Finding) {
	if len(labels) > 0 {
		f.Cases++
	}
	for key, value := range labels {
		if has, ok := worker.Labels[key]; !ok || has != value {
			f.violate("label "+key+" is missing on the minion", worker, start)
			return
		}
	}
}

// versionWindow is the period in which a version may have been in force: from when the signature that put it in force
// was sent until bundleGrace after the acknowledgement of the next version.
type versionWindow struct {
	window
	bundle state.Bundle
}

// versionWindows returns the initial version and every version that was acknowledged as in force, sorted by version.
func versionWindows(h History) []versionWindow {
	initial, err := bundle.Parse([]byte(state.InitialBundle))
	if err != nil {
		return nil // cannot happen: the text is built in
	}
	versions := []versionWindow{{window{from: math.MinInt64, to: math.MaxInt64}, initial}}
	acknowledged := h.filter(Operator, operator.Force)
	slices.SortStableFunc(acknowledged, func(a, b Event) int {
		return int(a.OperatorEntry.Version) - int(b.OperatorEntry.Version)
	})
	for _, e := range acknowledged {
		b, err := bundle.Parse(e.OperatorEntry.Bundle)
		if err != nil {
			continue // reported by checkReadBack
		}
		b.Version = e.OperatorEntry.Version
		versions[len(versions)-1].to = e.At + int64(bundleGrace)
		versions = append(versions, versionWindow{window{e, e.OperatorEntry.Sent, math.MaxInt64}, b})
	}
	return versions
}

// unknownVersions returns, for each signature that got no answer, the period in which the signed version may have been
// in force. The period ends with the earliest end of the window of a newer version in known.
func unknownVersions(h History, known []versionWindow) []window {
	var unknown []window
	for _, e := range h.filter(Operator, operator.Unanswered) {
		if e.OperatorEntry.Version == 0 {
			continue // a draft puts no version in force
		}
		w := window{e, e.OperatorEntry.Sent, math.MaxInt64}
		for _, v := range known {
			if v.bundle.Version > e.OperatorEntry.Version {
				w.to = min(w.to, v.to)
			}
		}
		unknown = append(unknown, w)
	}
	return unknown
}

// placementChecker checks starts against the versions that may have been in force.
type placementChecker struct {
	versions []versionWindow
	teams    map[string]string     // of accepted jobs
	workers  map[incarnation]Event // the worker's own report at the start of the incarnation
}

// checkPlacementPolicy checks that each start is allowed by a bundle version that may have been in force at its time.
func checkPlacementPolicy(h History, f *Finding) {
	if len(h.filter(Operator, operator.Force)) == 0 {
		f.Note = "labels only; no bundle was changed"
		return
	}
	c := placementChecker{versions: versionWindows(h), teams: map[string]string{}, workers: map[incarnation]Event{}}
	for _, e := range h.filter(Client, load.Accepted) {
		c.teams[e.Job] = e.Team
	}
	for _, e := range h.filter(Worker, journal.NewIncarnation) {
		c.workers[e.incarnation()] = e
	}
	unknown, unchecked := unknownVersions(h, c.versions), 0
	for _, e := range h.filter(Worker, journal.Start) {
		if e.Queue == "" {
			continue
		}
		if slices.ContainsFunc(unknown, func(w window) bool { return w.contains(e.At) }) {
			unchecked++
			continue
		}
		f.Cases++
		if reason, last := c.violation(e); reason != "" {
			f.violate(reason, last, e)
		}
	}
	f.Note = fmt.Sprintf("labels, and placement policies of %d versions", len(c.versions))
	if unchecked > 0 {
		f.Note += fmt.Sprintf("; %d starts not checked, the version in force was unknown", unchecked)
	}
}

// violation returns why none of the versions that may have been in force allows a start, and the event that put the
// last of them in force. The reason is "" if one of them allows it.
func (c placementChecker) violation(start Event) (reason string, last Event) {
	for _, v := range c.versions {
		if !v.contains(start.At) {
			continue
		}
		reason, last = c.refusal(v.bundle, start), v.event
		if reason == "" {
			return "", last
		}
	}
	return reason, last
}

// refusal returns why a bundle does not allow a start, or "" if it does.
func (c placementChecker) refusal(b state.Bundle, start Event) string {
	worker, team := c.workers[start.incarnation()], c.teams[start.Job]
	q, ok := b.Queues[start.Queue]
	allows := func(names []string, name string) bool { return len(names) == 0 || slices.Contains(names, name) }
	switch {
	case !ok:
		return fmt.Sprintf("queue %s is not in bundle %d", start.Queue, b.Version)
	case !allows(q.Zones, start.Zone) || !allows(q.Racks, worker.Rack) || !allows(q.Workers, start.Worker):
		return fmt.Sprintf("outside the placement policy of queue %s in bundle %d", start.Queue, b.Version)
	case !allows(q.Types, start.Type) || team != "" && !allows(q.Teams, team):
		return fmt.Sprintf("type or team not allowed in queue %s of bundle %d", start.Queue, b.Version)
	}
	for key, value := range q.Labels {
		if has, ok := worker.Labels[key]; !ok || has != value {
			return fmt.Sprintf("label %s of queue %s in bundle %d is missing on the minion", key, start.Queue,
				b.Version)
		}
	}
	for _, near := range q.Near {
		isNear := false
		for _, other := range c.workers {
			isInScope := other.Zone == start.Zone && (near.Scope == "zone" || other.Rack == worker.Rack)
			isNear = isNear || isInScope && other.Labels[near.Label] == near.Value
		}
		if !isNear {
			return fmt.Sprintf("no minion with label %s=%s within the scope of bundle %d", near.Label, near.Value,
				b.Version)
		}
	}
	return ""
}

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

// checkPlacement checks that a run's worker has the labels that the client asked for (by the accepted job, else by the
// order), and that the start is within the placement policy of its queue.
func checkPlacement(h History, f *Finding) {
	asked := map[[2]string]map[string]string{} // by job and step
	for _, e := range h.filter(Client, load.Accepted) {
		for _, s := range e.Steps {
			asked[[2]string{e.Job, s.Name}] = s.Labels
		}
	}
	for _, events := range h.byWorker() {
		var worker Event // its present incarnation
		for _, e := range events {
			switch e.Event {
			case journal.NewIncarnation:
				worker = e
			case journal.Start:
				labels, isAsked := asked[[2]string{e.Job, e.Step}]
				if !isAsked {
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
			f.violate("label "+key+" is not borne", worker, start)
			return
		}
	}
}

// versionWindow is the time in which a version may have been in force: from the sending of the signature that put it
// in force to the acknowledgement of the next one, with the grace.
type versionWindow struct {
	window
	bundle state.Bundle
}

// versionWindows returns every version that was acknowledged as in force, the initial one in front.
func versionWindows(h History) []versionWindow {
	initial, err := bundle.Parse([]byte(state.InitialBundle))
	if err != nil {
		return nil // it is the store's own
	}
	versions := []versionWindow{{window{from: math.MinInt64, to: math.MaxInt64}, initial}}
	acknowledged := h.filter(Operator, operator.Force)
	slices.SortStableFunc(acknowledged, func(a, b Event) int {
		return int(a.OperatorEntry.Version) - int(b.OperatorEntry.Version)
	})
	for _, e := range acknowledged {
		b, err := bundle.Parse(e.OperatorEntry.Bundle)
		if err != nil {
			continue // found by checkReadBack: it is not what was signed
		}
		b.Version = e.OperatorEntry.Version
		versions[len(versions)-1].to = e.At + int64(bundleGrace)
		versions = append(versions, versionWindow{window{e, e.OperatorEntry.Sent, math.MaxInt64}, b})
	}
	return versions
}

// unknownVersions returns the times in which a signature without an answer may have put an unknown version in force:
// until the next version was acknowledged.
func unknownVersions(h History, known []versionWindow) []window {
	var unknown []window
	for _, e := range h.filter(Operator, operator.Unanswered) {
		if e.OperatorEntry.Version == 0 {
			continue // a draft, which changes nothing
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

// placementChecker judges starts by the versions that may have been in force.
type placementChecker struct {
	versions []versionWindow
	teams    map[string]string     // of accepted jobs
	workers  map[incarnation]Event // as they reported themselves
}

// checkPlacementPolicy checks that each start fits a bundle version that may have been in force then.
func checkPlacementPolicy(h History, f *Finding) {
	if len(h.filter(Operator, operator.Force)) == 0 {
		f.Note = "labels; no bundle was changed"
		return
	}
	c := placementChecker{versions: versionWindows(h), teams: map[string]string{}, workers: map[incarnation]Event{}}
	for _, e := range h.filter(Client, load.Accepted) {
		c.teams[e.Job] = e.Team
	}
	for _, e := range h.filter(Worker, journal.NewIncarnation) {
		c.workers[e.incarnation()] = e
	}
	unknown, notJudged := unknownVersions(h, c.versions), 0
	for _, e := range h.filter(Worker, journal.Start) {
		if e.Queue == "" {
			continue
		}
		if slices.ContainsFunc(unknown, func(w window) bool { return w.contains(e.At) }) {
			notJudged++
			continue
		}
		f.Cases++
		if reason, last := c.violation(e); reason != "" {
			f.violate(reason, last, e)
		}
	}
	f.Note = fmt.Sprintf("labels, and placement policies of %d versions", len(c.versions))
	if notJudged > 0 {
		f.Note += fmt.Sprintf("; %d starts not judged, the version was unsure", notJudged)
	}
}

// violation returns why a start fits none of the versions that may have been in force, and the event that put the last
// of them in force. The reason is "" if the start fits one.
func (c placementChecker) violation(start Event) (reason string, last Event) {
	for _, v := range c.versions {
		if !v.contains(start.At) {
			continue
		}
		reason, last = c.misfit(v.bundle, start), v.event
		if reason == "" {
			return "", last
		}
	}
	return reason, last
}

// misfit returns why a bundle does not allow a start, and "" if it does.
func (c placementChecker) misfit(b state.Bundle, start Event) string {
	worker, team := c.workers[start.incarnation()], c.teams[start.Job]
	q, ok := b.Queues[start.Queue]
	allows := func(list []string, name string) bool { return len(list) == 0 || slices.Contains(list, name) }
	switch {
	case !ok:
		return fmt.Sprintf("queue %s is not in bundle %d", start.Queue, b.Version)
	case !allows(q.Zones, start.Zone) || !allows(q.Racks, worker.Rack) || !allows(q.Workers, start.Worker):
		return fmt.Sprintf("outside of the placement policy of %s in bundle %d", start.Queue, b.Version)
	case !allows(q.Types, start.Type) || team != "" && !allows(q.Teams, team):
		return fmt.Sprintf("type or team may not use %s in bundle %d", start.Queue, b.Version)
	}
	for key, value := range q.Labels {
		if has, ok := worker.Labels[key]; !ok || has != value {
			return fmt.Sprintf("label %s of queue %s in bundle %d is not borne", key, start.Queue, b.Version)
		}
	}
	for _, near := range q.Near {
		isNear := false
		for _, other := range c.workers {
			isInScope := other.Zone == start.Zone && (near.Scope == "zone" || other.Rack == worker.Rack)
			isNear = isNear || isInScope && other.Labels[near.Label] == near.Value
		}
		if !isNear {
			return fmt.Sprintf("%s=%s is not near in bundle %d", near.Label, near.Value, b.Version)
		}
	}
	return ""
}

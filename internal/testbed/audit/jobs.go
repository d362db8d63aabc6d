package audit

import (
	"fmt"

	"crosstide/internal/state"
	"crosstide/internal/testbed/journal"
	"crosstide/internal/testbed/load"
)

// acceptedJobs returns the first acceptance of every job, by the job's key.
func acceptedJobs(h History) map[string]Event {
	return firstByJob(h.filter(Client, load.Accepted))
}

// firstByJob returns the first event of every job, by the job's key. events must be sorted by time.
func firstByJob(events []Event) map[string]Event {
	first := map[string]Event{}
	for _, e := range events {
		if _, ok := first[e.Job]; !ok {
			first[e.Job] = e
		}
	}
	return first
}

// checkCancel checks that no run of a job starts more than cancelGrace after the job's cancel was acknowledged. Cases
// are the cancelled jobs.
func checkCancel(h History, f *Finding) {
	cancelled := firstByJob(h.filter(Client, load.Cancelled))
	f.Cases = len(cancelled)
	for _, e := range h.filter(Worker, journal.Start) {
		if c, ok := cancelled[e.Job]; ok && e.since(c.At) > cancelGrace {
			f.violate("started after the cancel of its job", c, e)
		}
	}
}

// checkKnown checks that no poll of an accepted job is answered 404 more than knownGrace after the acceptance. Cases
// are the accepted jobs that were polled.
func checkKnown(h History, f *Finding) {
	accepted, polled, early := acceptedJobs(h), map[string]bool{}, 0
	for _, e := range h.filter(Client, load.Poll) {
		a, ok := accepted[e.Job]
		if !ok {
			continue
		}
		polled[e.Job] = true
		switch {
		case e.State != load.Missing:
		case e.since(a.At) > knownGrace:
			f.violate("answered 404 after it was accepted", a, e)
		case e.At >= a.At:
			early++
		}
	}
	f.Cases = len(polled)
	if early > 0 {
		f.Note = fmt.Sprintf("%d polls were answered 404 within the grace", early)
	}
}

// checkDone checks that every task of a job has succeeded before a poll reports the job as done. Cases are the jobs
// reported as done.
func checkDone(h History, f *Finding) {
	accepted, succeeded, checked := acceptedJobs(h), successfulEnds(h), map[string]bool{}
	for _, e := range h.filter(Client, load.Poll) {
		a, ok := accepted[e.Job]
		if !ok || e.State != string(state.JobDone) || checked[e.Job] {
			continue
		}
		checked[e.Job] = true
		f.Cases++
		for _, s := range a.Steps {
			for n := range s.Tasks {
				if end, ok := succeeded[task{e.Job, s.Name, n}]; !ok || end.At > e.At {
					f.violate(fmt.Sprintf("reported as done before step %s task %d succeeded", s.Name, n), a, e)
				}
			}
		}
	}
}

// checkRepair checks that no accepted job is lost when the data of a node is wiped and another node of the same role is
// killed later. Cases are the wipes that are followed by such a kill and then by a poll.
func checkRepair(h History, f *Finding) {
	polls, accepted := h.filter(Client, load.Poll), acceptedJobs(h)
	for _, wipe := range h.filter(Testbed, Wipe) {
		kill, ok := secondLoss(h, wipe)
		if !ok {
			continue
		}
		isPolled := false
		for _, p := range polls {
			a, ok := accepted[p.Job]
			if !ok || a.At > kill.At || p.At < kill.At {
				continue
			}
			isPolled = true
			if p.State == load.Missing && p.since(a.At) > knownGrace {
				f.violate("answered 404 after a repair and the loss of a second node", wipe, kill, a, p)
			}
		}
		if isPolled {
			f.Cases++
		}
	}
}

// secondLoss returns the first kill after wipe of another node of the same role, if there is one. The first letter of a
// node's name is its role.
func secondLoss(h History, wipe Event) (Event, bool) {
	for _, kill := range h.filter(Testbed, Kill) {
		if kill.Node != wipe.Node && kill.At >= wipe.At && kill.Node != "" && kill.Node[0] == wipe.Node[0] {
			return kill, true
		}
	}
	return Event{}, false
}

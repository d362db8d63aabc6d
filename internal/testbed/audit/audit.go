// Package audit checks the promises of crosstide against what the minions, clients and operators of a rehearsal
// witnessed. It trusts no daemon: its checks are pure functions over a History of journal lines, to which Probe
// may add what the public API tells at the end.
package audit

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/testbed/journal"
	"crosstide/internal/testbed/load"
	"crosstide/internal/testbed/operator"
)

// What the audit grants, as the promises have it.
const (
	cancelGrace   = 3 * time.Second // from a cancel's yes to the last start of its job
	knownGrace    = 3 * time.Second // from a job's yes until no node may call it unknown
	drainGrace    = 2 * time.Second // from a drain to the end of the last run on its minion
	bundleGrace   = 2 * time.Second // from a bundle's acknowledgement to the last start under an older one
	evacuateGrace = 5 * time.Second // from an evacuation's yes to the end of the last run in its zone
)

// Event kinds of operators' and the drill's own journals.
const (
	Evacuate = "evacuate" // operator: zone Zone was acknowledged as evacuated
	Lift     = "lift"     // operator: the evacuation of Zone is being lifted
	Drain    = "drain"    // operator: the drain of minion Node was acknowledged
	Undrain  = "undrain"  // operator: the drain of minion Node is being lifted
	Kill     = "kill"     // drill: process Node got a signal to end
	Freeze   = "freeze"   // drill: process Node is being frozen
	Wipe     = "wipe"     // drill: the data of Node were removed
)

// Source says whose journal a line is of.
type Source string

// Sources, by the names of the journals: client-*, operator-*, drill-*; any other is a minion's.
const (
	Worker   Source = "minion"
	Client   Source = "consumer"
	Operator Source = "operator"
	Testbed  Source = "drill"
)

// Event is one line of any journal.
type Event struct {
	journal.Entry
	State         string
	Node          string
	Team          string
	Steps         []load.Step
	OperatorEntry operator.Entry // of an operator's line

	Source Source
	File   string
	Line   int
	Raw    string
}

// String is where the line stands, and the line.
func (e Event) String() string { return fmt.Sprintf("%s:%d %s", e.File, e.Line, e.Raw) }

// since reports how long after at e is.
func (e Event) since(at int64) time.Duration { return time.Duration(e.At - at) }

// task names a task for good.
type task struct {
	job, step string
	index     int
}

func (e Event) task() task { return task{e.Job, e.Step, e.Task} }

// History is all lines: those of each file in order of writing.
type History struct{ Events []Event }

// filter returns the events of a source in order of time; equal times keep the order of the files.
func (h History) filter(from Source, evs ...string) []Event {
	var out []Event
	for _, e := range h.Events {
		if e.Source == from && (len(evs) == 0 || slices.Contains(evs, e.Event)) {
			out = append(out, e)
		}
	}
	slices.SortStableFunc(out, func(a, b Event) int { return int(min(max(a.At-b.At, -1), 1)) })
	return out
}

// byWorker returns each minion's events in order of writing.
func (h History) byWorker() map[string][]Event {
	out := map[string][]Event{}
	for _, e := range h.Events {
		if e.Source == Worker {
			out[e.Worker] = append(out[e.Worker], e)
		}
	}
	return out
}

// Read reads the journals of dir. A damaged line is a fault: half a witness proves nothing. Faults: Disk, Damaged,
// Unknown (no line at all).
func Read(dir string) (History, error) {
	var h History
	for line, err := range journal.Lines(dir) {
		if err != nil {
			return h, errs.Pass(err, "audit")
		}
		e, err := Parse(line)
		if err != nil {
			return h, errs.Pass(err, "audit")
		}
		h.Events = append(h.Events, e)
	}
	if len(h.Events) == 0 {
		return h, errs.New(errs.Unknown, "%s holds no journals", dir)
	}
	return h, nil
}

// Parse reads one line of any journal. Failure: Damaged.
func Parse(line journal.Line) (Event, error) {
	var own struct {
		State string
		Node  string
		Team  string
		Steps []load.Step
	}
	e := Event{Source: Worker, File: line.File, Line: line.Number, Raw: string(line.Raw)}
	for _, from := range []Source{Client, Operator, Testbed} {
		if strings.HasPrefix(line.File, string(from)+"-") {
			e.Source = from
		}
	}
	if err := json.Unmarshal(line.Raw, &e.Entry); err != nil {
		return e, errs.Wrap(err, errs.Damaged, "journal %s line %d", line.File, line.Number)
	}
	if err := json.Unmarshal(line.Raw, &own); err != nil {
		return e, errs.Wrap(err, errs.Damaged, "journal %s line %d", line.File, line.Number)
	}
	e.State, e.Node, e.Team, e.Steps = own.State, own.Node, own.Team, own.Steps
	if e.Source == Operator {
		if err := json.Unmarshal(line.Raw, &e.OperatorEntry); err != nil {
			return e, errs.Wrap(err, errs.Damaged, "journal %s line %d", line.File, line.Number)
		}
	}
	return e, nil
}

// Verdict on a promise.
const (
	Satisfied    = "held"
	Violated     = "broken"
	NotExercised = "not exercised"
)

// Finding is what the audit says of one promise.
type Finding struct {
	Invariant string   `json:"promise"`
	Verdict   string   `json:"verdict"`
	Cases     int      `json:"cases"`
	Note      string   `json:"note,omitempty"`
	Lines     []string `json:"lines,omitempty"` // the offending ones
}

func (f *Finding) violate(what string, lines ...Event) {
	s := what
	for _, e := range lines {
		s += "\n      " + e.String()
	}
	f.Lines = append(f.Lines, s)
}

// checks are the promises that can be judged, in the order of the design's table. A nil check has no witness yet.
var checks = []struct {
	invariant    string
	check        func(h History, f *Finding)
	notCheckable string // why there is no witness
}{
	{"once", checkSingleRun, ""},
	{"ticket-newer", checkRunIDsIncrease, ""},
	{"fence", checkFencing, ""},
	{"durable", nil, "the journals cannot tell a ticket that was not durable"},
	{"idle", nil, "no journal tells what was due"},
	{"place", checkPlacement, ""},
	{"drain", checkDrain, ""},
	{"evacuate", checkEvacuation, ""},
	{"cancel", checkCancel, ""},
	{"known", checkKnown, ""},
	{"done", checkDone, ""},
	{"operators", checkOperatorOrders, ""},
	{"bundle", checkRollout, ""},
	{"readback", checkReadBack, ""},
	{"repair", checkRepair, ""},
}

// Check judges every promise. Example:
//
//	history, err := audit.Read(dir)
//	findings := audit.Check(history)
//	if !audit.NoneViolated(findings) { … }
func Check(h History) []Finding {
	out := make([]Finding, 0, len(checks))
	for _, c := range checks {
		f := Finding{Invariant: c.invariant, Note: c.notCheckable}
		if c.check != nil {
			c.check(h, &f)
		}
		switch {
		case len(f.Lines) > 0:
			f.Verdict = Violated
		case f.Cases > 0:
			f.Verdict = Satisfied
		default:
			f.Verdict = NotExercised
		}
		out = append(out, f)
	}
	return out
}

// NoneViolated reports whether nothing is broken.
func NoneViolated(findings []Finding) bool {
	return !slices.ContainsFunc(findings, func(f Finding) bool { return f.Verdict == Violated })
}

// WriteReport writes one line per promise, and below a broken one the lines that break it, at most shown of them.
func WriteReport(w io.Writer, findings []Finding, shown int) error {
	for _, f := range findings {
		s := fmt.Sprintf("%-13s%s", f.Invariant, f.Verdict)
		if f.Verdict != NotExercised {
			s += fmt.Sprintf(" %d cases", f.Cases)
		}
		if f.Note != "" {
			s += " (" + f.Note + ")"
		}
		for i, line := range f.Lines {
			if i == shown {
				s += fmt.Sprintf("\n    and %d more", len(f.Lines)-shown)
				break
			}
			s += "\n    " + line
		}
		if _, err := fmt.Fprintln(w, s); err != nil {
			return errs.Wrap(err, errs.Disk, "print the audit")
		}
	}
	return nil
}

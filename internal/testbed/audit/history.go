package audit

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/testbed/journal"
	"crosstide/internal/testbed/load"
	"crosstide/internal/testbed/operator"
)

// Events in the journals of operators and of the testbed.
const (
	Evacuate = "evacuate" // operator: zone Zone was acknowledged as evacuated
	Lift     = "lift"     // operator: the evacuation of Zone is about to be lifted
	Drain    = "drain"    // operator: the drain of worker Node was acknowledged
	Undrain  = "undrain"  // operator: the drain of worker Node is about to be lifted
	Kill     = "kill"     // testbed: process Node is about to get a signal to end
	Freeze   = "freeze"   // testbed: process Node is about to be frozen
	Wipe     = "wipe"     // testbed: the data of Node was removed
)

// Source is the kind of process that wrote a line.
type Source string

// Sources. The value is the prefix of the journal's file name; a file with none of the other prefixes is a worker's.
const (
	Worker   Source = "minion"
	Client   Source = "consumer"
	Operator Source = "operator"
	Testbed  Source = "drill"
)

// Event is one line of any journal. Which fields are set depends on its Source.
type Event struct {
	journal.Entry // At and Event are set for every line, other fields if the line has their key
	State         string
	Node          string
	Team          string
	Steps         []load.Step
	OperatorEntry operator.Entry // set if Source is Operator

	Source Source
	File   string // base name of the journal
	Line   int    // from 1
	Raw    string
}

// String returns the file, the number and the text of the line.
func (e Event) String() string { return fmt.Sprintf("%s:%d %s", e.File, e.Line, e.Raw) }

// since returns the time from at (Unix ns) to e.
func (e Event) since(at int64) time.Duration { return time.Duration(e.At - at) }

// task identifies a task across all its runs.
type task struct {
	job, step string
	index     int
}

func (e Event) task() task { return task{e.Job, e.Step, e.Task} }

// incarnation identifies one incarnation of a worker.
type incarnation struct{ worker, id string }

func (e Event) incarnation() incarnation { return incarnation{e.Worker, e.Incarnation} }

// History holds the lines of all journals. The lines of one file are in the order in which they were written.
type History struct{ Events []Event }

// filter returns the events of a source that have one of the kinds, or all its events if kinds is empty. It sorts them
// by time; events with the same time keep their order.
func (h History) filter(source Source, kinds ...string) []Event {
	var matching []Event
	for _, e := range h.Events {
		if e.Source == source && (len(kinds) == 0 || slices.Contains(kinds, e.Event)) {
			matching = append(matching, e)
		}
	}
	slices.SortStableFunc(matching, byTime)
	return matching
}

// byTime compares events by their time, for sorting.
func byTime(a, b Event) int { return cmp.Compare(a.At, b.At) }

// byWorker returns each worker's events in the order in which they were written.
func (h History) byWorker() map[string][]Event {
	byWorker := map[string][]Event{}
	for _, e := range h.Events {
		if e.Source == Worker {
			byWorker[e.Worker] = append(byWorker[e.Worker], e)
		}
	}
	return byWorker
}

// Read reads the journals of dir. It fails on a damaged line, because a partial journal proves nothing. Failures: Disk,
// Damaged, Unknown (the journals have no lines).
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
		return h, errs.New(errs.Unknown, "no journal lines in %s", dir)
	}
	return h, nil
}

// Parse reads one line of any journal. Failure: Damaged.
func Parse(line journal.Line) (Event, error) {
	var extra struct {
		State string
		Node  string
		Team  string
		Steps []load.Step
	}
	e := Event{Source: Worker, File: line.File, Line: line.Number, Raw: string(line.Raw)}
	for _, source := range []Source{Client, Operator, Testbed} {
		if strings.HasPrefix(line.File, string(source)+"-") {
			e.Source = source
		}
	}
	if err := json.Unmarshal(line.Raw, &e.Entry); err != nil {
		return e, errs.Wrap(err, errs.Damaged, "journal %s line %d", line.File, line.Number)
	}
	if err := json.Unmarshal(line.Raw, &extra); err != nil {
		return e, errs.Wrap(err, errs.Damaged, "journal %s line %d", line.File, line.Number)
	}
	e.State, e.Node, e.Team, e.Steps = extra.State, extra.Node, extra.Team, extra.Steps
	if e.Source == Operator {
		if err := json.Unmarshal(line.Raw, &e.OperatorEntry); err != nil {
			return e, errs.Wrap(err, errs.Damaged, "journal %s line %d", line.File, line.Number)
		}
	}
	return e, nil
}

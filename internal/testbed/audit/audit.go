// Package audit is the invariant checker of the testbed for the policy deployment: it checks what crosstide promises
// against the journals of the workers, clients, operators and injected faults of a run. It trusts no daemon: Check is a
// pure function over a History of journal lines, to which CheckFleet adds what the public API answers at the end.
//
// Begin with the table checks: each invariant is one function, in the file of its subject: runs (spans.go, runs.go),
// placement, drains and evacuations (windows.go), jobs, bundle versions. MeasureOutage and Lags only measure.
package audit

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"crosstide/internal/errs"
)

// Time that the invariants allow for an order to take effect.
const (
	cancelGrace   = 3 * time.Second // from a cancel's acknowledgement to the last start of its job
	knownGrace    = 3 * time.Second // from a job's acceptance until no node may call it unknown
	drainGrace    = 2 * time.Second // from a drain to the end of the last run on its worker
	bundleGrace   = 2 * time.Second // from a bundle's acknowledgement to the last start under an older one
	evacuateGrace = 5 * time.Second // from an evacuation's acknowledgement to the end of the last run in its zone
)

// Verdicts on an invariant.
const (
	Satisfied    = "held"
	Violated     = "broken"
	NotExercised = "not exercised"
)

// Finding is the result of the audit for one invariant.
type Finding struct {
	Invariant string   `json:"promise"`
	Verdict   string   `json:"verdict"`
	Cases     int      `json:"cases"` // in which it could have been violated
	Note      string   `json:"note,omitempty"`
	Lines     []string `json:"lines,omitempty"` // the offending ones; if there is one, the invariant is violated
}

// violate adds a violation, with the lines that prove it.
func (f *Finding) violate(what string, proof ...Event) {
	var line strings.Builder
	line.WriteString(what)
	for _, e := range proof {
		line.WriteString("\n      " + e.String())
	}
	f.Lines = append(f.Lines, line.String())
}

// known is the invariant that probe adds cases to.
const known = "known"

// checks are the invariants, in the order of the design's table. An invariant that journals cannot prove has no check.
var checks = []struct {
	invariant    string
	check        func(h History, f *Finding)
	notCheckable string // why check is nil
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
	{known, checkKnown, ""},
	{"done", checkDone, ""},
	{"operators", checkOperatorOrders, ""},
	{"bundle", checkRollout, ""},
	{"readback", checkReadBack, ""},
	{"repair", checkRepair, ""},
}

// Check checks every invariant. Example:
//
//	history, err := audit.Read(dir)
//	findings := audit.Check(history)
//	if !audit.NoneViolated(findings) { … }
func Check(h History) []Finding {
	findings := make([]Finding, 0, len(checks))
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
		findings = append(findings, f)
	}
	return findings
}

// NoneViolated reports whether no invariant is violated.
func NoneViolated(findings []Finding) bool {
	return !slices.ContainsFunc(findings, func(f Finding) bool { return f.Verdict == Violated })
}

// WriteReport writes one line per invariant, and below a violated one its offending lines, at most shown of them.
func WriteReport(w io.Writer, findings []Finding, shown int) error {
	for _, f := range findings {
		if _, err := fmt.Fprintln(w, f.text(shown)); err != nil {
			return errs.Wrap(err, errs.Disk, "print the audit")
		}
	}
	return nil
}

func (f Finding) text(shown int) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%-13s%s", f.Invariant, f.Verdict)
	if f.Verdict != NotExercised {
		fmt.Fprintf(&text, " %d cases", f.Cases)
	}
	if f.Note != "" {
		text.WriteString(" (" + f.Note + ")")
	}
	for _, line := range f.Lines[:min(len(f.Lines), shown)] {
		text.WriteString("\n    " + line)
	}
	if left := len(f.Lines) - shown; left > 0 {
		fmt.Fprintf(&text, "\n    and %d more", left)
	}
	return text.String()
}

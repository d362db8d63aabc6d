// Package audit checks the invariants of the policy deployment against the journals that workers, clients, operators
// and fault injection wrote during a run of the testbed. It trusts no daemon: Check is a pure function over a History
// of journal lines, to which CheckFleet adds the answers of the public API at the end of the run.
//
// Entry point: the table checks. Each invariant is one function, in the file of its subject: runs (spans.go, runs.go),
// placement (placement.go), drains and evacuations (windows.go), jobs (jobs.go) and bundle versions (versions.go).
// MeasureOutage and Lags measure durations and check nothing.
package audit

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"crosstide/internal/errs"
)

// Grace periods: how long after an order or an acceptance the invariants do not yet require its effect.
const (
	cancelGrace   = 3 * time.Second // from a cancel's acknowledgement to the last start of its job
	knownGrace    = 3 * time.Second // from a job's acceptance until no node may answer 404 for it
	drainGrace    = 2 * time.Second // from a drain to the end of the last run on its worker
	bundleGrace   = 2 * time.Second // from a bundle's acknowledgement to the last start under an older one
	evacuateGrace = 5 * time.Second // from an evacuation's acknowledgement to the end of the last run in its zone
)

// Values of Finding.Verdict.
const (
	Satisfied    = "held"
	Violated     = "broken"
	NotExercised = "not exercised"
)

// Finding is the result of the audit for one invariant.
type Finding struct {
	Invariant string   `json:"promise"`
	Verdict   string   `json:"verdict"`
	Cases     int      `json:"cases"` // observations that could have violated the invariant; each check says which
	Note      string   `json:"note,omitempty"`
	Lines     []string `json:"lines,omitempty"` // one text for each violation, with the journal lines that prove it
}

// violate adds a violation and the journal lines that prove it.
func (f *Finding) violate(what string, proof ...Event) {
	var line strings.Builder
	line.WriteString(what)
	for _, e := range proof {
		line.WriteString("\n      " + e.String())
	}
	f.Lines = append(f.Lines, line.String())
}

// knownInvariant is the name of the invariant whose cases include the polls of probe.
const knownInvariant = "known"

// checks lists the invariants, in the order of the design's table. An invariant that journals cannot prove has no
// check.
var checks = []struct {
	invariant    string
	check        func(h History, f *Finding)
	notCheckable string // why check is nil
}{
	{"once", checkSingleRun, ""},
	{"ticket-newer", checkRunIDsIncrease, ""},
	{"fence", checkFencing, ""},
	{"durable", nil, "the journals do not show whether a ticket was durable"},
	{"idle", nil, "no journal records which starts were due"},
	{"place", checkPlacement, ""},
	{"drain", checkDrain, ""},
	{"evacuate", checkEvacuation, ""},
	{"cancel", checkCancel, ""},
	{knownInvariant, checkKnown, ""},
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

// WriteReport writes one line per invariant, and below it at most maxLines of its violations. Failure: Disk.
func WriteReport(w io.Writer, findings []Finding, maxLines int) error {
	for _, f := range findings {
		if _, err := fmt.Fprintln(w, f.text(maxLines)); err != nil {
			return errs.Wrap(err, errs.Disk, "print the audit")
		}
	}
	return nil
}

// text returns the finding as WriteReport writes it, without the last line break.
func (f Finding) text(maxLines int) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%-13s%s", f.Invariant, f.Verdict)
	if f.Verdict != NotExercised {
		fmt.Fprintf(&text, " %d cases", f.Cases)
	}
	if f.Note != "" {
		text.WriteString(" (" + f.Note + ")")
	}
	for _, line := range f.Lines[:min(len(f.Lines), maxLines)] {
		text.WriteString("\n    " + line)
	}
	if left := len(f.Lines) - maxLines; left > 0 {
		fmt.Fprintf(&text, "\n    and %d more", left)
	}
	return text.String()
}

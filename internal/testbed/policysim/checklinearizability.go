package policysim

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"crosstide/internal/errs"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

// kind is what a client does.
type operationKind string

const (
	opSubmit operationKind = "submit"
	opPoll   operationKind = "poll"
	opCancel operationKind = "cancel"
)

// answerWaiting is what it was told; "" is no certain answer.
type answerKind string

const (
	answerFresh      answerKind = "fresh"    // submit: accepted, the key was free
	answerSame       answerKind = "same"     // submit: accepted before, with the same body
	answerConflict   answerKind = "conflict" // submit: the key is taken by another body
	answerOverloaded answerKind = "pressure" // submit: not now
	answerPhase      answerKind = "phase"    // poll, cancel: the job is known
	answerUnknown    answerKind = "unknown"  // poll, cancel: no such job
)

// operation is an operation of a client on a key, from its call to its answer in virtual time.
type operation struct {
	key        string
	kind       operationKind
	digest     string // of the body, for a submit
	calledAt   time.Duration
	answeredAt time.Duration
	answer     answerKind
	phase      state.JobPhase // as told with fresh, same and phase
}

// String describes the call and its answer for a report.
func (m *operation) String() string {
	return fmt.Sprintf("%v..%v %s %s: %s %s", m.calledAt, m.answeredAt, m.kind, m.digest, m.answer, m.phase)
}

// clientHistory keeps what clients did and were told. It draws no chance and makes no event.
type clientHistory struct{ operations []*operation }

// called notes a call; it has no certain answer until told is called.
func (l *clientHistory) called(at time.Duration, key string, a operationKind, digest string) *operation {
	m := &operation{key: key, kind: a, digest: digest, calledAt: at}
	l.operations = append(l.operations, m)
	return m
}

// observeTopUpAnswer notes the answer to a submit or a cancel. Faults that do not tell what the store decided are no certain answer.
func (m *operation) complete(at time.Duration, a any, err error) {
	raw, _ := a.(json.RawMessage)
	switch {
	case errs.Is(err, errs.Unknown):
		m.observe(at, answerUnknown, "")
	case errs.Is(err, errs.Conflict):
		m.observe(at, answerConflict, "")
	case errs.Is(err, errs.Overloaded):
		m.observe(at, answerOverloaded, "")
	case err == nil && m.kind == opSubmit:
		var s command.Submitted
		must(json.Unmarshal(raw, &s))
		m.observe(at, answerSame, s.Phase)
		if s.Fresh {
			m.answer = answerFresh
		}
	case err == nil:
		var c command.Cancelled
		must(json.Unmarshal(raw, &c))
		m.observe(at, answerPhase, c.Phase)
	}
}

func (m *operation) observe(at time.Duration, a answerKind, p state.JobPhase) {
	m.answeredAt, m.answer, m.phase = at, a, p
}

// porcupineHistory makes operations that end by end of the moves. A call may reach the store more than once (dplanes send
// again, the network doubles) and late, so each submit and cancel also counts as one without an answer, from its call
// to the end. Of those that are equal the earliest is enough, as a second one changes nothing.
func porcupineHistory(operations []*operation, end time.Duration) (out []porcupine.Operation) {
	type kind struct {
		key, digest string
		act         operationKind
	}
	loose := map[kind]bool{}
	add := func(m *operation, back time.Duration) {
		out = append(out, porcupine.Operation{Input: m, Call: int64(m.calledAt), Output: m, Return: int64(back)})
	}
	for _, m := range operations { // in the order of their calls
		if m.answer != "" {
			add(m, m.answeredAt)
		}
		k := kind{m.key, m.digest, m.kind}
		if m.kind != opPoll && !loose[k] {
			loose[k] = true
			add(&operation{key: m.key, kind: m.kind, digest: m.digest, calledAt: m.calledAt}, end)
		}
	}
	return out
}

// registerOperators is what the answers up to a point tell of a job: its digest ("" while absent), the phase it has reached at
// least, and whether a cancel took effect. Between answers a job may move on by itself, never back.
type jobModel struct {
	digest        string
	phase         state.JobPhase // "" after a cancel without an answer: stopping or over
	cancelApplied bool
}

var phaseRank = map[state.JobPhase]int{state.JobAccepted: 0, state.JobRunning: 1, state.JobStopping: 2, "": 2, state.JobDone: 3,
	state.JobFailed: 3, state.JobCancelled: 3}

// observe tells whether a job may stand at p now, and what is known then.
func (k jobModel) observe(p state.JobPhase) (bool, jobModel) {
	r, ok := phaseRank[p]
	switch {
	case !ok || p == "" || k.digest == "" || r < phaseRank[k.phase]:
		return false, k
	case k.phase.IsTerminal() && p != k.phase: // an outcome stays
		return false, k
	case k.phase == state.JobStopping && p == state.JobDone: // it was not done when it was stopped
		return false, k
	case p == state.JobCancelled && !k.cancelApplied:
		return false, k
	}
	k.phase = p
	return true, k
}

// afterCancel is what is known after a cancel took effect.
func (k jobModel) afterCancel() jobModel {
	if k.digest == "" {
		return k
	}
	k.cancelApplied = true
	if phaseRank[k.phase] < phaseRank[state.JobStopping] {
		k.phase = ""
	}
	return k
}

func (k jobModel) step(m *operation) (bool, jobModel) {
	switch m.kind {
	case opSubmit:
		fresh := k
		if k.digest == "" {
			fresh = jobModel{digest: m.digest, phase: state.JobAccepted}
		}
		switch m.answer {
		case "":
			return true, fresh
		case answerFresh:
			if k.digest != "" {
				return false, k
			}
			return fresh.observe(m.phase)
		case answerSame:
			if k.digest != m.digest {
				return false, k
			}
			return k.observe(m.phase)
		case answerConflict:
			return k.digest != "" && k.digest != m.digest, k
		case answerOverloaded:
			return k.digest == "", k
		}
	case opPoll:
		if m.answer == answerUnknown {
			return k.digest == "", k
		}
		return k.observe(m.phase)
	case opCancel:
		switch m.answer {
		case "":
			return true, k.afterCancel()
		case answerUnknown:
			return k.digest == "", k
		case answerPhase:
			return k.afterCancel().observe(m.phase)
		}
	}
	return false, k
}

var model = porcupine.Model{
	Partition: func(all []porcupine.Operation) (out [][]porcupine.Operation) {
		at := map[string]int{}
		for _, op := range all {
			key := op.Input.(*operation).key
			i, ok := at[key]
			if !ok {
				i = len(out)
				at[key], out = i, append(out, nil)
			}
			out[i] = append(out[i], op)
		}
		return out
	},
	Init: func() any { return jobModel{} },
	Step: func(k, in, _ any) (bool, any) { return k.(jobModel).step(in.(*operation)) },
}

// firstNonlinearizable gives the first key whose moves no order of single steps explains, "" if there is none. Example:
//
//	key := check(moves, time.Minute) // moves in the order of their calls, all of them before the minute
func firstNonlinearizable(operations []*operation, end time.Duration) string {
	all := porcupineHistory(operations, end)
	if porcupine.CheckOperations(model, all) {
		return ""
	}
	for _, part := range model.Partition(all) { // one by one, so that the same key is named every time
		if !porcupine.CheckOperations(model, part) {
			return part[0].Input.(*operation).key
		}
	}
	return ""
}

// checkAccounts holds what clients were told against the model.
func (l *clientHistory) check(s *sim) {
	for _, m := range l.operations {
		if m.answer == "" {
			s.report.Counts["consumer calls without a certain answer"]++
			continue
		}
		s.countCase("linear")
		s.report.Counts["consumer answers: "+string(m.kind)+" "+string(m.answer)]++
	}
	if key := firstNonlinearizable(l.operations, s.now+1); key != "" {
		of := slices.DeleteFunc(slices.Clone(l.operations), func(m *operation) bool { return m.key != key })
		s.reportBreach("linear", "no order explains the answers about %s: %v", key, of)
	}
}

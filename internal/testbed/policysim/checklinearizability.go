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

// operationKind is what a client asks for.
type operationKind string

const (
	opSubmit operationKind = "submit"
	opPoll   operationKind = "poll"
	opCancel operationKind = "cancel"
)

// answerKind classifies the answer that a client got; "": no certain answer. The strings are part of the keys of
// Report.Counts.
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
	phase      state.JobPhase // in the answers fresh, same and phase
}

// String returns the call and its answer, for a report.
func (op *operation) String() string {
	return fmt.Sprintf("%v..%v %s %s: %s %s", op.calledAt, op.answeredAt, op.kind, op.digest, op.answer, op.phase)
}

// complete records the answer to a submit or a cancel. A failure after which the outcome is unknown is no certain
// answer.
func (op *operation) complete(at time.Duration, answer any, err error) {
	raw, _ := answer.(json.RawMessage)
	switch {
	case errs.Is(err, errs.Unknown):
		op.observe(at, answerUnknown, "")
	case errs.Is(err, errs.Conflict):
		op.observe(at, answerConflict, "")
	case errs.Is(err, errs.Overloaded):
		op.observe(at, answerOverloaded, "")
	case err == nil && op.kind == opSubmit:
		var submitted command.Submitted
		must(json.Unmarshal(raw, &submitted))
		kind := answerSame
		if submitted.Fresh {
			kind = answerFresh
		}
		op.observe(at, kind, submitted.Phase)
	case err == nil:
		var cancelled command.Cancelled
		must(json.Unmarshal(raw, &cancelled))
		op.observe(at, answerPhase, cancelled.Phase)
	}
}

// observe records a certain answer.
func (op *operation) observe(at time.Duration, answer answerKind, phase state.JobPhase) {
	op.answeredAt, op.answer, op.phase = at, answer, phase
}

// clientHistory records the clients' calls and their answers, in the order of the calls. It draws no random number and
// schedules no event.
type clientHistory struct{ operations []*operation }

// called records a call; it has no certain answer until complete or observe is called.
func (h *clientHistory) called(at time.Duration, key string, kind operationKind, digest string) *operation {
	op := &operation{key: key, kind: kind, digest: digest, calledAt: at}
	h.operations = append(h.operations, op)
	return op
}

// check checks, at the end of a run, that the answers are linearizable by model (invariant: linear).
func (h *clientHistory) check(s *sim) {
	for _, op := range h.operations {
		if op.answer == "" {
			s.report.Counts["consumer calls without a certain answer"]++
			continue
		}
		s.countCase("linear")
		s.report.Counts["consumer answers: "+string(op.kind)+" "+string(op.answer)]++
	}
	if key := firstNonlinearizable(h.operations, s.now+1); key != "" {
		ofKey := slices.DeleteFunc(slices.Clone(h.operations), func(op *operation) bool { return op.key != key })
		s.reportBreach("linear", "no order explains the answers about %s: %v", key, ofKey)
	}
}

// firstNonlinearizable returns the first key whose operations are not linearizable; "" if there is none.
// Example:
//
//	key := firstNonlinearizable(operations, time.Minute) // in the order of their calls, all before the minute
func firstNonlinearizable(operations []*operation, end time.Duration) string {
	history := porcupineHistory(operations, end)
	if porcupine.CheckOperations(model, history) {
		return ""
	}
	for _, part := range model.Partition(history) { // in order, so that the same key is reported every time
		if !porcupine.CheckOperations(model, part) {
			return part[0].Input.(*operation).key
		}
	}
	return ""
}

// porcupineHistory converts operations for the checker; all of them end at end at the latest. A call may reach the
// store more than once (data-plane nodes retry, the network duplicates) and late, so for each submit and cancel it adds
// one without an answer, from the call to the end. Of equal ones the earliest is enough, as they are idempotent.
func porcupineHistory(operations []*operation, end time.Duration) (history []porcupine.Operation) {
	type effect struct {
		key, digest string
		kind        operationKind
	}
	added := map[effect]bool{}
	add := func(op *operation, answeredAt time.Duration) {
		history = append(history, porcupine.Operation{Input: op, Call: int64(op.calledAt),
			Output: op, Return: int64(answeredAt)})
	}
	for _, op := range operations {
		if op.answer != "" {
			add(op, op.answeredAt)
		}
		e := effect{op.key, op.digest, op.kind}
		if op.kind != opPoll && !added[e] {
			added[e] = true
			add(&operation{key: op.key, kind: op.kind, digest: op.digest, calledAt: op.calledAt}, end)
		}
	}
	return history
}

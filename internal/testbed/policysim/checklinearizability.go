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

// operationKind is the kind of a client's call.
type operationKind string

const (
	opSubmit operationKind = "submit"
	opPoll   operationKind = "poll"
	opCancel operationKind = "cancel"
)

// answerKind classifies the answer that a client got. It is "" if the outcome is unknown. The strings are part of the
// keys of Report.Counts.
type answerKind string

const (
	answerFresh      answerKind = "fresh"    // submit: accepted, the key was unused
	answerSame       answerKind = "same"     // submit: the job had already been accepted with the same body
	answerConflict   answerKind = "conflict" // submit: the key is used by a job with another body
	answerOverloaded answerKind = "pressure" // submit: rejected because of load
	answerPhase      answerKind = "phase"    // poll, cancel: the job exists
	answerUnknown    answerKind = "unknown"  // poll, cancel: the job does not exist
)

// operation is a client's call on a job key and its answer, with their virtual times.
type operation struct {
	key        string
	kind       operationKind
	digest     string // digest of the body, for a submit
	calledAt   time.Duration
	answeredAt time.Duration
	answer     answerKind
	phase      state.JobPhase // phase in the answers fresh, same and phase
}

// String returns the call and its answer for Violation.Detail.
func (op *operation) String() string {
	return fmt.Sprintf("%v..%v %s %s: %s %s", op.calledAt, op.answeredAt, op.kind, op.digest, op.answer, op.phase)
}

// complete records the answer to a submit or a cancel. After an error that leaves the outcome unknown it records
// nothing.
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

// observe records an answer that shows the outcome.
func (op *operation) observe(at time.Duration, answer answerKind, phase state.JobPhase) {
	op.answeredAt, op.answer, op.phase = at, answer, phase
}

// clientHistory records the clients' calls and their answers, in the order of the calls. It draws no random number and
// schedules no event.
type clientHistory struct{ operations []*operation }

// called records a call. Its outcome is unknown until complete or observe records the answer.
func (h *clientHistory) called(at time.Duration, key string, kind operationKind, digest string) *operation {
	op := &operation{key: key, kind: kind, digest: digest, calledAt: at}
	h.operations = append(h.operations, op)
	return op
}

// check checks, at the end of a run, that the answers are linearizable under linearizabilityModel (invariant: linear).
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
		s.reportViolation("linear", "no order explains the answers about %s: %v", key, ofKey)
	}
}

// firstNonlinearizable returns the first key whose operations are not linearizable, or "". The operations are in the
// order of their calls, and all of them are before end. Example:
//
//	key := firstNonlinearizable(operations, time.Minute)
func firstNonlinearizable(operations []*operation, end time.Duration) string {
	history := porcupineHistory(operations, end)
	if porcupine.CheckOperations(linearizabilityModel, history) {
		return ""
	}
	// In order, so that the same key is reported every time.
	for _, part := range linearizabilityModel.Partition(history) {
		if !porcupine.CheckOperations(linearizabilityModel, part) {
			return part[0].Input.(*operation).key
		}
	}
	return ""
}

// porcupineHistory converts operations for porcupine; none of them ends after end. A call may reach the store more than
// once (data-plane nodes retry, the network duplicates messages), and late. So each submit and cancel is added a second
// time, without an answer, from the call to end. Of equal calls only the earliest is added, as they are idempotent.
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

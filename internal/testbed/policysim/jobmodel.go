package policysim

import (
	"github.com/anishathalye/porcupine"

	"crosstide/internal/state"
)

// jobModel is what the answers up to a point tell of a job: its digest ("" while absent), the phase that it has reached
// at least, and whether a cancel took effect. Between answers a job may move on by itself, never back.
type jobModel struct {
	digest        string
	phase         state.JobPhase // "" after a cancel without an answer: stopping or over
	cancelApplied bool
}

// phaseRank orders the phases: a job never goes to a lower one.
var phaseRank = map[state.JobPhase]int{state.JobAccepted: 0, state.JobRunning: 1, state.JobStopping: 2, "": 2,
	state.JobDone: 3, state.JobFailed: 3, state.JobCancelled: 3}

// observe tells whether a job may be shown in a phase now, and returns what is known then.
func (j jobModel) observe(phase state.JobPhase) (possible bool, then jobModel) {
	rank, ok := phaseRank[phase]
	switch {
	case !ok || phase == "" || j.digest == "" || rank < phaseRank[j.phase]:
		return false, j
	case j.phase.IsTerminal() && phase != j.phase: // an outcome stays
		return false, j
	case j.phase == state.JobStopping && phase == state.JobDone: // it was not done when it was stopped
		return false, j
	case phase == state.JobCancelled && !j.cancelApplied:
		return false, j
	}
	j.phase = phase
	return true, j
}

// afterCancel is what is known after a cancel took effect.
func (j jobModel) afterCancel() jobModel {
	if j.digest == "" {
		return j
	}
	j.cancelApplied = true
	if phaseRank[j.phase] < phaseRank[state.JobStopping] {
		j.phase = ""
	}
	return j
}

// step tells whether an operation may take effect now with the answer that it had, and returns what is known then.
func (j jobModel) step(op *operation) (possible bool, then jobModel) {
	switch op.kind {
	case opSubmit:
		return j.submit(op)
	case opPoll:
		if op.answer == answerUnknown {
			return j.digest == "", j
		}
		return j.observe(op.phase)
	case opCancel:
		return j.cancel(op)
	}
	return false, j
}

func (j jobModel) submit(op *operation) (possible bool, then jobModel) {
	accepted := j
	if j.digest == "" {
		accepted = jobModel{digest: op.digest, phase: state.JobAccepted}
	}
	switch op.answer {
	case "":
		return true, accepted
	case answerFresh:
		if j.digest != "" {
			return false, j
		}
		return accepted.observe(op.phase)
	case answerSame:
		if j.digest != op.digest {
			return false, j
		}
		return j.observe(op.phase)
	case answerConflict:
		return j.digest != "" && j.digest != op.digest, j
	case answerOverloaded:
		return j.digest == "", j
	}
	return false, j
}

func (j jobModel) cancel(op *operation) (possible bool, then jobModel) {
	switch op.answer {
	case "":
		return true, j.afterCancel()
	case answerUnknown:
		return j.digest == "", j
	case answerPhase:
		return j.afterCancel().observe(op.phase)
	}
	return false, j
}

// model is the checker's view of jobModel: a history falls into those of the keys, which are independent.
var model = porcupine.Model{
	Partition: partitionByKey,
	Init:      func() any { return jobModel{} },
	Step:      func(job, input, _ any) (bool, any) { return job.(jobModel).step(input.(*operation)) },
}

func partitionByKey(history []porcupine.Operation) (parts [][]porcupine.Operation) {
	places := map[string]int{}
	for _, op := range history {
		key := op.Input.(*operation).key
		i, ok := places[key]
		if !ok {
			i = len(parts)
			places[key], parts = i, append(parts, nil)
		}
		parts[i] = append(parts[i], op)
	}
	return parts
}

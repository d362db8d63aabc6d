package policysim

import (
	"github.com/anishathalye/porcupine"

	"crosstide/internal/state"
)

// jobModel is the state of a job as far as it follows from the operations that took effect so far. Between operations a
// job may advance to a later phase, but never return to an earlier one.
type jobModel struct {
	digest        string         // "": the job does not exist
	phase         state.JobPhase // the earliest phase that it may be in; "": stopping or terminal
	cancelApplied bool           // a cancel took effect
}

// phaseRank orders the phases: a job never goes to a lower one.
var phaseRank = map[state.JobPhase]int{state.JobAccepted: 0, state.JobRunning: 1, state.JobStopping: 2, "": 2,
	state.JobDone: 3, state.JobFailed: 3, state.JobCancelled: 3}

// observe reports whether an answer may show the job in a phase now, and returns the model after that answer.
func (j jobModel) observe(phase state.JobPhase) (possible bool, next jobModel) {
	rank, ok := phaseRank[phase]
	switch {
	case !ok || phase == "" || j.digest == "" || rank < phaseRank[j.phase]:
		return false, j
	case j.phase.IsTerminal() && phase != j.phase: // an outcome is final
		return false, j
	case j.phase == state.JobStopping && phase == state.JobDone: // a job that was stopped does not become done
		return false, j
	case phase == state.JobCancelled && !j.cancelApplied:
		return false, j
	}
	j.phase = phase
	return true, j
}

// afterCancel returns the model after a cancel took effect.
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

// step reports whether an operation may take effect now with its recorded answer, and returns the model after it.
func (j jobModel) step(op *operation) (possible bool, next jobModel) {
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

func (j jobModel) submit(op *operation) (possible bool, next jobModel) {
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

func (j jobModel) cancel(op *operation) (possible bool, next jobModel) {
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

// linearizabilityModel is jobModel as a porcupine model. The histories of different keys are independent.
var linearizabilityModel = porcupine.Model{
	Partition: partitionByKey,
	Init:      func() any { return jobModel{} },
	Step:      func(job, input, _ any) (bool, any) { return job.(jobModel).step(input.(*operation)) },
}

func partitionByKey(history []porcupine.Operation) (parts [][]porcupine.Operation) {
	partIndexes := map[string]int{}
	for _, op := range history {
		key := op.Input.(*operation).key
		i, ok := partIndexes[key]
		if !ok {
			i = len(parts)
			partIndexes[key], parts = i, append(parts, nil)
		}
		parts[i] = append(parts[i], op)
	}
	return parts
}

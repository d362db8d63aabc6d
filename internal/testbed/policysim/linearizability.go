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

// act is what a client does.
type act string

const (
	actSubmit act = "submit"
	actPoll   act = "poll"
	actCancel act = "cancel"
)

// answer is what it was told; "" is no certain answer.
type answer string

const (
	ansFresh         answer = "fresh"    // submit: accepted, the key was free
	ansSame          answer = "same"     // submit: accepted before, with the same body
	ansConflict      answer = "conflict" // submit: the key is taken by another body
	answerOverloaded answer = "pressure" // submit: not now
	ansPhase         answer = "phase"    // poll, cancel: the job is known
	ansUnknown       answer = "unknown"  // poll, cancel: no such job
)

// operation is an operation of a client on a key, from its call to its answer in virtual time.
type operation struct {
	key    string
	act    act
	digest string // of the body, for a submit
	call   time.Duration
	back   time.Duration
	answer answer
	phase  state.JobPhase // as told with fresh, same and phase
}

// String describes the call and its answer for a report.
func (m *operation) String() string {
	return fmt.Sprintf("%v..%v %s %s: %s %s", m.call, m.back, m.act, m.digest, m.answer, m.phase)
}

// linear keeps what clients did and were told. It draws no chance and makes no event.
type linear struct{ operations []*operation }

// called notes a call; it has no certain answer until told is called.
func (l *linear) called(at time.Duration, key string, a act, digest string) *operation {
	m := &operation{key: key, act: a, digest: digest, call: at}
	l.operations = append(l.operations, m)
	return m
}

// acknowledged notes the answer to a submit or a cancel. Faults that do not tell what the store decided are no certain answer.
func (m *operation) complete(at time.Duration, a any, err error) {
	raw, _ := a.(json.RawMessage)
	switch {
	case errs.Is(err, errs.Unknown):
		m.seen(at, ansUnknown, "")
	case errs.Is(err, errs.Conflict):
		m.seen(at, ansConflict, "")
	case errs.Is(err, errs.Overloaded):
		m.seen(at, answerOverloaded, "")
	case err == nil && m.act == actSubmit:
		var s command.Submitted
		must(json.Unmarshal(raw, &s))
		m.seen(at, ansSame, s.Phase)
		if s.Fresh {
			m.answer = ansFresh
		}
	case err == nil:
		var c command.Cancelled
		must(json.Unmarshal(raw, &c))
		m.seen(at, ansPhase, c.Phase)
	}
}

func (m *operation) seen(at time.Duration, a answer, p state.JobPhase) {
	m.back, m.answer, m.phase = at, a, p
}

// history makes operations that end by end of the moves. A call may reach the store more than once (dplanes send
// again, the network doubles) and late, so each submit and cancel also counts as one without an answer, from its call
// to the end. Of those that are equal the earliest is enough, as a second one changes nothing.
func history(operations []*operation, end time.Duration) (out []porcupine.Operation) {
	type kind struct {
		key, digest string
		act         act
	}
	loose := map[kind]bool{}
	add := func(m *operation, back time.Duration) {
		out = append(out, porcupine.Operation{Input: m, Call: int64(m.call), Output: m, Return: int64(back)})
	}
	for _, m := range operations { // in the order of their calls
		if m.answer != "" {
			add(m, m.back)
		}
		k := kind{m.key, m.digest, m.act}
		if m.act != actPoll && !loose[k] {
			loose[k] = true
			add(&operation{key: m.key, act: m.act, digest: m.digest, call: m.call}, end)
		}
	}
	return out
}

// jobModel is what the answers up to a point tell of a job: its digest ("" while absent), the phase it has reached at
// least, and whether a cancel took effect. Between answers a job may move on by itself, never back.
type jobModel struct {
	digest  string
	phase   state.JobPhase // "" after a cancel without an answer: stopping or over
	cancels bool
}

var rank = map[state.JobPhase]int{state.JobAccepted: 0, state.JobRunning: 1, state.JobStopping: 2, "": 2, state.JobDone: 3,
	state.JobFailed: 3, state.JobCancelled: 3}

// shows tells whether a job may stand at p now, and what is known then.
func (k jobModel) shows(p state.JobPhase) (bool, jobModel) {
	r, ok := rank[p]
	switch {
	case !ok || p == "" || k.digest == "" || r < rank[k.phase]:
		return false, k
	case k.phase.IsTerminal() && p != k.phase: // an outcome stays
		return false, k
	case k.phase == state.JobStopping && p == state.JobDone: // it was not done when it was stopped
		return false, k
	case p == state.JobCancelled && !k.cancels:
		return false, k
	}
	k.phase = p
	return true, k
}

// cancelled is what is known after a cancel took effect.
func (k jobModel) cancelled() jobModel {
	if k.digest == "" {
		return k
	}
	k.cancels = true
	if rank[k.phase] < rank[state.JobStopping] {
		k.phase = ""
	}
	return k
}

func (k jobModel) step(m *operation) (bool, jobModel) {
	switch m.act {
	case actSubmit:
		fresh := k
		if k.digest == "" {
			fresh = jobModel{digest: m.digest, phase: state.JobAccepted}
		}
		switch m.answer {
		case "":
			return true, fresh
		case ansFresh:
			if k.digest != "" {
				return false, k
			}
			return fresh.shows(m.phase)
		case ansSame:
			if k.digest != m.digest {
				return false, k
			}
			return k.shows(m.phase)
		case ansConflict:
			return k.digest != "" && k.digest != m.digest, k
		case answerOverloaded:
			return k.digest == "", k
		}
	case actPoll:
		if m.answer == ansUnknown {
			return k.digest == "", k
		}
		return k.shows(m.phase)
	case actCancel:
		switch m.answer {
		case "":
			return true, k.cancelled()
		case ansUnknown:
			return k.digest == "", k
		case ansPhase:
			return k.cancelled().shows(m.phase)
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

// check gives the first key whose moves no order of single steps explains, "" if there is none. Example:
//
//	key := check(moves, time.Minute) // moves in the order of their calls, all of them before the minute
func check(operations []*operation, end time.Duration) string {
	all := history(operations, end)
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

// judge holds what clients were told against the model.
func (l *linear) judge(s *sim) {
	for _, m := range l.operations {
		if m.answer == "" {
			s.report.Counts["consumer calls without a certain answer"]++
			continue
		}
		s.countCase("linear")
		s.report.Counts["consumer answers: "+string(m.act)+" "+string(m.answer)]++
	}
	if key := check(l.operations, s.now+1); key != "" {
		of := slices.DeleteFunc(slices.Clone(l.operations), func(m *operation) bool { return m.key != key })
		s.reportBreach("linear", "no order explains the answers about %s: %v", key, of)
	}
}

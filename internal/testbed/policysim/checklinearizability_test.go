package policysim

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/state"
)

func TestLinearizability(t *testing.T) {
	at := func(from, to int, kind operationKind, digest string, answer answerKind, phase state.JobPhase) *operation {
		return &operation{"k", kind, digest, time.Duration(from), time.Duration(to), answer, phase}
	}
	fresh := at(1, 2, opSubmit, "a", answerFresh, state.JobAccepted)
	poll := func(from int, phase state.JobPhase) *operation {
		return at(from, from+1, opPoll, "", answerPhase, phase)
	}
	lost := at(3, 0, opCancel, "", "", "")
	for _, c := range []struct {
		name         string
		operations   []*operation
		linearizable bool
	}{
		{"submitted, running, done", []*operation{fresh, poll(3, state.JobRunning), poll(5, state.JobDone),
			poll(7, state.JobDone)}, true},
		{"overlapping polls", []*operation{fresh, at(3, 9, opPoll, "", answerPhase, state.JobRunning),
			poll(4, state.JobDone)}, true},
		{"a stale poll after done", []*operation{fresh, poll(3, state.JobDone), poll(5, state.JobRunning)}, false},
		{"accepted again after running", []*operation{fresh, poll(3, state.JobRunning), poll(5, state.JobAccepted)},
			false},
		{"a changed outcome", []*operation{fresh, poll(3, state.JobDone), poll(5, state.JobFailed)}, false},
		{"an accepted job is unknown", []*operation{fresh, at(3, 4, opPoll, "", answerUnknown, "")}, false},
		{"a poll before the accept", []*operation{at(0, 2, opPoll, "", answerUnknown, ""), fresh}, true},
		{"fresh a second time", []*operation{fresh, at(3, 4, opSubmit, "a", answerFresh, state.JobAccepted)}, false},
		{"same after fresh", []*operation{fresh, at(3, 4, opSubmit, "a", answerSame, state.JobRunning)}, true},
		{"same returns to running after done", []*operation{fresh, poll(3, state.JobDone),
			at(5, 6, opSubmit, "a", answerSame, state.JobRunning)}, false},
		{"conflict accepted as fresh", []*operation{fresh, at(3, 4, opSubmit, "b", answerFresh, state.JobAccepted)},
			false},
		{"conflict accepted as same", []*operation{fresh, at(3, 4, opSubmit, "b", answerSame, state.JobAccepted)},
			false},
		{"a conflict with an accepted job", []*operation{fresh, at(3, 4, opSubmit, "b", answerConflict, "")}, true},
		{"a conflict without a job", []*operation{at(1, 2, opSubmit, "a", answerConflict, "")}, false},
		{"overload on a known job", []*operation{fresh, at(3, 4, opSubmit, "a", answerOverloaded, "")}, false},
		{"overload, then a duplicate is accepted",
			[]*operation{at(1, 2, opSubmit, "a", answerOverloaded, ""), poll(3, state.JobAccepted)}, true},
		{"a submit without answer took effect",
			[]*operation{at(1, 0, opSubmit, "a", "", ""), poll(5, state.JobRunning)}, true},
		{"a submit without answer took effect late", []*operation{at(1, 0, opSubmit, "a", "", ""),
			at(2, 3, opPoll, "", answerUnknown, ""), poll(5, state.JobRunning)}, true},
		{"a job before its submit", []*operation{poll(1, state.JobRunning),
			at(5, 6, opSubmit, "a", answerFresh, state.JobAccepted)}, false},
		{"a cancel", []*operation{fresh, at(3, 4, opCancel, "", answerPhase, state.JobStopping),
			poll(5, state.JobCancelled)}, true},
		{"done after a cancel stopped it",
			[]*operation{fresh, at(3, 4, opCancel, "", answerPhase, state.JobStopping), poll(5, state.JobDone)}, false},
		{"running after a cancel", []*operation{fresh, at(3, 4, opCancel, "", answerPhase, state.JobStopping),
			poll(5, state.JobRunning)}, false},
		{"a cancel that leaves the job running",
			[]*operation{fresh, at(3, 4, opCancel, "", answerPhase, state.JobRunning)}, false},
		{"a cancel finds no job", []*operation{fresh, at(3, 4, opCancel, "", answerUnknown, "")}, false},
		{"a cancel after done", []*operation{fresh, poll(3, state.JobDone),
			at(5, 6, opCancel, "", answerPhase, state.JobDone)}, true},
		{"cancelled without a cancel", []*operation{fresh, poll(3, state.JobCancelled)}, false},
		{"a cancel without answer", []*operation{fresh, lost, poll(5, state.JobRunning), poll(7, state.JobCancelled)},
			true},
		{"a cancel without answer took effect after done", []*operation{fresh, lost, poll(5, state.JobDone)}, true},
	} {
		Convey(c.name, t, func() {
			other := *fresh
			other.key = "other"
			key := firstNonlinearizable(append([]*operation{&other}, c.operations...), 100)
			So(key == "", ShouldEqual, c.linearizable)
			So(key, ShouldNotEqual, "other")
		})
	}
}

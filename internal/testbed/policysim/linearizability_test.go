package policysim

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/state"
)

func TestLinear(t *testing.T) {
	at := func(from, to int, a act, digest string, ans answer, p state.JobPhase) *operation {
		return &operation{"k", a, digest, time.Duration(from), time.Duration(to), ans, p}
	}
	fresh := at(1, 2, actSubmit, "a", ansFresh, state.JobAccepted)
	poll := func(from int, p state.JobPhase) *operation { return at(from, from+1, actPoll, "", ansPhase, p) }
	lost := at(3, 0, actCancel, "", "", "")
	for _, c := range []struct {
		name       string
		operations []*operation
		holds      bool
	}{
		{"a plain life", []*operation{fresh, poll(3, state.JobRunning), poll(5, state.JobDone), poll(7, state.JobDone)}, true},
		{"a poll beside another", []*operation{fresh, at(3, 9, actPoll, "", ansPhase, state.JobRunning), poll(4, state.JobDone)}, true},
		{"a stale poll after done", []*operation{fresh, poll(3, state.JobDone), poll(5, state.JobRunning)}, false},
		{"accepted again after running", []*operation{fresh, poll(3, state.JobRunning), poll(5, state.JobAccepted)}, false},
		{"another outcome", []*operation{fresh, poll(3, state.JobDone), poll(5, state.JobFailed)}, false},
		{"a lost accept", []*operation{fresh, at(3, 4, actPoll, "", ansUnknown, "")}, false},
		{"a poll before the accept", []*operation{at(0, 2, actPoll, "", ansUnknown, ""), fresh}, true},
		{"fresh twice", []*operation{fresh, at(3, 4, actSubmit, "a", ansFresh, state.JobAccepted)}, false},
		{"same after fresh", []*operation{fresh, at(3, 4, actSubmit, "a", ansSame, state.JobRunning)}, true},
		{"same after done goes back", []*operation{fresh, poll(3, state.JobDone), at(5, 6, actSubmit, "a", ansSame, state.JobRunning)}, false},
		{"conflict accepted as fresh", []*operation{fresh, at(3, 4, actSubmit, "b", ansFresh, state.JobAccepted)}, false},
		{"conflict accepted as same", []*operation{fresh, at(3, 4, actSubmit, "b", ansSame, state.JobAccepted)}, false},
		{"a conflict", []*operation{fresh, at(3, 4, actSubmit, "b", ansConflict, "")}, true},
		{"a conflict with nothing", []*operation{at(1, 2, actSubmit, "a", ansConflict, "")}, false},
		{"pressure on a known job", []*operation{fresh, at(3, 4, actSubmit, "a", answerOverloaded, "")}, false},
		{"pressure, then its double got in", []*operation{at(1, 2, actSubmit, "a", answerOverloaded, ""), poll(3, state.JobAccepted)}, true},
		{"a submit without answer took effect", []*operation{at(1, 0, actSubmit, "a", "", ""), poll(5, state.JobRunning)}, true},
		{"it took effect late", []*operation{at(1, 0, actSubmit, "a", "", ""), at(2, 3, actPoll, "", ansUnknown, ""), poll(5, state.JobRunning)}, true},
		{"a job from nowhere", []*operation{poll(1, state.JobRunning), at(5, 6, actSubmit, "a", ansFresh, state.JobAccepted)}, false},
		{"a cancel", []*operation{fresh, at(3, 4, actCancel, "", ansPhase, state.JobStopping), poll(5, state.JobCancelled)}, true},
		{"done after a cancel stopped it", []*operation{fresh, at(3, 4, actCancel, "", ansPhase, state.JobStopping), poll(5, state.JobDone)}, false},
		{"running after a cancel", []*operation{fresh, at(3, 4, actCancel, "", ansPhase, state.JobStopping), poll(5, state.JobRunning)}, false},
		{"a cancel that stops nothing", []*operation{fresh, at(3, 4, actCancel, "", ansPhase, state.JobRunning)}, false},
		{"a cancel of a lost job", []*operation{fresh, at(3, 4, actCancel, "", ansUnknown, "")}, false},
		{"a cancel after done", []*operation{fresh, poll(3, state.JobDone), at(5, 6, actCancel, "", ansPhase, state.JobDone)}, true},
		{"cancelled by nobody", []*operation{fresh, poll(3, state.JobCancelled)}, false},
		{"a cancel without answer", []*operation{fresh, lost, poll(5, state.JobRunning), poll(7, state.JobCancelled)}, true},
		{"a cancel without answer came after done", []*operation{fresh, lost, poll(5, state.JobDone)}, true},
	} {
		Convey(c.name, t, func() {
			other := *fresh
			other.key = "other"
			key := check(append([]*operation{&other}, c.operations...), 100)
			So(key == "", ShouldEqual, c.holds)
			So(key, ShouldNotEqual, "other")
		})
	}
}

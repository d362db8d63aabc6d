package scheduler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

func TestFailureWhileStopped(t *testing.T) {
	Convey("A member of a gang that failed counts as an attempt, also if another member's end came first", t, func() {
		h := newHarness()
		h.submit(jobs.Step{Count: 2, Gang: true})
		h.pass()
		So(len(h.sent), ShouldEqual, 2)
		h.accept()
		first, second := h.sent[0].Order.Key, h.sent[1].Order.Key
		h.answer(RenewalAnswer{Ended: []EndedRun{{Sequence: 1, Key: second, Reason: jobs.EndGangBroken}, {Sequence: 2, Key: first, Reason: jobs.EndFailed}}})
		h.pass()
		So(h.table.Jobs["j"].Rounds[0][0][0].Failures, ShouldEqual, 1)
	})
}

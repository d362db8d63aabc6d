package scheduler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

func TestJobsWaitForRemovedQueue(t *testing.T) {
	Convey("A job whose queue was removed is started when a configuration has the queue again", t, func() {
		h := newHarness()
		h.submit(jobs.Step{Count: 1})
		So(h.table.Configure(jobs.Configure{Base: 1, Version: 2, RemoveQueues: []string{"q"}}), ShouldBeNil)
		h.pass()
		So(h.starts, ShouldBeEmpty)
		So(h.table.Configure(harnessConfig(3)), ShouldBeNil)
		h.pass()
		So(len(h.starts), ShouldEqual, 1)
	})
}

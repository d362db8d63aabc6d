package scheduler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

func TestQueueComesBack(t *testing.T) {
	Convey("A job whose queue was gone is started when a configuration brings the queue back", t, func() {
		h := newHarness()
		h.submit(jobs.Step{Count: 1})
		So(h.table.Configure(jobs.Configure{Base: 1, Version: 2, RemoveQueues: []string{"q"}}), ShouldBeNil)
		h.pass()
		So(h.sent, ShouldBeEmpty)
		So(h.table.Configure(harnessConfig(3)), ShouldBeNil)
		h.pass()
		So(len(h.sent), ShouldEqual, 1)
	})
}

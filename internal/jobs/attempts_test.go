package jobs

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// attemptsTable is a table with one worker and one queue of so many attempts.
func attemptsTable(attempts int) *Table {
	t := NewTable()
	So(t.Configure(attemptsConfig(1, attempts)), ShouldBeNil)
	So(t.Register(Register{Workers: []Worker{{ID: "w", Service: "s", Capacity: Resources{MilliCPU: 1000}}}}), ShouldBeNil)
	_, err := t.Submit(Submit{Spec: Spec{ID: "j", Queue: "q", Steps: []Step{{Count: 1}}}})
	So(err, ShouldBeNil)
	return t
}

func attemptsConfig(version uint64, attempts int) Configure {
	return Configure{Base: version - 1, Version: version, Replace: true, Services: []Service{{Name: "s"}},
		Queues: []Queue{{Name: "q", Service: "s", MaxAttempts: attempts, Timeout: time.Second}}}
}

// attemptsRun records run number n of the task and its failure in between the given changes.
func attemptsRun(t *Table, n int, between func()) (recorded bool) {
	ref := TaskRef{Job: "j"}
	started, err := t.Progress(1, Progress{Term: 1, Starts: []Start{{Task: ref, Number: n, Worker: "w"}}})
	So(err, ShouldBeNil)
	between()
	_, err = t.Progress(1, Progress{Term: 1, Ends: []End{{Key: RunKey{Task: ref, Number: n}, Worker: "w", Reason: EndFailed}}})
	So(err, ShouldBeNil)
	return started.Recorded[0]
}

func TestAttempts_withoutQueue(t *testing.T) {
	Convey("The last failure while no configuration has the queue", t, func() {
		table := attemptsTable(1)
		recorded := attemptsRun(table, 1, func() {
			So(table.Configure(Configure{Base: 1, Version: 2, RemoveQueues: []string{"q"}}), ShouldBeNil)
		})
		So(recorded, ShouldBeTrue)
		So(table.Jobs["j"].State, ShouldEqual, Running)
		So(table.Configure(attemptsConfig(3, 1)), ShouldBeNil)
		Convey("is the last run also when the queue is back", func() {
			So(attemptsRun(table, 2, func() {}), ShouldBeFalse)
			So(table.Jobs["j"].State, ShouldEqual, Failed)
		})
	})
}

func TestAttempts_lowered(t *testing.T) {
	Convey("A configuration that allows no more attempts than have failed", t, func() {
		table := attemptsTable(3)
		So(attemptsRun(table, 1, func() {}), ShouldBeTrue)
		So(attemptsRun(table, 2, func() {}), ShouldBeTrue)
		So(table.Configure(attemptsConfig(2, 2)), ShouldBeNil)
		So(attemptsRun(table, 3, func() {}), ShouldBeFalse)
		So(table.Jobs["j"].State, ShouldEqual, Failed)
	})
}

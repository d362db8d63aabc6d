package jobs

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// attemptsTable returns a table with a job of one task, one worker, and a queue with the given MaxAttempts.
func attemptsTable(attempts int) *Table {
	t := NewTable()
	So(t.Configure(attemptsConfig(1, attempts)), ShouldBeNil)
	worker := Worker{ID: "w", Service: "s", Capacity: Resources{MilliCPU: 1000}}
	t.Register(Register{Workers: []Worker{worker}})
	_, err := t.Submit(Submit{Spec: Spec{ID: "j", Queue: "q", Steps: []Step{{Count: 1}}}})
	So(err, ShouldBeNil)
	return t
}

func attemptsConfig(version uint64, attempts int) Configure {
	return Configure{Base: version - 1, Version: version, Replace: true, Services: []Service{{Name: "s"}},
		Queues: []Queue{{Name: "q", Service: "s", MaxAttempts: attempts, Timeout: time.Second}}}
}

// failRun starts a run of the task, calls whileRunning, and records that the run failed. It reports whether the start
// was recorded.
func failRun(t *Table, number int, whileRunning func()) (recorded bool) {
	ref := TaskRef{Job: "j"}
	started, err := t.Progress(1, Progress{Term: 1, Starts: []Start{{Task: ref, Number: number, Worker: "w"}}})
	So(err, ShouldBeNil)
	whileRunning()
	end := End{Key: RunKey{Task: ref, Number: number}, Worker: "w", Reason: EndFailed}
	_, err = t.Progress(1, Progress{Term: 1, Ends: []End{end}})
	So(err, ShouldBeNil)
	return started.Recorded[0]
}

func TestAttempts_withoutQueue(t *testing.T) {
	Convey("When a task fails for the last time while the configuration lacks its queue", t, func() {
		table := attemptsTable(1)
		recorded := failRun(table, 1, func() {
			So(table.Configure(Configure{Base: 1, Version: 2, RemoveQueues: []string{"q"}}), ShouldBeNil)
		})
		So(recorded, ShouldBeTrue)
		So(table.Jobs["j"].State, ShouldEqual, Running)
		So(table.Configure(attemptsConfig(3, 1)), ShouldBeNil)
		Convey("no other run starts once the queue is restored, and the job fails", func() {
			So(failRun(table, 2, func() {}), ShouldBeFalse)
			So(table.Jobs["j"].State, ShouldEqual, Failed)
		})
	})
}

func TestAttempts_lowered(t *testing.T) {
	Convey("When MaxAttempts is lowered to the number of failed runs, no other run starts and the job fails", t, func() {
		table := attemptsTable(3)
		So(failRun(table, 1, func() {}), ShouldBeTrue)
		So(failRun(table, 2, func() {}), ShouldBeTrue)
		So(table.Configure(attemptsConfig(2, 2)), ShouldBeNil)
		So(failRun(table, 3, func() {}), ShouldBeFalse)
		So(table.Jobs["j"].State, ShouldEqual, Failed)
	})
}

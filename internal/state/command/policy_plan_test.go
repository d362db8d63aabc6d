package command

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
	"crosstide/internal/state"
)

// accounts is a state with its commands applied in order, as the log does.
type testState struct{ *state.State }

func newTestState() testState {
	b := testState{state.New()}
	b.do(&GrantRole{Role: "sched", Holder: "d1"})
	for _, name := range []string{"m1", "m2"} {
		b.do(&Announce{Worker: state.Worker{Name: name, Addr: name}})
		b.do(&Plan{Epoch: 1, Workers: []state.Worker{testWorker(name)}})
	}
	return b
}

func testWorker(name string) state.Worker {
	return state.Worker{Name: name, Incarnation: "b", Kind: "check", Zone: "z" + name[1:], Cores: 2}
}

func (b testState) do(c Command) (any, error) {
	data, err := Encode(time.Unix(int64(b.Index), 0), c)
	if err != nil {
		panic(err)
	}
	return Apply(b.State, b.Index+1, 1, data)
}

func (b testState) submit(key string, steps ...state.StepSpec) (any, error) {
	for i := range steps {
		steps[i].Tasks, steps[i].Cores = max(steps[i].Tasks, 1), 1
	}
	return b.do(&Submit{Spec: state.Spec{Key: key, Team: "a", Queue: "default", Steps: steps}, Digest: key, Bound: 3})
}

func (b testState) start(epoch uint64, starts ...Start) Planned {
	a, err := b.do(&Plan{Epoch: epoch, BundleVersion: b.Bundle.Version, Seq: b.Seq, Starts: starts, LeaseTTL: time.Second})
	if err != nil {
		return Planned{Refused: []string{"epoch"}, RunIDs: make([]uint64, len(starts))}
	}
	return a.(Planned)
}

func startOn(worker, key string, task int) Start {
	return Start{Ref: state.TaskRef{Job: key, Task: task}, Worker: worker, Incarnation: "b"}
}

// TestRunIDRaces tries every order of a run ID's commit and the things that forbid it: a run ID is given exactly
// when none of those came before it, and a number is never given twice.
func TestRunIDRaces(t *testing.T) {
	bars := []struct {
		name string
		do   func(b testState)
	}{
		{"cancel", func(b testState) { b.do(&Cancel{Key: "j"}) }},
		{"evacuate", func(b testState) { b.do(&EvacuateZone{Order: "o1", Zone: "z1", Out: true}) }},
		{"drain report", func(b testState) {
			m := testWorker("m1")
			m.Draining = true
			b.do(&Plan{Epoch: b.Roles["sched"].Epoch, Workers: []state.Worker{m}})
		}},
		{"drain order", func(b testState) { b.do(&CloseWorker{Order: "o2", Worker: "m1", Closed: true}) }},
		{"new boot", func(b testState) {
			m := testWorker("m1")
			m.Incarnation = "b2"
			b.do(&Plan{Epoch: b.Roles["sched"].Epoch, Workers: []state.Worker{m}})
		}},
		{"new holder", func(b testState) { b.do(&GrantRole{Role: "sched", Holder: "d2", After: 1}) }},
	}
	Convey("a ticket is given exactly when nothing that forbids it was committed before", t, func() {
		orders := 0
		var walk func(b []int, used int)
		walk = func(seq []int, used int) {
			// The run ID's commit stands after every prefix of every order of the bars.
			bk := newTestState()
			_, err := bk.submit("j", state.StepSpec{Name: "s", Type: "t"})
			So(err, ShouldBeNil)
			names := ""
			for _, i := range seq {
				bars[i].do(bk)
				names += bars[i].name + ", "
			}
			got := bk.start(1, startOn("m1", "j", 0))
			if given := got.RunIDs[0] > 0; given != (len(seq) == 0) {
				panic(fmt.Sprintf("after %sa ticket was given: %v", names, given))
			}
			if len(bk.Handles) != int(bk.LastRunID) {
				panic("a refused ticket left a handle")
			}
			orders++
			for i := range bars {
				if used&(1<<i) == 0 {
					walk(append(seq[:len(seq):len(seq)], i), used|1<<i)
				}
			}
		}
		walk(nil, 0)
		So(orders, ShouldEqual, 1957) // all ordered choices of six
	})
	Convey("a cancel after the ticket fixes the outcome, and the task is not due again", t, func() {
		b := newTestState()
		b.submit("j", state.StepSpec{Name: "s", Type: "t", Tasks: 2})
		So(b.start(1, startOn("m1", "j", 0)).RunIDs, ShouldResemble, []uint64{1})
		b.do(&Cancel{Key: "j"})
		So(b.Jobs["j"].Phase, ShouldEqual, state.JobStopping)
		b.do(&Plan{Epoch: 1, Dead: []Proof{{RunID: 1, Why: ProofStop}}})
		So(b.Jobs["j"].Phase, ShouldEqual, state.JobCancelled)
		So(b.Handles, ShouldBeEmpty)
		So(b.RunningCounts(), ShouldBeEmpty)
	})
}

func TestTaskPhases(t *testing.T) {
	Convey("given a job of two steps", t, func() {
		b := newTestState()
		b.submit("j", state.StepSpec{Name: "a", Type: "t", Tasks: 2, Retries: 1}, state.StepSpec{Name: "b", Type: "t", After: []string{"a"}})
		second := Start{Ref: state.TaskRef{Job: "j", Step: 1}, Worker: "m2", Incarnation: "b"}
		Convey("a task has one handle at most", func() {
			So(b.start(1, startOn("m1", "j", 0), startOn("m2", "j", 0)), ShouldResemble, Planned{RunIDs: []uint64{1, 0}, Refused: []string{"", "task"}})
		})
		Convey("a step waits for the one before, and the job is done when all its tasks are", func() {
			So(b.start(1, startOn("m1", "j", 0), startOn("m1", "j", 1), second).RunIDs, ShouldResemble, []uint64{1, 2, 0})
			So(b.RunningCount("t"), ShouldEqual, 2)
			b.do(&Plan{Epoch: 1, Ends: []End{{RunID: 1, OK: true}}})
			So(b.start(1, second).RunIDs[0], ShouldEqual, 0)
			b.do(&Plan{Epoch: 1, Ends: []End{{RunID: 2, OK: true}, {RunID: 1, OK: true}}}) // said twice: once is enough
			So(b.start(1, second).RunIDs[0], ShouldEqual, 3)
			So(b.Jobs["j"].Phase, ShouldEqual, state.JobRunning)
			b.do(&Plan{Epoch: 1, Ends: []End{{RunID: 3, OK: true}}})
			So(b.Jobs["j"].Phase, ShouldEqual, state.JobDone)
			b.do(&Cancel{Key: "j"})
			So(b.Jobs["j"].Phase, ShouldEqual, state.JobDone)
		})
		Convey("an end in fault is tried again after a back-off, up to its retries, under a new number", func() {
			b.start(1, startOn("m1", "j", 0))
			b.do(&Plan{Epoch: 1, Ends: []End{{RunID: 1, Reason: "x"}}})
			task := &b.Jobs["j"].Tasks[0][0]
			So(task.Phase, ShouldEqual, state.TaskDue)
			So(task.DueAt.Sub(b.At), ShouldEqual, b.Bundle.Backoff.Min)
			So(b.start(1, startOn("m1", "j", 0)).RunIDs[0], ShouldEqual, 2)
			b.do(&Plan{Epoch: 1, Ends: []End{{RunID: 2, Reason: "x"}}})
			So(b.Jobs["j"].Phase, ShouldEqual, state.JobFailed)
			So(b.Jobs["j"].Reason, ShouldContainSubstring, "step a gave up: x")
		})
		Convey("a gang gets its tickets together or not at all", func() {
			one, two := startOn("m1", "j", 0), startOn("m1", "j", 1)
			one.Group, two.Group = 7, 7
			b.submit("k", state.StepSpec{Name: "a", Type: "t"})
			b.start(1, startOn("m1", "k", 0)) // leaves room for one of the two
			So(b.start(1, one, two).Refused, ShouldResemble, []string{"room", "room"})
			two.Worker = "m2"
			So(b.start(1, one, two).RunIDs, ShouldResemble, []uint64{2, 3})
		})
		Convey("the state comes back from its bytes as it was, and goes on the same", func() {
			b.start(1, startOn("m1", "j", 0))
			data, err := b.Encode()
			So(err, ShouldBeNil)
			back, err := state.Decode(data)
			So(err, ShouldBeNil)
			c := testState{back}
			for _, x := range []testState{b, c} {
				x.do(&Plan{Epoch: 1, Ends: []End{{RunID: 1, OK: true}}})
				x.do(&Cancel{Key: "j"})
			}
			one, _ := b.Encode()
			two, _ := c.Encode()
			So(string(one), ShouldEqual, string(two))
		})
	})
}

func TestInboxAndAges(t *testing.T) {
	Convey("the inbox is bounded, and a job sent again is the same job, also after it left the store", t, func() {
		b := newTestState()
		for _, key := range []string{"a", "b", "c"} {
			_, err := b.submit(key, state.StepSpec{Name: "s", Type: "t"})
			So(err, ShouldBeNil)
		}
		_, err := b.submit("d", state.StepSpec{Name: "s", Type: "t"})
		So(errs.KindOf(err), ShouldEqual, errs.Overloaded)
		again, err := b.submit("a", state.StepSpec{Name: "s", Type: "t"})
		So(err, ShouldBeNil)
		So(again.(Submitted).Fresh, ShouldBeFalse)
		_, err = b.do(&Submit{Spec: b.Jobs["a"].Spec, Digest: "other", Bound: 3})
		So(errs.KindOf(err), ShouldEqual, errs.Conflict)
		b.do(&Cancel{Key: "a"})
		So(b.Inbox, ShouldResemble, []string{"b", "c"})
		b.do(&Purge{JobsKeep: 0, TombstonesKeep: 1, TombstonesBefore: time.Unix(0, 0)})
		So(b.Jobs["a"], ShouldBeNil)
		again, err = b.submit("a", state.StepSpec{Name: "s", Type: "t"})
		So(err, ShouldBeNil)
		So(again.(Submitted).Phase, ShouldEqual, state.JobCancelled)
		_, err = b.do(&Submit{Spec: state.Spec{Key: "a"}, Digest: "other", Bound: 3})
		So(errs.KindOf(err), ShouldEqual, errs.Conflict)
		So(b.start(1).RunIDs, ShouldBeEmpty)
		So(b.AdmittedSeq, ShouldEqual, b.Seq)
		So(b.Inbox, ShouldBeEmpty)
	})
	Convey("under pressure each team keeps its share, and the last room is for urgent queues", t, func() {
		b := testState{state.New()}
		b.Bundle.Queues["now"] = state.Queue{Urgent: true}
		b.Bundle.Weights = map[string]int{"c": 2}
		submit := func(team, queue string, n int) (took int) {
			for i := range n {
				spec := state.Spec{Key: fmt.Sprint(team, queue, i, b.Index), Team: team, Queue: queue, Steps: []state.StepSpec{{Name: "s", Type: "t", Tasks: 1}}}
				if _, err := b.do(&Submit{Spec: spec, Digest: "d", Bound: 100}); err == nil {
					took++
				} else {
					So(errs.KindOf(err), ShouldEqual, errs.Overloaded)
				}
			}
			return took
		}
		So(submit("a", "default", 40), ShouldEqual, 40)
		So(submit("b", "default", 20), ShouldEqual, 20)
		So(submit("a", "default", 20), ShouldEqual, 10) // up to half of the bound, the share of one of two
		So(submit("c", "default", 90), ShouldEqual, 25) // its share of twice the weight would be 50: the reserve stops it
		So(submit("b", "default", 20), ShouldEqual, 0)
		So(submit("b", "now", 20), ShouldEqual, 5)
		So(b.OpenJobs(), ShouldEqual, 100)
		Convey("and a team's queue is cancelled in one call, a list likewise", func() {
			got, err := b.do(&CancelMany{Team: "b", Queue: "now"})
			So(err, ShouldBeNil)
			So(got, ShouldResemble, CancelledMany{Cancelled: 5})
			got, err = b.do(&CancelMany{Team: "b"})
			So(err, ShouldBeNil)
			So(got, ShouldResemble, CancelledMany{Cancelled: 20})
			So(b.OpenJobs(), ShouldEqual, 75)
			So(b.OpenJobsOf("b"), ShouldEqual, 0)
			var keys []string
			for key, j := range b.Jobs {
				if j.Spec.Team == "a" && len(keys) < 10 {
					keys = append(keys, key)
				}
			}
			got, err = b.do(&CancelMany{Keys: append(keys, "nobody", keys[0])})
			So(err, ShouldBeNil)
			So(got, ShouldResemble, CancelledMany{Cancelled: 10, Over: 1, Unknown: []string{"nobody"}})
			for _, bad := range []*CancelMany{{}, {Keys: keys, Team: "a"}} {
				_, err = b.do(bad)
				So(errs.KindOf(err), ShouldEqual, errs.Invalid)
			}
		})
	})
	Convey("an operator's order is applied once and answered the same for ever; its id is not another's", t, func() {
		b := newTestState()
		first, err := b.do(&EvacuateZone{Order: "o", Zone: "z1", Out: true})
		So(err, ShouldBeNil)
		b.do(&EvacuateZone{Order: "p", Zone: "z1"})
		again, err := b.do(&EvacuateZone{Order: "o", Zone: "z1", Out: true})
		So(err, ShouldBeNil)
		So(fmt.Sprint(again), ShouldEqual, fmt.Sprint(first))
		So(b.Evacuated, ShouldBeEmpty) // not applied a second time
		_, err = b.do(&EvacuateZone{Order: "o", Zone: "z2", Out: true})
		So(errs.KindOf(err), ShouldEqual, errs.Conflict)
	})
}

func TestEndBeforeNewIncarnation(t *testing.T) {
	Convey("An end that stands in one plan with its minion's new boot counts", t, func() {
		b := newTestState()
		b.submit("j", state.StepSpec{Name: "s", Type: "t"})
		b.start(1)
		runID := b.start(1, startOn("m1", "j", 0)).RunIDs[0]
		So(runID, ShouldNotEqual, 0)
		m := testWorker("m1")
		m.Incarnation = "b2"
		_, err := b.do(&Plan{Epoch: 1, Ends: []End{{RunID: runID, OK: true}}, Workers: []state.Worker{m}})
		So(err, ShouldBeNil)
		So(b.Jobs["j"].Tasks[0][0].Phase, ShouldEqual, state.TaskDone)
		So(b.Jobs["j"].Phase, ShouldEqual, state.JobDone)
	})
}

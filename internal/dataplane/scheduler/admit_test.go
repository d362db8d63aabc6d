package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/internalapi"
	"crosstide/internal/state"
)

func TestPlacement_oldestJobFirst(t *testing.T) {
	Convey("A task of an older job that becomes due again is placed before younger jobs of its class", t, func() {
		h := newHarness("check", "m1")
		h.registerWorkers("check")
		for n := range 5 {
			h.submit(fmt.Sprintf("j%d", n), state.StepSpec{Cores: 4, Retries: 3})
		}
		var started []string
		outcome := internalapi.OutcomeFailed // of the first run; all others succeed
		for calls := h.commitPlans(); len(started) < 6; calls = h.commitPlans() {
			if order := findOrder(calls); order != nil {
				s := order.Call.Starts[0]
				started = append(started, s.Job)
				end := internalapi.RunEnd{RunID: s.RunID, Outcome: outcome}
				h.answer(*order, "check", internalapi.LeaseAnswer{Ended: []internalapi.RunEnd{end}})
				outcome = internalapi.OutcomeOK
			}
			h.now += time.Second
			h.answerPolls("check", "", internalapi.LeaseAnswer{})
		}
		So(started, ShouldResemble, []string{"j0", "j1", "j0", "j2", "j3", "j4"})
	})
}

func TestClass_insertKeepsJobOrder(t *testing.T) {
	Convey("A class orders its tasks by the age of their jobs, and those of one job by arrival", t, func() {
		rnd := rand.New(rand.NewPCG(14, 1))
		cls, want := &class{}, []queuedTask(nil)
		for n := range 5000 {
			if rnd.IntN(9) < 5 {
				task := queuedTask{state.TaskRef{Task: n}, uint64(rnd.IntN(40))}
				at := slices.IndexFunc(want, func(e queuedTask) bool { return e.seq > task.seq })
				if at < 0 {
					at = len(want)
				}
				want = slices.Insert(want, at, task)
				cls.insert(task)
			} else if len(want) > 0 {
				want = want[1:]
				cls.head++
			}
			if !slices.Equal(cls.refs[cls.head:], want) {
				t.Fatalf("after %d steps: queue is %v, want %v", n, cls.refs[cls.head:], want)
			}
		}
		So(len(want), ShouldBeGreaterThan, 100)
	})
}

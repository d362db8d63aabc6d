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

func TestOldestJobFirst(t *testing.T) {
	Convey("A task of an older job that falls due again goes before the queue of its kind", t, func() {
		h := newHarness("check", "m1")
		h.greetWorkers("check")
		for n := range 5 {
			h.submit(fmt.Sprintf("j%d", n), state.StepSpec{Cores: 4, Retries: 3})
		}
		var began []string
		end := internalapi.OutcomeFailed // of the first run; all others end well
		for calls := h.commitPlans(); len(began) < 6; calls = h.commitPlans() {
			if o := findOrder(calls); o != nil {
				s := o.Call.Starts[0]
				began = append(began, s.Job)
				h.answer(*o, "check", internalapi.LeaseAnswer{Ended: []internalapi.RunEnd{{RunID: s.RunID, Outcome: end}}})
				end = internalapi.OutcomeOK
			}
			h.now += time.Second
			h.reply("check", "", internalapi.LeaseAnswer{})
		}
		So(began, ShouldResemble, []string{"j0", "j1", "j0", "j2", "j3", "j4"})
	})
}

func TestClassQueue(t *testing.T) {
	Convey("Tasks of a class stand by the age of their jobs, those of one job in the order they came, at any mix of putting and taking", t, func() {
		rnd := rand.New(rand.NewPCG(14, 1))
		k, want := &class{}, []queuedTask(nil)
		for n := range 5000 {
			if rnd.IntN(9) < 5 {
				q := queuedTask{state.TaskRef{Task: n}, uint64(rnd.IntN(40))}
				at := slices.IndexFunc(want, func(e queuedTask) bool { return e.seq > q.seq })
				if at < 0 {
					at = len(want)
				}
				want = slices.Insert(want, at, q)
				k.insert(q)
			} else if len(want) > 0 {
				want = want[1:]
				k.head++
			}
			if !slices.Equal(k.refs[k.head:], want) {
				t.Fatalf("after %d steps the queue is %v, not %v", n, k.refs[k.head:], want)
			}
		}
		So(len(want), ShouldBeGreaterThan, 100)
	})
}

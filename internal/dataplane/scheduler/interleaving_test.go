package scheduler

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/internalapi"
	"crosstide/internal/state"
)

// event is something that may happen after an order was sent.
type event struct {
	name string
	do   func(h *harness, w *workerModel)
}

// workerModel is the state of the worker: whether the order has arrived, and which runs were started and run now.
type workerModel struct {
	kind    string
	order   OutgoingCall
	arrived bool
	floor   uint64
	started map[uint64]int
	running map[uint64]bool
}

func (w *workerModel) listing() internalapi.LeaseAnswer {
	a := internalapi.LeaseAnswer{Floor: w.floor}
	for t := range w.running {
		a.Running = append(a.Running, t)
	}
	return a
}

// arrive carries the order out as a worker of the kind does.
func (w *workerModel) arrive(h *harness) {
	for _, s := range w.order.Call.Starts {
		late := h.now > s.LeaseUntil
		if w.kind == "check" {
			late = late || s.RunID <= w.floor || h.now > s.StartBy
		}
		if !late {
			w.started[s.RunID]++
			w.running[s.RunID] = true
		}
	}
	w.arrived = true
}

func permute(n int, do func(order []int)) {
	order := make([]int, n)
	var rec func(k int, used int)
	rec = func(k, used int) {
		if k == n {
			do(order)
			return
		}
		for i := range n {
			if used&(1<<i) == 0 {
				order[k] = i
				rec(k+1, used|1<<i)
			}
		}
	}
	rec(0, 0)
}

// TestStart_everyEventOrder tries, one by one, every order of: the order's arrival, the loss of its answer, a waiting
// call answered, a new leader, the passing of time. Whatever the order, the task is never running twice, and a second
// run ID is given only when the first can never run any more.
func TestStart_everyEventOrder(t *testing.T) {
	events := []event{
		{"arrive", func(h *harness, w *workerModel) { w.arrive(h) }},
		{"lost", func(h *harness, w *workerModel) { h.core.CallFailed(h.now, w.order, true) }},
		{"listing", func(h *harness, w *workerModel) { w.poll(h) }},
		{"listing", func(h *harness, w *workerModel) { w.poll(h) }},
		{"leader", func(h *harness, _ *workerModel) { h.lead() }},
		{"time", func(h *harness, _ *workerModel) { h.now += 3 * time.Second }},
	}
	for _, kind := range []string{"check", "obey"} {
		Convey("In every order of the events no task runs twice, on a worker of kind "+kind, t, func() {
			cases, seconds := 0, 0
			permute(len(events), func(seq []int) {
				h := newHarness(kind, "m1")
				h.greetWorkers(kind)
				h.submit("j", state.StepSpec{})
				calls := h.commitPlans()
				order := findOrder(calls)
				w := &workerModel{kind: kind, order: *order, started: map[uint64]int{}, running: map[uint64]bool{}}
				names := ""
				sent := h.now
				for _, i := range seq {
					names += events[i].name + " "
					// A worker that obeys may carry the order out late, up to its bound, and no later.
					if events[i].name == "arrive" && kind == "obey" && h.now-sent > DefaultConfig().Lateness {
						continue
					}
					events[i].do(h, w)
					for _, c := range h.commitPlans() {
						if len(c.Call.Starts) > 0 && c.Call.Starts[0].RunID != 1 {
							seconds++
							if w.running[1] {
								panic(fmt.Sprintf("%s: a second run ID while the first runs: %s", kind, names))
							}
							if !w.arrived && (kind == "check" || h.now-sent <= DefaultConfig().Lateness) {
								w.arrive(h) // the late order arrives now
								if w.running[1] {
									panic(fmt.Sprintf("%s: a late order started beside a second run ID: %s", kind, names))
								}
							}
						}
					}
				}
				cases++
			})
			So(cases, ShouldEqual, 720)
			So(seconds, ShouldBeGreaterThan, 0) // the case that matters did come up
		})
	}
}

// poll answers the poll in flight, as things are on the worker.
func (w *workerModel) poll(h *harness) {
	h.commitPlans()
	if c, ok := h.wait["m1"]; ok {
		delete(h.wait, "m1")
		w.floor = max(w.floor, c.Call.Floor)
		for _, s := range c.Call.Stops {
			delete(w.running, s.RunID)
		}
		h.answer(c, w.kind, w.listing())
	}
}

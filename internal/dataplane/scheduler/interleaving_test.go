package scheduler

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/internalapi"
	"crosstide/internal/state"
)

// event may happen at any time after an order was sent.
type event struct {
	name string
	run  func(h *harness, w *workerModel)
}

// workerModel is the state of a simulated worker: whether the order has arrived, and which runs were started or are
// running.
type workerModel struct {
	kind    string
	order   OutgoingCall
	arrived bool
	floor   uint64
	started map[uint64]int
	running map[uint64]bool
}

// listRuns returns an answer that lists the running runs.
func (w *workerModel) listRuns() internalapi.LeaseAnswer {
	a := internalapi.LeaseAnswer{Floor: w.floor}
	for runID := range w.running {
		a.Running = append(a.Running, runID)
	}
	return a
}

// receiveOrder executes the order as a worker of its kind does.
func (w *workerModel) receiveOrder(h *harness) {
	for _, s := range w.order.Call.Starts {
		isInvalid := h.now > s.LeaseUntil
		if w.kind == "check" {
			isInvalid = isInvalid || s.RunID <= w.floor || h.now > s.StartBy
		}
		if !isInvalid {
			w.started[s.RunID]++
			w.running[s.RunID] = true
		}
	}
	w.arrived = true
}

// permute calls visit with each permutation of the integers from 0 to n-1. visit must not keep the slice.
func permute(n int, visit func(order []int)) {
	order := make([]int, n)
	var extend func(k int, used int)
	extend = func(k, used int) {
		if k == n {
			visit(order)
			return
		}
		for i := range n {
			if used&(1<<i) == 0 {
				order[k] = i
				extend(k+1, used|1<<i)
			}
		}
	}
	extend(0, 0)
}

// TestStart_everyEventOrder runs every permutation of these events: the start order arrives, its answer is lost, a
// poll is answered (twice), the leader changes, time passes. It guards against two runs of a task at a time: a second
// run ID must be assigned only when the first run can no longer execute.
func TestStart_everyEventOrder(t *testing.T) {
	events := []event{
		{"arrive", func(h *harness, w *workerModel) { w.receiveOrder(h) }},
		{"lost", func(h *harness, w *workerModel) { h.core.CallFailed(h.now, w.order, true) }},
		{"listing", func(h *harness, w *workerModel) { w.poll(h) }},
		{"listing", func(h *harness, w *workerModel) { w.poll(h) }},
		{"leader", func(h *harness, _ *workerModel) { h.changeLeader() }},
		{"time", func(h *harness, _ *workerModel) { h.now += 3 * time.Second }},
	}
	for _, kind := range []string{"check", "obey"} {
		Convey("In every order of the events no task runs twice, on a worker of kind "+kind, t, func() {
			permutations, secondRunIDs := 0, 0
			permute(len(events), func(seq []int) {
				h := newHarness(kind, "m1")
				h.registerWorkers(kind)
				h.submit("j", state.StepSpec{})
				calls := h.commitPlans()
				order := findOrder(calls)
				w := &workerModel{kind: kind, order: *order, started: map[uint64]int{}, running: map[uint64]bool{}}
				history := ""
				sentAt := h.now
				for _, i := range seq {
					history += events[i].name + " "
					// A worker of kind obey may execute the order late, by at most Config.MaxOrderDelay.
					if events[i].name == "arrive" && kind == "obey" && h.now-sentAt > DefaultConfig().MaxOrderDelay {
						continue
					}
					events[i].run(h, w)
					for _, c := range h.commitPlans() {
						if len(c.Call.Starts) > 0 && c.Call.Starts[0].RunID != 1 {
							secondRunIDs++
							if w.running[1] {
								panic(fmt.Sprintf("%s: second run ID while the first run executes: %s", kind, history))
							}
							if !w.arrived && (kind == "check" || h.now-sentAt <= DefaultConfig().MaxOrderDelay) {
								w.receiveOrder(h) // the late order arrives now
								if w.running[1] {
									panic(fmt.Sprintf("%s: late order executed beside a second run ID: %s", kind, history))
								}
							}
						}
					}
				}
				permutations++
			})
			So(permutations, ShouldEqual, 720)
			So(secondRunIDs, ShouldBeGreaterThan, 0) // otherwise no check above was reached
		})
	}
}

// poll answers the poll in flight with the current state of the worker.
func (w *workerModel) poll(h *harness) {
	h.commitPlans()
	if c, ok := h.polls["m1"]; ok {
		delete(h.polls, "m1")
		w.floor = max(w.floor, c.Call.Floor)
		for _, s := range c.Call.Stops {
			delete(w.running, s.RunID)
		}
		h.answer(c, w.kind, w.listRuns())
	}
}

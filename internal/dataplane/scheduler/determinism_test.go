package scheduler

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/internalapi"
	"crosstide/internal/state"
)

// The tables are maps; what a core does must not hang on the order in which they are walked.
func TestSameInputsSamePlans(t *testing.T) {
	Convey("A fresh holder takes the oldest due task first, every time the same way", t, func() {
		var plans [8]string
		for i := range plans {
			d := newHarness("check", "m1", "m2", "m3")
			for n := range 20 {
				d.submit(fmt.Sprintf("j%d", (n*7)%20), state.StepSpec{})
			}
			d.commitPlans()
			d.lead()
			d.core.Pass(d.now)
			d.core.Reset(d.now, d.st)
			for _, m := range []string{"m1", "m2", "m3"} {
				rec := *d.st.Workers[m]
				rec.Incarnation, rec.Cores = "b1", 4
				d.st.Workers[m] = &rec
			}
			for _, c := range d.core.Pass(d.now).Calls {
				d.answer(c, "check", internalapi.LeaseAnswer{Zone: "z1"})
			}
			for {
				out := d.core.Pass(d.now)
				if out.Plan == nil {
					break
				}
				raw, err := json.Marshal(out.Plan)
				So(err, ShouldBeNil)
				plans[i] += string(raw)
				for k, s := range out.Plan.Starts {
					So(s.Ref.Job, ShouldEqual, fmt.Sprintf("j%d", (k*7)%20))
				}
				d.commit(out.Plan)
			}
			So(plans[i], ShouldNotBeEmpty)
			So(plans[i], ShouldEqual, plans[0])
		}
	})
}

func TestOldestJobFirst(t *testing.T) {
	Convey("A task of an older job that falls due again goes before the queue of its kind", t, func() {
		d := newHarness("check", "m1")
		d.greetWorkers("check")
		for n := range 5 {
			d.submit(fmt.Sprintf("j%d", n), state.StepSpec{Cores: 4, Retries: 3})
		}
		var began []string
		end := internalapi.OutcomeFailed // of the first run; all others end well
		for calls := d.commitPlans(); len(began) < 6; calls = d.commitPlans() {
			if o := findOrder(calls); o != nil {
				s := o.Call.Starts[0]
				began = append(began, s.Job)
				d.answer(*o, "check", internalapi.LeaseAnswer{Ended: []internalapi.RunEnd{{RunID: s.RunID, Outcome: end}}})
				end = internalapi.OutcomeOK
			}
			d.now += time.Second
			d.reply("check", "", internalapi.LeaseAnswer{})
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

package scheduler

import (
	"encoding/json"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/internalapi"
	"crosstide/internal/state"
)

// Guards against plans that depend on the iteration order of the maps in which a Core keeps its records.
func TestPlan_sameInputsSamePlan(t *testing.T) {
	Convey("A new leader places the oldest due task first, and equal inputs give equal plans", t, func() {
		var plans [8]string
		for i := range plans {
			h := newHarness("check", "m1", "m2", "m3")
			for n := range 20 {
				h.submit(fmt.Sprintf("j%d", (n*7)%20), state.StepSpec{})
			}
			h.commitPlans()
			h.changeLeader()
			h.core.Pass(h.now)
			h.core.Reset(h.now, h.st)
			for _, name := range []string{"m1", "m2", "m3"} {
				rec := *h.st.Workers[name]
				rec.Incarnation, rec.Cores = "b1", 4
				h.st.Workers[name] = &rec
			}
			for _, c := range h.core.Pass(h.now).Calls {
				h.answer(c, "check", internalapi.LeaseAnswer{Zone: "z1"})
			}
			for {
				actions := h.core.Pass(h.now)
				if actions.Plan == nil {
					break
				}
				raw, err := json.Marshal(actions.Plan)
				So(err, ShouldBeNil)
				plans[i] += string(raw)
				for k, s := range actions.Plan.Starts {
					So(s.Ref.Job, ShouldEqual, fmt.Sprintf("j%d", (k*7)%20))
				}
				h.commit(actions.Plan)
			}
			So(plans[i], ShouldNotBeEmpty)
			So(plans[i], ShouldEqual, plans[0])
		}
	})
}

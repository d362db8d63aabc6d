package scheduler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

func TestSelectNode(t *testing.T) {
	Convey("The node of least cost is selected; among equal ones, the better one for the unit's kind of work", t, func() {
		free := func(cores, gpus int) jobs.Resources { return jobs.Resources{MilliCPU: 1000 * cores, GPUs: gpus} }
		at := func(id string, slowdown float64, free jobs.Resources, labels ...string) *node {
			return &node{record: &jobs.Worker{ID: id, Labels: labels}, free: free, slowdown: slowdown}
		}
		reserved := at("reserved", 0.5, free(9, 0))
		reserved.reserved = true
		core := jobs.Step{Needs: free(1, 0)}
		gpu := jobs.Step{Needs: free(1, 1)}
		longRunning := jobs.Step{Needs: free(1, 0), LongRunning: true}
		nearRack := jobs.Step{Needs: free(1, 0), PreferredRack: "r"}
		labelled := jobs.Step{Needs: free(1, 0), Label: "fast-disk"}
		for _, c := range []struct {
			name     string
			step     jobs.Step
			priority int
			nodes    []*node
			avoid    string
			want     string
		}{
			{"urgent work takes the fastest", core, 0,
				[]*node{at("a", 1, free(4, 0)), at("b", 0.5, free(1, 0))}, "", "b"},
			{"work of lower priority takes the emptiest", core, 1,
				[]*node{at("a", 0.5, free(1, 0)), at("b", 1, free(4, 0))}, "", "b"},
			{"long-running work takes the slower one", longRunning, 0,
				[]*node{at("a", 0.5, free(4, 0)), at("b", 1, free(1, 0))}, "", "b"},
			{"but none that is too slow", longRunning, 0,
				[]*node{at("a", 1, free(1, 0)), at("b", 2.5, free(4, 0))}, "", "a"},
			{"speeds that hardly differ count as equal", core, 0,
				[]*node{at("a", 0.99, free(1, 0)), at("b", 1.01, free(2, 0))}, "", "b"},
			{"work on accelerators takes the fullest", gpu, 0,
				[]*node{at("a", 1, free(4, 4)), at("b", 1, free(4, 1))}, "", "b"},
			{"of equal nodes the first", core, 0,
				[]*node{at("a", 1, free(4, 0)), at("b", 1, free(4, 0))}, "", "a"},
			{"the rack of its data", nearRack, 0,
				[]*node{at("a", 1, free(4, 0)), at("b", 1, free(1, 0), "r")}, "", "b"},
			{"another rack if that is far faster", nearRack, 0,
				[]*node{at("a", 0.5, free(4, 0)), at("b", 1, free(1, 0), "r")}, "", "a"},
			{"not the worker to avoid", core, 1,
				[]*node{at("a", 1, free(4, 0)), at("b", 1, free(1, 0))}, "a", "b"},
			{"which is better than none", core, 1,
				[]*node{at("a", 1, free(4, 0)), at("b", 1, free(0, 0))}, "a", "a"},
			{"none that is reserved", core, 0,
				[]*node{reserved, at("b", 1, free(1, 0))}, "", "b"},
			{"none without the label", labelled, 0,
				[]*node{at("a", 1, free(4, 0)), at("b", 1, free(1, 0), "fast-disk")}, "", "b"},
			{"none if none has enough free", gpu, 0,
				[]*node{at("a", 1, free(4, 0))}, "", ""},
		} {
			Convey(c.name, func() {
				u := &unit{job: &jobs.Job{}, step: &c.step, queue: &jobs.Queue{Priority: c.priority}}
				selected := (&placement{core: New(Defaults())}).selectNode(u, c.nodes, c.avoid)
				if c.want == "" {
					So(selected, ShouldBeNil)
					return
				}
				So(selected, ShouldNotBeNil)
				So(selected.record.ID, ShouldEqual, c.want)
			})
		}
	})
}

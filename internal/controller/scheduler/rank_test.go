package scheduler

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

func TestSelectNode(t *testing.T) {
	Convey("The node with the lowest cost is selected, and among equal ones the node that prefersNode prefers", t, func() {
		free := func(cores, gpus int) jobs.Resources { return jobs.Resources{MilliCPU: 1000 * cores, GPUs: gpus} }
		newNode := func(id string, slowdown float64, free jobs.Resources, labels ...string) *node {
			return &node{record: &jobs.Worker{ID: id, Labels: labels}, free: free, slowdown: slowdown}
		}
		reserved := newNode("reserved", 0.5, free(9, 0))
		reserved.reserved = true
		core := jobs.Step{Needs: free(1, 0)}
		gpu := jobs.Step{Needs: free(1, 1)}
		longRunning := jobs.Step{Needs: free(1, 0), LongRunning: true}
		nearRack := jobs.Step{Needs: free(1, 0), PreferredRack: "r"}
		labelled := jobs.Step{Needs: free(1, 0), Label: "fast-disk"}
		for _, tt := range []struct {
			name     string
			step     jobs.Step
			priority int
			nodes    []*node
			avoid    string
			want     string
		}{
			{"urgent work gets the fastest node", core, 0,
				[]*node{newNode("a", 1, free(4, 0)), newNode("b", 0.5, free(1, 0))}, "", "b"},
			{"work of lower priority gets the emptiest node", core, 1,
				[]*node{newNode("a", 0.5, free(1, 0)), newNode("b", 1, free(4, 0))}, "", "b"},
			{"long-running work gets the slower node", longRunning, 0,
				[]*node{newNode("a", 0.5, free(4, 0)), newNode("b", 1, free(1, 0))}, "", "b"},
			{"long-running work avoids a node that is too slow", longRunning, 0,
				[]*node{newNode("a", 1, free(1, 0)), newNode("b", 2.5, free(4, 0))}, "", "a"},
			{"speeds that round to the same value count as equal", core, 0,
				[]*node{newNode("a", 0.99, free(1, 0)), newNode("b", 1.01, free(2, 0))}, "", "b"},
			{"work on accelerators gets the fullest node", gpu, 0,
				[]*node{newNode("a", 1, free(4, 4)), newNode("b", 1, free(4, 1))}, "", "b"},
			{"of equal nodes the first is selected", core, 0,
				[]*node{newNode("a", 1, free(4, 0)), newNode("b", 1, free(4, 0))}, "", "a"},
			{"a node in the preferred rack is selected", nearRack, 0,
				[]*node{newNode("a", 1, free(4, 0)), newNode("b", 1, free(1, 0), "r")}, "", "b"},
			{"a far faster node in another rack is selected", nearRack, 0,
				[]*node{newNode("a", 0.5, free(4, 0)), newNode("b", 1, free(1, 0), "r")}, "", "a"},
			{"the worker to avoid is not selected", core, 1,
				[]*node{newNode("a", 1, free(4, 0)), newNode("b", 1, free(1, 0))}, "a", "b"},
			{"the worker to avoid is selected if no other has capacity", core, 1,
				[]*node{newNode("a", 1, free(4, 0)), newNode("b", 1, free(0, 0))}, "a", "a"},
			{"a reserved node is not selected", core, 0,
				[]*node{reserved, newNode("b", 1, free(1, 0))}, "", "b"},
			{"a node without the label is not selected", labelled, 0,
				[]*node{newNode("a", 1, free(4, 0)), newNode("b", 1, free(1, 0), "fast-disk")}, "", "b"},
			{"no node is selected if none has enough free capacity", gpu, 0,
				[]*node{newNode("a", 1, free(4, 0))}, "", ""},
		} {
			Convey(tt.name, func() {
				u := &unit{job: &jobs.Job{}, step: &tt.step, queue: &jobs.Queue{Priority: tt.priority}}
				selected := (&placement{core: New(Defaults())}).selectNode(u, tt.nodes, tt.avoid)
				if tt.want == "" {
					So(selected, ShouldBeNil)
					return
				}
				So(selected, ShouldNotBeNil)
				So(selected.record.ID, ShouldEqual, tt.want)
			})
		}
	})
}

package rehearsal

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
	"crosstide/internal/testbed/faults"
	"crosstide/internal/testbed/fleet"
)

func TestSelectScenarios(t *testing.T) {
	Convey("Cases are selected in the order of the given keys; without keys all are selected", t, func() {
		all, err := selectScenarios(nil)
		So(err, ShouldBeNil)
		So(len(all), ShouldEqual, strings.Count(DescribeCases(), "\n"))
		some, err := selectScenarios([]string{" d", "a"})
		So(err, ShouldBeNil)
		So(some[0].key+some[1].key, ShouldEqual, "da")
		So(errs.KindOf(CheckCases([]string{"a", "zz"})), ShouldEqual, errs.Settings)
	})
}

func TestPickWorkers(t *testing.T) {
	Convey("One worker of each kind is picked, or two workers if all are of one kind", t, func() {
		run := &caseRun{Target: &faults.Target{Nodes: fleet.Nodes{Workers: []fleet.Node{
			{Name: "m1", Kind: "check"}, {Name: "m2", Kind: "check"}, {Name: "m3", Kind: "obey"}, {Name: "m4", Kind: "obey"}}}}}
		So(run.pickWorkers(0), ShouldResemble, []string{"m1", "m3"})
		So(run.pickWorkers(2), ShouldResemble, []string{"m3", "m4"})
		So(run.pickWorkers(9), ShouldBeEmpty)
	})
}

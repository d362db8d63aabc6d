package endtoend

import (
	"context"
	"path/filepath"
	"slices"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/config"
	"crosstide/internal/errs"
)

func TestPlan(t *testing.T) {
	Convey("The daemons accept the settings of a plan, and every process has a command line", t, func() {
		dir := t.TempDir()
		plan, err := NewPlan(dir, "/bin/of", Size{ControlPlanes: 3, DataPlanes: 2, Workers: 4})
		So(err, ShouldBeNil)
		var names []string
		for _, line := range plan.CommandLines {
			names = append(names, line.Name)
			settings := filepath.Join(dir, "settings", line.Name+".json")
			switch filepath.Base(line.Args[0]) {
			case "crosstide-controlplane":
				set, err := config.LoadJobsControlPlane(settings)
				So(err, ShouldBeNil)
				So(slices.Contains(plan.ControlAddrs, set.Control), ShouldBeTrue)
				So([]any{plan.NamesByAddr[set.Addr], len(set.Members)}, ShouldResemble, []any{line.Name, 3})
			case "crosstide-dataplane":
				set, err := config.LoadJobsDataPlane(settings)
				So(err, ShouldBeNil)
				So(slices.Contains(plan.FrontAddrs, set.Addr), ShouldBeTrue)
			}
		}
		So(names, ShouldResemble, []string{"c1", "c2", "c3", "d1", "d2", "w1", "w2", "w3", "w4"})
		_, err = NewPlan(dir, "/bin/of", Size{ControlPlanes: 3, DataPlanes: 2, Workers: 4})
		So(errs.KindOf(err), ShouldEqual, errs.Conflict)
		_, err = NewPlan(t.TempDir(), "/bin/of", Size{ControlPlanes: 3, DataPlanes: 2, Workers: 3})
		So(errs.KindOf(err), ShouldEqual, errs.Invalid)
	})
}

func TestProcesses(t *testing.T) {
	Convey("Processes are started, signalled, awaited, restarted and stopped", t, func() {
		plan := Plan{Dir: t.TempDir(), CommandLines: []CommandLine{{Name: "a", Args: []string{"/bin/sleep", "1000"}}}}
		_, err := Start(plan)
		So(errs.KindOf(err), ShouldEqual, errs.Disk) // the log directory is missing
		plan, err = NewPlan(t.TempDir(), "/bin/of", Size{ControlPlanes: 1, DataPlanes: 1, Workers: 4})
		So(err, ShouldBeNil)
		plan.CommandLines = []CommandLine{{Name: "a", Args: []string{"/bin/sleep", "1000"}}}
		processes, err := Start(plan)
		So(err, ShouldBeNil)
		defer processes.Stop()
		ctx := context.Background()
		So(errs.KindOf(processes.Signal("b", syscall.SIGTERM)), ShouldEqual, errs.Unknown)
		So(errs.KindOf(processes.Launch("b")), ShouldEqual, errs.Unknown)
		So(processes.Signal("a", syscall.SIGKILL), ShouldBeNil)
		So(processes.Wait(ctx, "a"), ShouldBeTrue)
		So(processes.Launch("a"), ShouldBeNil)
		ended, cancel := context.WithCancel(ctx)
		cancel()
		So(processes.Wait(ended, "a"), ShouldBeFalse)
	})
}

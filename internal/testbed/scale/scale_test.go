package scale

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
)

func TestRows(t *testing.T) {
	Convey("Rows hold means per process, and per worker for shared workers", t, func() {
		before := Snapshot{Procs: map[string]Reading{
			"c1": {Role: Follower, Count: 1}, "c2": {Role: Leader, Count: 1}, "c3": {Role: Follower, Count: 1},
			"d1": {Role: SchedulerLeader, Count: 1}, "h1": {Role: SharedWorker, Count: 50}}}
		after := Snapshot{At: 10 * time.Second, Busy: 20, Loop: 1e6, Procs: map[string]Reading{
			"c1": {Role: Follower, Count: 1, CPU: time.Second, RSS: 4e6, Syncs: 100},
			"c2": {Role: Leader, Count: 1, CPU: 2 * time.Second},
			"c3": {Role: Follower, Count: 1, CPU: 3 * time.Second, RSS: 2e6},
			"d1": {Role: SchedulerLeader, Count: 1, RunIDs: 500, RunIDsInUse: 7},
			"h1": {Role: SharedWorker, Count: 50, Stream: 1e6, Msgs: 500}}}
		rows, err := Rows(before, after, Step{Workers: 50, Offered: 60})
		So(err, ShouldBeNil)
		So(len(rows), ShouldEqual, 4)
		So(rows[1], ShouldResemble, Row{Step: Step{Workers: 50, Offered: 60, Starts: 50, Running: 7, Cores: 2, LoopKB: 100},
			Role: Follower, Procs: 2, CPU: 20, MB: 3, Syncs: 5})
		So(rows[3].SocketKB, ShouldEqual, 2)
		So(rows[3].Msgs, ShouldEqual, 1)
		Convey("rows survive a round trip through CSV and can be plotted", func() {
			path := filepath.Join(t.TempDir(), "a.csv")
			So(AppendRows(path, rows[:1]), ShouldBeNil)
			So(AppendRows(path, rows[1:]), ShouldBeNil)
			readBack, err := ReadRows(path)
			So(err, ShouldBeNil)
			So(readBack, ShouldResemble, rows)
			So(Plot(path+".png", readBack), ShouldBeNil)
			info, err := os.Stat(path + ".png")
			So(err, ShouldBeNil)
			So(info.Size(), ShouldBeGreaterThan, 1000)
			So(errs.KindOf(Plot(path, nil)), ShouldEqual, errs.Invalid)
		})
		Convey("a restarted process is an error", func() {
			_, err := Rows(after, before, Step{})
			So(errs.KindOf(err), ShouldEqual, errs.Unknown)
		})
	})
	Convey("fitLine returns the base and slope, and refuses points with a single x", t, func() {
		base, slope, ok := fitLine([]float64{1, 2, 3}, []float64{3, 5, 7})
		So([]any{base, slope, ok}, ShouldResemble, []any{1.0, 2.0, true})
		_, _, ok = fitLine([]float64{1, 1, 1}, []float64{3, 5, 7})
		So(ok, ShouldBeFalse)
	})
}

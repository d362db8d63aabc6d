package jobs

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
)

func TestProgress_ofAnotherTerm(t *testing.T) {
	Convey("Progress whose term differs from its entry's or is older than the table's is refused", t, func() {
		table := testTable()
		table.mustSubmit(testJob("j", oneCore(1)))
		table.start()
		before := table.bytes()
		starts := []Start{startOf(taskOf("j", 0, 0), 1, "w1")}
		for _, terms := range []struct{ entry, progress uint64 }{
			{testTerm, testTerm + 1}, {testTerm + 1, testTerm}, {testTerm - 1, testTerm - 1},
		} {
			progress := Progress{Term: terms.progress, Starts: starts, RemoveWorkers: []string{"w2"}}
			started, err := table.Progress(terms.entry, progress)
			So(err, shouldBeKind, errs.Stale)
			So(started.Recorded, ShouldBeEmpty)
			So(table.bytes(), ShouldEqual, before)
		}
		_, err := table.Progress(testTerm+2, Progress{Term: testTerm + 2, Starts: starts})
		So(err, ShouldBeNil)
		So(table.Term, ShouldEqual, testTerm+2)
		So(table.Jobs["j"].Rounds[0][0][0].Handles, ShouldResemble, []Handle{{Number: 1, Worker: "w1", Term: testTerm + 2}})
	})
}

package jobs

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestEarlyCancel guards against a job that runs although its cancellation was acknowledged before its submission was
// applied.
func TestEarlyCancel(t *testing.T) {
	cancel := Cancel{ID: "j", At: noon, Remember: true}
	Convey("Given the cancellation of an ID without a job", t, func() {
		table := testTable()
		state, err := table.Cancel(cancel)
		So([]any{state, err}, ShouldResemble, []any{JobState(""), nil})
		Convey("no job is shown under the ID", func() { So(table.Jobs["j"], ShouldBeNil) })
		Convey("a repetition changes nothing", func() {
			before := table.bytes()
			_, err := table.Cancel(Cancel{ID: "j", At: noon.Add(time.Second), Remember: true})
			So(err, ShouldBeNil)
			So(table.bytes(), ShouldEqual, before)
		})
		Convey("a submission is accepted as a cancelled job, also by a copy of the table", func() {
			for _, each := range []*Table{table.decodedCopy(), table} {
				submit := testJob("j", oneCore(1))
				submit.At = noon.Add(time.Second)
				for range 2 {
					state, err := each.Submit(submit)
					So([]any{state, err}, ShouldResemble, []any{Cancelled, nil})
				}
				So(each.start(startOf(taskOf("j", 0, 0), 1, "w1")), ShouldResemble, []bool{false})
				So(each.QueuedCount("plain"), ShouldEqual, 0)
				So(each.EarlyCancels, ShouldBeEmpty)
				each.Purge(noon.Add(time.Hour))
				So(each.Jobs["j"], ShouldBeNil)
			}
		})
		Convey("other jobs are not affected", func() {
			So(table.mustSubmit(testJob("k", oneCore(1))).State, ShouldEqual, Queued)
		})
		Convey("it is kept as long as an ended job", func() {
			table.Purge(noon)
			So(table.EarlyCancels, ShouldHaveLength, 1)
			table.Purge(noon.Add(1))
			So(table.EarlyCancels, ShouldBeEmpty)
			So(table.mustSubmit(testJob("j", oneCore(1))).State, ShouldEqual, Queued)
		})
	})
	Convey("Beyond their limit, the oldest cancellations are dropped", t, func() {
		table := testTable()
		for i := range maxEarlyCancels + 2 {
			_, err := table.Cancel(Cancel{ID: fmt.Sprint(i), At: noon, Remember: true})
			must(err)
		}
		So(table.EarlyCancels, ShouldHaveLength, maxEarlyCancels)
		So([]bool{table.isCancelledEarly("1"), table.isCancelledEarly("2")}, ShouldResemble, []bool{false, true})
	})
}

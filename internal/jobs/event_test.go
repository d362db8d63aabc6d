package jobs

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestEvents(t *testing.T) {
	Convey("Each change is one event, after it was made, and nothing else is", t, func() {
		table := testTable()
		var notes []Event
		table.OnEvent = func(n Event) { notes = append(notes, n) }
		notified := func() []Event {
			out := notes
			notes = nil
			return out
		}
		table.mustSubmit(testJob("j", oneCore(2)))
		So(notified(), ShouldResemble, []Event{{JobChanged, "j"}})
		table.mustSubmit(testJob("j", oneCore(2)))
		So(notified(), ShouldBeEmpty)
		a, b := startOf(taskOf("j", 0, 0), 1, "w1"), startOf(taskOf("j", 0, 1), 1, "w1")
		table.start(a, b)
		So(notified(), ShouldResemble, []Event{{JobChanged, "j"}})
		table.start(a)
		table.end(endOf(startOf(taskOf("j", 0, 0), 9, "w1"), EndDone))
		So(notified(), ShouldBeEmpty)
		must(table.Register(Register{Workers: []Worker{testWorker("w1", "open"), testWorker("w3", "open")}}))
		So(notified(), ShouldResemble, []Event{{WorkerChanged, "w3"}})
		_, err := table.Progress(testTerm, Progress{Term: testTerm, Forget: []string{"w1", "w3", "w9"}})
		So(err, ShouldBeNil)
		So(notified(), ShouldResemble, []Event{{WorkerGone, "w3"}})
		table.Evacuate(Evacuate{Zone: "zone-1", Start: true})
		table.Evacuate(Evacuate{Zone: "zone-1", Start: true})
		So(notified(), ShouldResemble, []Event{{ZonesChanged, "zone-1"}})
		must(table.Configure(testConfig()))
		So(notified(), ShouldBeEmpty)
		must(table.Configure(Configure{Base: 5, Version: 6}))
		So(notified(), ShouldResemble, []Event{{ConfigChanged, ""}})
		_, err = table.Cancel(Cancel{ID: "j", At: noon})
		So(err, ShouldBeNil)
		table.end(endOf(a, EndStopped), endOf(b, EndStopped))
		table.Purge(noon.Add(time.Hour))
		So(notified(), ShouldResemble, []Event{{JobChanged, "j"}, {JobChanged, "j"}, {JobChanged, "j"}})
	})
}

package jobs

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestEvents(t *testing.T) {
	Convey("OnEvent is called once after each change, and not for a call that changes nothing", t, func() {
		table := testTable()
		var events []Event
		table.OnEvent = func(event Event) { events = append(events, event) }
		takeEvents := func() []Event {
			newEvents := events
			events = nil
			return newEvents
		}
		table.mustSubmit(testJob("j", oneCore(2)))
		So(takeEvents(), ShouldResemble, []Event{{JobChanged, "j"}})
		table.mustSubmit(testJob("j", oneCore(2)))
		So(takeEvents(), ShouldBeEmpty)
		first, second := startOf(taskOf("j", 0, 0), 1, "w1"), startOf(taskOf("j", 0, 1), 1, "w1")
		table.start(first, second)
		So(takeEvents(), ShouldResemble, []Event{{JobChanged, "j"}})
		table.start(first)
		table.end(endOf(startOf(taskOf("j", 0, 0), 9, "w1"), EndDone))
		So(takeEvents(), ShouldBeEmpty)
		table.Register(Register{Workers: []Worker{testWorker("w1", "open"), testWorker("w3", "open")}})
		So(takeEvents(), ShouldResemble, []Event{{WorkerChanged, "w3"}})
		_, err := table.Progress(testTerm, Progress{Term: testTerm, RemoveWorkers: []string{"w1", "w3", "w9"}})
		So(err, ShouldBeNil)
		So(takeEvents(), ShouldResemble, []Event{{WorkerGone, "w3"}})
		table.Evacuate(Evacuate{Zone: "zone-1", Start: true})
		table.Evacuate(Evacuate{Zone: "zone-1", Start: true})
		So(takeEvents(), ShouldResemble, []Event{{ZonesChanged, "zone-1"}})
		must(table.Configure(testConfig()))
		So(takeEvents(), ShouldBeEmpty)
		must(table.Configure(Configure{Base: 5, Version: 6}))
		So(takeEvents(), ShouldResemble, []Event{{ConfigChanged, ""}})
		_, err = table.Cancel(Cancel{ID: "j", At: noon})
		So(err, ShouldBeNil)
		table.end(endOf(first, EndStopped), endOf(second, EndStopped))
		table.Purge(noon.Add(time.Hour))
		So(takeEvents(), ShouldResemble, []Event{{JobChanged, "j"}, {JobChanged, "j"}, {JobChanged, "j"}})
	})
}

package jobsapi

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/controller"
	"crosstide/internal/errs"
	"crosstide/internal/jobs"
)

// heartbeatJSON returns the JSON of a heartbeat without the field state, with fields appended to it.
func heartbeatJSON(fields string) string {
	return `{"sequence":7,"clock":5,"address":"10.0.0.1:7300","service":"s","zone":"z",` +
		`"capacity":{"milli_cpu":1000,"memory_mb":512}` + fields + `}`
}

const readyHeartbeat = `{"state":"ready","sequence":1,"clock":5,"address":"10.0.0.1:7300","service":"s","zone":"z",` +
	`"capacity":{"milli_cpu":1,"memory_mb":1}}`

// changed returns readyHeartbeat with old, which must occur in it exactly once, replaced.
func changed(old, replacement string) string {
	So(strings.Count(readyHeartbeat, old), ShouldEqual, 1)
	return strings.Replace(readyHeartbeat, old, replacement, 1)
}

func TestParseHeartbeat(t *testing.T) {
	Convey("A heartbeat is parsed", t, func() {
		call, err := parseHeartbeat("w1", []byte(heartbeatJSON(`,"state":"draining","remaining":9,"rack":"r1",`+
			`"labels":["ssd","big"]`)))
		So(err, ShouldBeNil)
		So(call, ShouldResemble, controller.HeartbeatCall{Sequence: 7, Clock: 5 * time.Nanosecond, Remaining: 9,
			Worker: jobs.Worker{
				ID: "w1", Address: "10.0.0.1:7300", Service: "s", Zone: "z", Rack: "r1", Labels: []string{"ssd", "big"},
				Capacity: jobs.Resources{MilliCPU: 1000, MemoryMB: 512}, Draining: true}})
	})
	Convey("A worker that leaves needs to send only its state", t, func() {
		call, err := parseHeartbeat("w1", []byte(`{"state":"leaving"}`))
		So([]any{call.Leaving, call.Worker.ID, err}, ShouldResemble, []any{true, "w1", nil})
	})
	Convey("An invalid body is rejected with the name of its field", t, func() {
		parse := func(body []byte) error {
			_, err := parseHeartbeat("w1", body)
			return errs.Pass(err, "heartbeat")
		}
		checkCases(parse, []parseCase{
			{heartbeatJSON(`,"state":"ready"`), "", ""},
			{`no`, errs.Malformed, ""},
			{heartbeatJSON(``), errs.Invalid, "state"},
			{heartbeatJSON(`,"state":"asleep"`), errs.Invalid, "state"},
			{heartbeatJSON(`,"state":"ready","mood":1`), errs.Invalid, "mood"},
			{heartbeatJSON(`,"state":"ready","sequence":1`), errs.Invalid, "sequence"},
			{`{"state":"ready"}`, errs.Invalid, "sequence"},
			{heartbeatJSON(`,"state":"ready","rack":7`), errs.Invalid, "rack"},
			{heartbeatJSON(`,"state":"ready","labels":"ssd"`), errs.Invalid, "labels"},
			{heartbeatJSON(`,"state":"ready","labels":["s s"]`), errs.Invalid, "labels[0]"},
			{heartbeatJSON(`,"state":"draining","remaining":-1`), errs.Invalid, "remaining"},
			{changed(`"sequence":1`, `"sequence":0`), errs.Invalid, "sequence"},
			{changed(`"clock":5`, `"clock":"5s"`), errs.Invalid, "clock"},
			{changed(`"10.0.0.1:7300"`, `"here"`), errs.Invalid, "address"},
			{changed(`"service":"s"`, `"service":""`), errs.Invalid, "service"},
			{changed(`"milli_cpu":1,`, ``), errs.Invalid, "capacity.milli_cpu"},
			{changed(`"milli_cpu":1`, `"milli_cpu":-1`), errs.Invalid, "capacity.milli_cpu"},
			{changed(`{"milli_cpu":1,"memory_mb":1}`, `[]`), errs.Invalid, "capacity"},
		})
		_, err := parseHeartbeat("w 1", []byte(heartbeatJSON(`,"state":"ready"`)))
		So([]any{errs.KindOf(err), errs.Of(err).Field}, ShouldResemble, []any{errs.Invalid, "id"})
	})
}

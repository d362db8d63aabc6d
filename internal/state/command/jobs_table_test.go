package command

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/account"
	"crosstide/internal/errs"
	"crosstide/internal/jobs"
	"crosstide/internal/state"
)

func TestJobTable(t *testing.T) {
	Convey("The commands of the job table go through the log, and the state comes back from its bytes as it was", t, func() {
		b := testState{state.New()}
		do := func(c Command) any {
			answer, err := b.do(c)
			So(err, ShouldBeNil)
			return answer
		}
		at := time.Unix(100, 0).UTC()
		do(&JobConfigure{jobs.Configure{Version: 1, Digest: "d", Services: []jobs.Service{{Name: "s"}},
			Queues: []jobs.Queue{{Name: "q", Service: "s", Timeout: time.Second, MaxAttempts: 1}}}})
		do(&JobRegister{jobs.Register{Workers: []jobs.Worker{{ID: "w", Service: "s", Zone: "z"}}}})
		So(do(&JobSubmit{jobs.Submit{Spec: jobs.Spec{ID: "j", Queue: "q", Steps: []jobs.Step{{Count: 2}}}, Digest: "x", At: at}}),
			ShouldEqual, jobs.Queued)
		first := jobs.RunKey{Task: jobs.TaskRef{Job: "j"}, Number: 1}
		progress := &JobProgress{jobs.Progress{Term: 1, At: at, Starts: []jobs.Start{{Task: first.Task, Number: 1, Worker: "w"}}}}
		So(do(progress), ShouldResemble, jobs.Started{Recorded: []bool{true}})
		do(&JobEvacuate{jobs.Evacuate{Zone: "z", Start: true}})

		data, err := b.Encode()
		So(err, ShouldBeNil)
		decoded, err := state.Decode(data)
		So(err, ShouldBeNil)
		So(decoded.JobTable.RunsOn("w"), ShouldResemble, []jobs.RunKey{first})
		for _, each := range []testState{b, {decoded}} {
			answer, err := each.do(&JobProgress{jobs.Progress{Term: 1, At: at, Starts: []jobs.Start{{Task: jobs.TaskRef{Job: "j", Index: 1}, Number: 1, Worker: "w"}}}})
			So(err, ShouldBeNil)
			So(answer, ShouldResemble, jobs.Started{Recorded: []bool{false}})
			answer, err = each.do(&JobCancel{jobs.Cancel{ID: "j", At: at}})
			So(err, ShouldBeNil)
			So(answer, ShouldEqual, jobs.Cancelled)
			_, err = each.do(&JobProgress{jobs.Progress{Term: 1, At: at, Ends: []jobs.End{{Key: first, Worker: "w", Reason: jobs.EndStopped}}}})
			So(err, ShouldBeNil)
			_, err = each.do(&JobPurge{Before: at.Add(time.Second)})
			So(err, ShouldBeNil)
			So(each.JobTable.Jobs, ShouldBeEmpty)
		}
		one, _ := b.Encode()
		two, _ := decoded.Encode()
		So(string(one), ShouldEqual, string(two))
	})
	Convey("Progress that another term's entry carries is stale, and an unknown job is unknown", t, func() {
		b := testState{state.New()}
		_, err := b.do(&JobProgress{jobs.Progress{Term: 2}}) // the test's entries are of term 1
		So(errs.KindOf(err), ShouldEqual, errs.Stale)
		_, err = b.do(&JobCancel{jobs.Cancel{ID: "j"}})
		So(errs.KindOf(err), ShouldEqual, errs.Unknown)
	})
	Convey("A state from before there was a job table is read with an empty one", t, func() {
		data, err := state.New().Encode()
		So(err, ShouldBeNil)
		cut := strings.Index(string(data), `,"table":`)
		So(cut, ShouldBeGreaterThan, 0)
		for _, old := range []string{string(data[:cut]) + "}", string(data[:cut]) + `,"table":null}`, string(data)} {
			s, err := state.Decode([]byte(old))
			So(err, ShouldBeNil)
			So(s.JobTable, ShouldNotBeNil)
			back, err := s.Encode()
			So(err, ShouldBeNil)
			So(string(back), ShouldEqual, string(data))
			_, err = s.JobTable.Submit(jobs.Submit{})
			So(errs.KindOf(err), ShouldEqual, errs.Unknown)
		}
	})
}

func TestJobTable_payment(t *testing.T) {
	Convey("The job table draws on the same accounts, also in a state that came from its bytes", t, func() {
		b := testState{state.New()}
		b.must(&JobConfigure{jobs.Configure{Version: 1, Replace: true, Services: []jobs.Service{{Name: "s"}},
			Queues: []jobs.Queue{{Name: "q", Service: "s", MaxAttempts: 1, Timeout: time.Second}}}})
		b.must(&JobRegister{jobs.Register{Workers: []jobs.Worker{{ID: "w", Service: "s", Capacity: jobs.Resources{MilliCPU: 4000}}}}})
		b.must(&JobParties{Order: "parties", SetParties: jobs.SetParties{Parties: []jobs.Party{{Name: "acme", Queues: []string{"q"},
			Price: account.Price{Core: 10}, Window: window}}}})
		b.must(&JobSubmit{jobs.Submit{Spec: jobs.Spec{ID: "j", Queue: "q", Steps: []jobs.Step{{Count: 3, Needs: jobs.Resources{MilliCPU: 1000}}}}}})
		start := func(index int) bool {
			return b.must(&JobProgress{jobs.Progress{Term: 1, Starts: []jobs.Start{{Task: jobs.TaskRef{Job: "j", Index: index}, Number: 1,
				Worker: "w"}}}}).(jobs.Started).Recorded[0]
		}
		So(start(0), ShouldBeFalse) // there is no account
		b.must(&AccountCreate{Order: "open", Account: "acme"})
		b.topUp("first", 150)
		So(start(0), ShouldBeTrue)
		data, err := b.Encode()
		So(err, ShouldBeNil)
		b.State, err = state.Decode(data)
		So(err, ShouldBeNil)
		So(start(1), ShouldBeFalse)
		So(b.sums(), ShouldEqual, [3]int64{50, 100, 0})
		b.must(&JobProgress{jobs.Progress{Term: 1, Ends: []jobs.End{{Key: jobs.RunKey{Task: jobs.TaskRef{Job: "j"}, Number: 1}, Worker: "w",
			Reason: jobs.EndDone}}}})
		So(b.sums(), ShouldEqual, [3]int64{130, 0, 20})
		So(start(1), ShouldBeTrue)
	})
}

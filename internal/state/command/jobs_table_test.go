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
	Convey("Commands change the job table, and a decoded state continues like the encoded one", t, func() {
		s := testState{state.New()}
		at := time.Unix(100, 0).UTC()
		s.must(&JobConfigure{jobs.Configure{Version: 1, Digest: "d", Services: []jobs.Service{{Name: "s"}},
			Queues: []jobs.Queue{{Name: "q", Service: "s", Timeout: time.Second, MaxAttempts: 1}}}})
		s.must(&JobRegister{jobs.Register{Workers: []jobs.Worker{{ID: "w", Service: "s", Zone: "z"}}}})
		spec := jobs.Spec{ID: "j", Queue: "q", Steps: []jobs.Step{{Count: 2}}}
		So(s.must(&JobSubmit{jobs.Submit{Spec: spec, Digest: "x", At: at}}), ShouldEqual, jobs.Queued)
		first := jobs.RunKey{Task: jobs.TaskRef{Job: "j"}, Number: 1}
		So(s.must(&JobProgress{jobs.Progress{
			Term: 1, At: at, Starts: []jobs.Start{{Task: first.Task, Number: 1, Worker: "w"}},
		}}), ShouldResemble, jobs.ProgressResult{Recorded: []bool{true}})
		s.must(&JobEvacuate{jobs.Evacuate{Zone: "z", Start: true}})

		data, err := s.Encode()
		So(err, ShouldBeNil)
		decoded, err := state.Decode(data)
		So(err, ShouldBeNil)
		So(decoded.JobTable.RunsOn("w"), ShouldResemble, []jobs.RunKey{first})
		for _, each := range []testState{s, {decoded}} {
			So(each.must(&JobProgress{jobs.Progress{
				Term: 1, At: at, Starts: []jobs.Start{{Task: jobs.TaskRef{Job: "j", Index: 1}, Number: 1, Worker: "w"}},
			}}), ShouldResemble, jobs.ProgressResult{Recorded: []bool{false}})
			So(each.must(&JobCancel{jobs.Cancel{ID: "j", At: at}}), ShouldEqual, jobs.Cancelled)
			each.must(&JobProgress{jobs.Progress{
				Term: 1, At: at, Ends: []jobs.End{{Key: first, Worker: "w", Reason: jobs.EndStopped}},
			}})
			each.must(&JobPurge{Before: at.Add(time.Second)})
			So(each.JobTable.Jobs, ShouldBeEmpty)
		}
		data, err = s.Encode()
		So(err, ShouldBeNil)
		continued, err := decoded.Encode()
		So(err, ShouldBeNil)
		So(string(continued), ShouldEqual, string(data))
	})
	Convey("Progress of another term fails with Stale, and a cancel of an unknown job with Unknown", t, func() {
		s := testState{state.New()}
		_, err := s.do(&JobProgress{jobs.Progress{Term: 2}}) // the entries of testState have term 1
		So(errs.KindOf(err), ShouldEqual, errs.Stale)
		_, err = s.do(&JobCancel{jobs.Cancel{ID: "j"}})
		So(errs.KindOf(err), ShouldEqual, errs.Unknown)
	})
	Convey("A state that was encoded without a job table is decoded with an empty one", t, func() {
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
	Convey("The job table reserves and debits the state's accounts, also in a decoded state", t, func() {
		s := testState{state.New()}
		s.must(&JobConfigure{jobs.Configure{Version: 1, Replace: true, Services: []jobs.Service{{Name: "s"}},
			Queues: []jobs.Queue{{Name: "q", Service: "s", MaxAttempts: 1, Timeout: time.Second}}}})
		s.must(&JobRegister{jobs.Register{Workers: []jobs.Worker{
			{ID: "w", Service: "s", Capacity: jobs.Resources{MilliCPU: 4000}},
		}}})
		s.must(&JobParties{Order: "parties", SetParties: jobs.SetParties{Parties: []jobs.Party{
			{Name: "acme", Queues: []string{"q"}, Price: account.Price{Core: 10}, Window: window},
		}}})
		steps := []jobs.Step{{Count: 3, Needs: jobs.Resources{MilliCPU: 1000}}}
		s.must(&JobSubmit{jobs.Submit{Spec: jobs.Spec{ID: "j", Queue: "q", Steps: steps}}})
		start := func(index int) bool {
			starts := []jobs.Start{{Task: jobs.TaskRef{Job: "j", Index: index}, Number: 1, Worker: "w"}}
			return s.must(&JobProgress{jobs.Progress{Term: 1, Starts: starts}}).(jobs.ProgressResult).Recorded[0]
		}
		So(start(0), ShouldBeFalse) // there is no account
		s.must(&AccountCreate{Order: "open", Account: "acme"})
		s.topUp("first", 150)
		So(start(0), ShouldBeTrue)
		data, err := s.Encode()
		So(err, ShouldBeNil)
		s.State, err = state.Decode(data)
		So(err, ShouldBeNil)
		So(start(1), ShouldBeFalse)
		So(s.sums(), ShouldEqual, [3]int64{50, 100, 0})
		first := jobs.RunKey{Task: jobs.TaskRef{Job: "j"}, Number: 1}
		s.must(&JobProgress{jobs.Progress{Term: 1, Ends: []jobs.End{{Key: first, Worker: "w", Reason: jobs.EndDone}}}})
		So(s.sums(), ShouldEqual, [3]int64{130, 0, 20})
		So(start(1), ShouldBeTrue)
	})
}

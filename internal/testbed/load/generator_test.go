package load

import (
	"context"
	"encoding/json"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/time/rate"

	"crosstide/internal/errs"
	"crosstide/internal/state"
	"crosstide/internal/testbed/fleet"
	"crosstide/internal/testbed/journal"
	"crosstide/internal/testbed/testclock"
)

// script answers with each of answers in turn, then with the last one; nil is a lost answer.
type script struct {
	answers []*fleet.Reply
	calls   []string
}

func (s *script) Call(_ context.Context, method, addr, path string, _ any, _ time.Duration) (fleet.Reply, error) {
	s.calls = append(s.calls, method+" "+addr+path)
	a := s.answers[min(len(s.calls), len(s.answers))-1]
	if a == nil {
		return fleet.Reply{}, errs.New(errs.Timeout, "lost")
	}
	return *a, nil
}

func reply(status int, after time.Duration, phase state.JobPhase) *fleet.Reply {
	body, err := json.Marshal(map[string]any{"state": phase})
	So(err, ShouldBeNil)
	return &fleet.Reply{Status: status, RetryAfter: after, Body: body}
}

func TestLoad(t *testing.T) {
	follow := func(of arrival, answers ...*fleet.Reply) (*generator, *script, *testclock.Elapsing, []string) {
		o := Options{Dir: t.TempDir(), Rate: 1, Duration: time.Second}
		So(o.SetDefaults(), ShouldBeNil)
		writer, err := journal.Open(filepath.Join(o.Dir, "journal", "consumer-1.jsonl"))
		So(err, ShouldBeNil)
		defer writer.Close()
		caller, clock := &script{answers: answers}, &testclock.Elapsing{}
		l := newGenerator(o, caller, clock, []fleet.Node{{Name: "d1", Addr: "1"}, {Name: "d2", Addr: "2"}})
		l.polls = rate.NewLimiter(rate.Inf, 1)
		of.spec = state.Spec{Key: "k"}
		l.follow(context.Background(), writer, of, 0)
		var evs []string
		for line, err := range journal.Lines(o.Dir) {
			So(err, ShouldBeNil)
			var e Entry
			So(json.Unmarshal(line.Raw, &e), ShouldBeNil)
			evs = append(evs, e.Event+" "+e.State)
		}
		return l, caller, clock, evs
	}

	Convey("The same seed makes the same offers, about as many as the rate asks for, all within the duration", t, func() {
		o := Options{Rate: 50, Duration: 20 * time.Second, Seed: 7, Steps: 2, Prefix: "p",
			CancelProbability: 0.5, DuplicateProbability: 0.1}
		So(o.SetDefaults(), ShouldBeNil)
		offers := planArrivals(o)
		So(planArrivals(o), ShouldResemble, offers)
		So(len(offers), ShouldBeBetween, 900, 1100)
		So(offers[len(offers)-1].at, ShouldBeLessThan, o.Duration)
		So(offers[3].spec.Steps[1].After, ShouldResemble, []string{"s1"})
	})

	Convey("A job goes to node after node, after Retry-After, until accepted, and is then polled to its end", t, func() {
		l, caller, clock, evs := follow(arrival{cancelAfter: -1}, nil, reply(503, 2*time.Second, ""),
			reply(202, 0, "accepted"), reply(200, 0, "running"), reply(503, 0, ""), reply(200, 0, "running"),
			reply(404, 0, ""), reply(200, 0, "done"))
		So(evs, ShouldResemble, []string{"submit ", "accepted accepted", "poll running", "poll 404", "poll done"})
		So(caller.calls[0], ShouldNotEqual, caller.calls[1])
		So(caller.calls[1], ShouldNotEqual, caller.calls[2])
		So(clock.Now(), ShouldBeGreaterThan, 2*time.Second)
		r := l.counts
		So([]int{r.Accepted, r.Done, r.Unknown, r.Retries, r.Polls}, ShouldResemble, []int{1, 1, 1, 2, 5})
		So(r.Overloaded, ShouldResemble, map[string]int{"lost": 1, "status 503": 1})
	})

	Convey("A call refused for good is not repeated; one without an answer is given up in time", t, func() {
		l, caller, _, evs := follow(arrival{cancelAfter: -1}, reply(422, 0, ""))
		So(len(caller.calls), ShouldEqual, 1)
		So(evs, ShouldResemble, []string{"submit ", "refused "})
		So(l.counts.Refused, ShouldResemble, map[string]int{"status 422": 1})
		l, _, clock, _ := follow(arrival{cancelAfter: -1}, nil)
		So(l.counts.Refused, ShouldResemble, map[string]int{"lost": 1})
		So(clock.Now(), ShouldBeBetween, 20*time.Second, 31*time.Second)
	})

	Convey("A job is submitted once more at another node; a cancel is journaled when it is acknowledged", t, func() {
		l, caller, _, evs := follow(arrival{cancelAfter: time.Millisecond, isRepeated: true}, reply(202, 0, "accepted"),
			reply(200, 0, "accepted"), nil, reply(202, 0, "stopping"), reply(200, 0, "cancelled"))
		So(evs, ShouldResemble, []string{"submit ", "accepted accepted", "again accepted", "cancel ",
			"cancelled stopping", "poll cancelled"})
		So(caller.calls[0], ShouldNotEqual, caller.calls[1])
		So(caller.calls[2][:7], ShouldEqual, http.MethodDelete+" ")
		r := l.counts
		So([]int{r.Cancels, r.Cancelled, r.Dups, r.DupsRefused}, ShouldResemble, []int{1, 1, 1, 0})
	})
}

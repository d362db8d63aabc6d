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

// scriptedCaller returns the nth of answers to the nth call, and the last one to every later call; nil is a lost
// answer.
type scriptedCaller struct {
	answers []*fleet.Reply
	calls   []string
}

func (c *scriptedCaller) Call(_ context.Context, method, addr, path string, _ any,
	_ time.Duration) (fleet.Reply, error) {
	c.calls = append(c.calls, method+" "+addr+path)
	answer := c.answers[min(len(c.calls), len(c.answers))-1]
	if answer == nil {
		return fleet.Reply{}, errs.New(errs.Timeout, "lost")
	}
	return *answer, nil
}

func reply(status int, retryAfter time.Duration, phase state.JobPhase) *fleet.Reply {
	body, err := json.Marshal(map[string]any{"state": phase})
	So(err, ShouldBeNil)
	return &fleet.Reply{Status: status, RetryAfter: retryAfter, Body: body}
}

func TestLoad(t *testing.T) {
	// follow runs one job to its end. It returns the journal as the event and state of each line.
	follow := func(next arrival, answers ...*fleet.Reply) (*generator, *scriptedCaller, *testclock.Elapsing,
		[]string) {
		options := Options{Dir: t.TempDir(), Rate: 1, Duration: time.Second}
		So(options.SetDefaults(), ShouldBeNil)
		writer, err := journal.Open(filepath.Join(options.Dir, "journal", "consumer-1.jsonl"))
		So(err, ShouldBeNil)
		defer writer.Close()
		caller, clock := &scriptedCaller{answers: answers}, &testclock.Elapsing{}
		g := newGenerator(options, caller, clock, []fleet.Node{{Name: "d1", Addr: "1"}, {Name: "d2", Addr: "2"}})
		g.polls = rate.NewLimiter(rate.Inf, 1)
		next.spec = state.Spec{Key: "k"}
		g.follow(context.Background(), writer, next, 0)
		var entries []string
		for line, err := range journal.Lines(options.Dir) {
			So(err, ShouldBeNil)
			var e Entry
			So(json.Unmarshal(line.Raw, &e), ShouldBeNil)
			entries = append(entries, e.Event+" "+e.State)
		}
		return g, caller, clock, entries
	}

	Convey("The same seed plans the same arrivals, about as many as the rate demands, all within the duration", t, func() {
		options := Options{Rate: 50, Duration: 20 * time.Second, Seed: 7, Steps: 2, Prefix: "p",
			CancelProbability: 0.5, DuplicateProbability: 0.1}
		So(options.SetDefaults(), ShouldBeNil)
		arrivals := planArrivals(options)
		So(planArrivals(options), ShouldResemble, arrivals)
		So(len(arrivals), ShouldBeBetween, 900, 1100)
		So(arrivals[len(arrivals)-1].at, ShouldBeLessThan, options.Duration)
		So(arrivals[3].spec.Steps[1].After, ShouldResemble, []string{"s1"})
	})

	Convey("A job goes to other nodes, after Retry-After, until accepted, and is then polled to its end", t, func() {
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

	Convey("A call refused permanently is not retried; one without an answer is given up after the timeout", t, func() {
		l, caller, _, evs := follow(arrival{cancelAfter: -1}, reply(422, 0, ""))
		So(len(caller.calls), ShouldEqual, 1)
		So(evs, ShouldResemble, []string{"submit ", "refused "})
		So(l.counts.Refused, ShouldResemble, map[string]int{"status 422": 1})
		l, _, clock, _ := follow(arrival{cancelAfter: -1}, nil)
		So(l.counts.Refused, ShouldResemble, map[string]int{"lost": 1})
		So(clock.Now(), ShouldBeBetween, 20*time.Second, 31*time.Second)
	})

	Convey("A job is submitted a second time at another node; a cancel is journaled when it is acknowledged", t, func() {
		l, caller, _, evs := follow(arrival{cancelAfter: time.Millisecond, isRepeated: true}, reply(202, 0, "accepted"),
			reply(200, 0, "accepted"), nil, reply(202, 0, "stopping"), reply(200, 0, "cancelled"))
		So(evs, ShouldResemble, []string{"submit ", "accepted accepted", "again accepted", "cancel ",
			"cancelled stopping", "poll cancelled"})
		So(caller.calls[0], ShouldNotEqual, caller.calls[1])
		So(caller.calls[2][:7], ShouldEqual, http.MethodDelete+" ")
		r := l.counts
		So([]int{r.Cancels, r.Cancelled, r.Duplicates, r.DuplicatesRefused}, ShouldResemble, []int{1, 1, 1, 0})
	})
}

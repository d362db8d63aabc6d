package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

// bench is a table and a core that leads it, whose commits succeed at once.
type bench struct {
	table *jobs.Table
	core  *Core
	now   time.Duration
	wall  time.Time
}

const testTerm = 7

func newBench(attempts int, workers ...string) *bench {
	b := &bench{table: jobs.NewTable(), core: New(Defaults()), now: time.Minute, wall: time.Unix(1_000_000, 0)}
	must(b.table.Configure(jobs.Configure{Version: 1, Digest: "first", Replace: true,
		Queues: []jobs.Queue{{Name: "q", Host: "h", Prefix: "/p/", Service: "s", MaxAttempts: attempts, Stretch: 2,
			Target: time.Second, Timeout: time.Second}},
		Services: []jobs.Service{{Name: "s"}}}))
	for _, id := range workers {
		must(b.table.Register(jobs.Register{Workers: []jobs.Worker{{ID: id, Address: id + ":1", Service: "s", Zone: "z",
			Capacity: jobs.Resources{MilliCPU: 4000, MemoryMB: 4000}}}}))
	}
	b.table.OnEvent = b.core.TableChanged
	b.core.BecomeLeader(b.now, testTerm, b.table)
	return b
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

func (b *bench) submit(id string, steps ...jobs.Step) {
	_, err := b.table.Submit(jobs.Submit{Spec: jobs.Spec{ID: id, Queue: "q", Steps: steps}, Digest: id, At: b.wall})
	must(err)
}

// pass moves the time on and runs one pass; what it wants committed is committed.
func (b *bench) pass(after time.Duration) Actions {
	b.now += after
	b.wall = b.wall.Add(after)
	out := b.core.Pass(b.now, b.wall)
	if out.Progress != nil {
		started, err := b.table.Progress(testTerm, *out.Progress)
		b.core.Committed(b.now, out.Progress, started, err)
	}
	return out
}

// firstStart answers every call of passes as healthy workers do, until a start leaves, and gives that start.
func (b *bench) firstStart() StartAction {
	for range 20 {
		out := b.pass(time.Millisecond)
		for _, renewal := range out.Renewals {
			b.core.RenewalAnswered(b.now, renewal.Worker.ID, renewal.Number, RenewalAnswer{Clock: b.now}, RenewalOK)
		}
		if len(out.Starts) > 0 {
			return out.Starts[0]
		}
	}
	panic("no start")
}

func TestTaskOfSilentWorkerRestartsElsewhere(t *testing.T) {
	Convey("Given a run on a worker that falls silent and is asked again and again", t, func() {
		b := newBench(2, "w1")
		b.submit("j1", jobs.Step{Count: 1, Needs: jobs.Resources{MilliCPU: 1000}, Estimate: time.Second})
		start := b.firstStart()
		b.core.StartAnswered(b.now, start.Worker.ID, start.Order.Key, StartAnswer{Clock: b.now}, StartOK)
		must(b.table.Register(jobs.Register{Workers: []jobs.Worker{{ID: "w2", Address: "w2:1", Service: "s", Zone: "z",
			Capacity: jobs.Resources{MilliCPU: 4000, MemoryMB: 4000}}}}))
		Convey("its lease runs out all the same, and the task starts elsewhere under a new number", func() {
			var again *StartAction
			for range 200 {
				out := b.pass(50 * time.Millisecond)
				for _, renewal := range out.Renewals {
					if renewal.Worker.ID == "w1" {
						b.core.RenewalAnswered(b.now, "w1", renewal.Number, RenewalAnswer{}, RenewalFailed)
					} else {
						b.core.RenewalAnswered(b.now, "w2", renewal.Number, RenewalAnswer{Clock: b.now}, RenewalOK)
					}
				}
				b.core.Heartbeat(b.now, "w2", b.now)
				if len(out.Starts) > 0 {
					again = &out.Starts[0]
					break
				}
			}
			So(again, ShouldNotBeNil)
			So(again.Worker.ID, ShouldEqual, "w2")
			So(again.Order.Key.Number, ShouldEqual, 2)
		})
	})
}

func TestFailureOfStoppedRunCounts(t *testing.T) {
	Convey("Given a run that is being stopped and fails by itself", t, func() {
		b := newBench(1, "w1")
		b.submit("j1", jobs.Step{Count: 1, Needs: jobs.Resources{MilliCPU: 1000}, Estimate: time.Second})
		start := b.firstStart()
		key := start.Order.Key
		b.core.StartAnswered(b.now, "w1", key, StartAnswer{Clock: b.now}, StartOK)
		b.core.runs[key].stop.wanted = true
		Convey("the failure counts as an attempt", func() {
			for range 20 {
				out := b.pass(time.Millisecond)
				for _, renewal := range out.Renewals {
					b.core.RenewalAnswered(b.now, "w1", renewal.Number, RenewalAnswer{Clock: b.now,
						Ended: []EndedRun{{Sequence: 1, Key: key, Reason: jobs.EndFailed}}}, RenewalOK)
				}
			}
			So(b.table.Jobs["j1"].State, ShouldEqual, jobs.Failed)
		})
	})
}

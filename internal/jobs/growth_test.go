package jobs

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// growthTable is a table with a simulated load over days: jobs that end in every way, workers that register and leave,
// new configurations, and evacuations.
type growthTable struct {
	*Table
	now     time.Time
	jobs    int // submitted so far
	workers int // registered so far

	noPurge  bool // terminal jobs are not purged
	noRemove bool // records of workers that are gone are not deleted
}

const (
	jobsPerHour       = 20
	workersPerHour    = 2
	configsPerHour    = 3               // more in a month than maxOrders
	terminalRetention = 4 * time.Minute // twice the longest time that a client may ask for
	payloadBytes      = 4000
)

func newGrowthTable() *growthTable {
	g := &growthTable{Table: NewTable(), now: noon}
	must(g.Configure(testConfig()))
	return g
}

// simulateHour applies the load of an hour.
func (g *growthTable) simulateHour() {
	var gone []string
	for range workersPerHour {
		g.workers++
		worker := testWorker(fmt.Sprintf("w%d", g.workers), "open")
		g.Register(Register{Workers: []Worker{worker}})
		g.runJobs(worker.ID)
		worker.Left = true
		g.Register(Register{Workers: []Worker{worker}})
		gone = append(gone, worker.ID)
	}
	for range configsPerHour {
		order := testConfig()
		order.Base, order.Version, order.Replace = g.Config.Version, g.Config.Version+1, true
		order.Digest = fmt.Sprintf("%064d", order.Version)
		must(g.Configure(order))
	}
	for _, start := range []bool{true, false} {
		g.Evacuate(Evacuate{Zone: "zone-9", Start: start})
	}
	g.now = g.now.Add(time.Hour)
	if !g.noRemove {
		g.progress(Progress{RemoveWorkers: gone})
	}
	if !g.noPurge {
		g.Purge(g.now.Add(-terminalRetention))
	}
}

// runJobs submits jobs and runs them on a worker. A third of the jobs succeeds, a third has failed runs, and a third
// has lost runs and is cancelled.
func (g *growthTable) runJobs(worker string) {
	for i := range jobsPerHour / workersPerHour {
		g.jobs++
		id := fmt.Sprintf("%016x", g.jobs)
		job := testJob(id, Step{Count: 2, Gang: i%5 == 0})
		job.At, job.Spec.Payload = g.now, strings.Repeat("p", payloadBytes)
		g.mustSubmit(job)
		starts := []Start{startOf(taskOf(id, 0, 0), 1, worker), startOf(taskOf(id, 0, 1), 1, worker)}
		g.progress(Progress{Starts: starts})
		switch reason := []EndReason{EndDone, EndFailed, EndLost}[i%3]; reason {
		case EndDone:
			g.progress(Progress{Ends: []End{endOf(starts[0], reason), endOf(starts[1], reason)}})
		case EndFailed:
			g.progress(Progress{Ends: []End{endOf(starts[0], reason), endOf(starts[1], EndStopped)}})
			restart := startOf(taskOf(id, 0, 0), 2, worker)
			g.progress(Progress{Starts: []Start{restart}})
			g.progress(Progress{Ends: []End{endOf(restart, reason)}})
			g.cancel(id) // the restart of one member of a gang is refused, so a gang has not failed yet
		default:
			g.cancel(id)
			g.progress(Progress{Ends: []End{endOf(starts[0], reason), endOf(starts[1], reason)}})
		}
	}
}

func (g *growthTable) cancel(id string) {
	_, err := g.Cancel(Cancel{ID: id, At: g.now})
	must(err)
}

func (g *growthTable) progress(p Progress) {
	p.Term, p.At = testTerm, g.now
	_, err := g.Progress(testTerm, p)
	must(err)
}

// encodedBytes returns the length of the encoded table.
func (g *growthTable) encodedBytes() int {
	data, err := g.Encode()
	must(err)
	return len(data)
}

// simulate applies the load of a number of days, and returns encodedBytes at the end of each day.
func (g *growthTable) simulate(days int) (sizes []int) {
	for range days {
		for range 24 {
			g.simulateHour()
		}
		sizes = append(sizes, g.encodedBytes())
	}
	return sizes
}

func TestGrowth_overAMonth(t *testing.T) {
	const days = 30
	Convey("Once Orders is full, the table stops growing", t, func() {
		g := newGrowthTable()
		sizes := g.simulate(days)
		fullDay := maxOrders/(24*configsPerHour) + 1 // the first day on which the oldest orders are forgotten
		t.Log(g.jobs, "jobs,", g.workers, "workers; bytes by day", sizes)
		So(sizes[days-1], ShouldBeLessThan, sizes[fullDay]*101/100)
		So(sizes[days-1], ShouldBeLessThan, 100_000)
		So(len(g.Jobs), ShouldBeLessThanOrEqualTo, jobsPerHour)
		So(g.Workers, ShouldBeEmpty)
		So(g.Orders, ShouldHaveLength, maxOrders)
		So(g.indexes.orders, ShouldHaveLength, maxOrders)
		So(g.Evacuated, ShouldBeEmpty)
		So(g.indexes.queued, ShouldBeEmpty)
		So(g.indexes.occupancy, ShouldBeEmpty)
		So(len(g.indexes.retired), ShouldEqual, len(g.Jobs))
	})
}

func TestGrowth_withoutPurging(t *testing.T) {
	Convey("Without purging jobs, or without deleting workers that are gone, the table keeps growing", t, func() {
		for _, g := range []*growthTable{{noPurge: true}, {noRemove: true}} {
			g.Table, g.now = NewTable(), noon
			must(g.Configure(testConfig()))
			sizes := g.simulate(6)
			t.Log(sizes)
			So(sizes[5], ShouldBeGreaterThan, sizes[2]*3/2)
		}
	})
}

func TestGrowth_ofATerminalJob(t *testing.T) {
	Convey("A terminal job without handles has no payload, steps or tasks", t, func() {
		g := newGrowthTable()
		g.noPurge = true
		g.simulateHour()
		So(g.Jobs, ShouldHaveLength, jobsPerHour)
		for _, job := range g.Jobs {
			So(job.State.IsTerminal(), ShouldBeTrue)
			So(job.Spec.Payload, ShouldEqual, "")
			So(job.Spec.Steps, ShouldResemble, []Step(nil))
			So(job.Rounds, ShouldResemble, [][][]Task(nil))
		}
	})
}

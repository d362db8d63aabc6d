package jobs

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// monthTable is a table in a simulated month, with jobs that end in every way, workers that register and leave, new
// configurations, and evacuations.
type monthTable struct {
	*Table
	at           time.Time
	jobs         int // submitted so far
	incarnations int // of workers, registered so far

	noPurge  bool // terminal jobs are not purged
	noForget bool // workers that are gone are not forgotten
}

const (
	monthHourJobs         = 20              // submitted in an hour
	monthKeepTerminal     = 4 * time.Minute // twice the longest time that a client may ask for
	monthHourIncarnations = 2               // of workers, registered in an hour
	monthConfigs          = 3               // in an hour: more in a month than maxOrders
	monthPayload          = 4000            // bytes
)

func newMonthTable() *monthTable {
	m := &monthTable{Table: NewTable(), at: noon}
	must(m.Configure(testConfig()))
	return m
}

// hour simulates an hour of the month.
func (m *monthTable) hour() {
	var gone []string
	for range monthHourIncarnations {
		m.incarnations++
		worker := testWorker(fmt.Sprintf("w%d", m.incarnations), "open")
		m.Register(Register{Workers: []Worker{worker}})
		m.work(worker.ID)
		worker.Left = true
		m.Register(Register{Workers: []Worker{worker}})
		gone = append(gone, worker.ID)
	}
	for range monthConfigs {
		order := testConfig()
		order.Base, order.Version, order.Replace = m.Config.Version, m.Config.Version+1, true
		order.Digest = fmt.Sprintf("%064d", order.Version)
		must(m.Configure(order))
	}
	for _, start := range []bool{true, false} {
		m.Evacuate(Evacuate{Zone: "zone-9", Start: start})
	}
	m.at = m.at.Add(time.Hour)
	if !m.noForget {
		m.progress(Progress{Forget: gone})
	}
	if !m.noPurge {
		m.Purge(m.at.Add(-monthKeepTerminal))
	}
}

// work submits and runs jobs on a worker. A third of them ends done, a third failed, a third lost.
func (m *monthTable) work(worker string) {
	for i := range monthHourJobs / monthHourIncarnations {
		m.jobs++
		id := fmt.Sprintf("%016x", m.jobs)
		job := testJob(id, Step{Count: 2, Gang: i%5 == 0})
		job.At, job.Spec.Payload = m.at, strings.Repeat("p", monthPayload)
		m.mustSubmit(job)
		starts := []Start{startOf(taskOf(id, 0, 0), 1, worker), startOf(taskOf(id, 0, 1), 1, worker)}
		m.progress(Progress{Starts: starts})
		switch reason := []EndReason{EndDone, EndFailed, EndLost}[i%3]; reason {
		case EndDone:
			m.progress(Progress{Ends: []End{endOf(starts[0], reason), endOf(starts[1], reason)}})
		case EndFailed:
			m.progress(Progress{Ends: []End{endOf(starts[0], reason), endOf(starts[1], EndStopped)}})
			again := startOf(taskOf(id, 0, 0), 2, worker)
			m.progress(Progress{Starts: []Start{again}})
			m.progress(Progress{Ends: []End{endOf(again, reason)}})
			m.cancel(id) // a gang has one of two attempts left
		default:
			m.cancel(id)
			m.progress(Progress{Ends: []End{endOf(starts[0], reason), endOf(starts[1], reason)}})
		}
	}
}

func (m *monthTable) cancel(id string) {
	_, err := m.Cancel(Cancel{ID: id, At: m.at})
	must(err)
}

func (m *monthTable) progress(p Progress) {
	p.Term, p.At = testTerm, m.at
	_, err := m.Progress(testTerm, p)
	must(err)
}

// size returns the length of the encoded table.
func (m *monthTable) size() int {
	data, err := m.Encode()
	must(err)
	return len(data)
}

// simulate simulates days, and returns the size at the end of each.
func (m *monthTable) simulate(days int) (sizes []int) {
	for range days {
		for range 24 {
			m.hour()
		}
		sizes = append(sizes, m.size())
	}
	return sizes
}

func TestGrowth_overAMonth(t *testing.T) {
	const days = 30
	Convey("The table does not grow any more once Orders is full", t, func() {
		m := newMonthTable()
		sizes := m.simulate(days)
		full := maxOrders/(24*monthConfigs) + 1 // the day from which on the oldest orders are forgotten
		t.Log(m.jobs, "jobs,", m.incarnations, "workers; bytes by day", sizes)
		So(sizes[days-1], ShouldBeLessThan, sizes[full]*101/100)
		So(sizes[days-1], ShouldBeLessThan, 100_000)
		So(len(m.Jobs), ShouldBeLessThanOrEqualTo, monthHourJobs)
		So(m.Workers, ShouldBeEmpty)
		So(m.Orders, ShouldHaveLength, maxOrders)
		So(m.indexes.orders, ShouldHaveLength, maxOrders)
		So(m.Evacuated, ShouldBeEmpty)
		So(m.indexes.queued, ShouldBeEmpty)
		So(m.indexes.occupancy, ShouldBeEmpty)
		So(len(m.indexes.retired), ShouldEqual, len(m.Jobs))
	})
}

func TestGrowth_withoutPurging(t *testing.T) {
	Convey("Without purging, or without forgetting workers that are gone, the table grows every day", t, func() {
		for _, m := range []*monthTable{{noPurge: true}, {noForget: true}} {
			m.Table, m.at = NewTable(), noon
			must(m.Configure(testConfig()))
			sizes := m.simulate(6)
			t.Log(sizes)
			So(sizes[5], ShouldBeGreaterThan, sizes[2]*3/2)
		}
	})
}

func TestGrowth_ofATerminalJob(t *testing.T) {
	Convey("A terminal job keeps neither payload nor steps nor tasks", t, func() {
		m := newMonthTable()
		m.noPurge = true
		m.hour()
		So(m.Jobs, ShouldHaveLength, monthHourJobs)
		for _, job := range m.Jobs {
			So(job.State.IsTerminal(), ShouldBeTrue)
			So(job.Spec.Payload, ShouldEqual, "")
			So(job.Spec.Steps, ShouldResemble, []Step(nil))
			So(job.Rounds, ShouldResemble, [][][]Task(nil))
		}
	})
}

package scheduler

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

// month is a cluster under one term for a simulated month, which alternates between periods of work and idle time.
type month struct {
	*cluster
	workers      []string                 // IDs of the running ones
	incarnations int                      // number of workers started so far
	running      map[string][]jobs.RunKey // by worker
	ended        map[string][]EndedRun    // by worker: ends that are not acknowledged yet
	counts       map[string]uint64        // by worker: sequence number of its newest end
	jobs         int                      // number of jobs submitted so far
}

const (
	monthWorkers   = 6
	periodInterval = 20 * time.Minute // idle time before each period
	periodPasses   = 40               // number of passes in a period
	periodsPerDay  = int(24 * time.Hour / periodInterval)
	jobRetention   = 10 * time.Minute
)

func newMonth() *month {
	m := &month{cluster: newCluster(2), running: map[string][]jobs.RunKey{}, ended: map[string][]EndedRun{},
		counts: map[string]uint64{}}
	for range monthWorkers {
		m.startWorker()
	}
	return m
}

// startWorker registers a worker under an ID that was never used before.
func (m *month) startWorker() {
	m.incarnations++
	id := fmt.Sprintf("w%d", m.incarnations)
	m.workers = append(m.workers, id)
	m.table.Register(jobs.Register{Workers: []jobs.Worker{testWorker(id)}})
}

// crash ends the oldest worker without an announcement of its shutdown.
func (m *month) crash() {
	id := m.workers[0]
	m.workers = m.workers[1:]
	delete(m.running, id)
	delete(m.ended, id)
	delete(m.counts, id)
}

// submitWithOutcome submits a job whose ID begins with the outcome of its runs, see answerRenewal.
func (m *month) submitWithOutcome(outcome string) string {
	m.jobs++
	id := fmt.Sprintf("%s%d", outcome, m.jobs)
	m.submit(id, jobs.Step{Count: 2, Needs: jobs.Resources{MilliCPU: 500}, Estimate: time.Second})
	return id
}

// runPeriod submits jobs, runs them, and purges old ones. With crash a worker crashes after a quarter of the passes.
func (m *month) runPeriod(crash bool) {
	m.now += periodInterval
	m.submitWithOutcome("done")
	m.submitWithOutcome("fails")
	cancelled := m.submitWithOutcome("stays")
	for pass := range periodPasses {
		for _, id := range m.workers {
			m.core.Heartbeat(m.now, id, m.now)
		}
		m.carryOut(m.passAfter(100 * time.Millisecond))
		if crash && pass == periodPasses/4 {
			m.crash()
			m.startWorker()
		}
		if pass == periodPasses/2 {
			_, err := m.table.Cancel(jobs.Cancel{ID: cancelled, At: m.wall()})
			must(err)
		}
	}
	m.table.Purge(m.wall().Add(-jobRetention))
}

func (m *month) isUp(id string) bool { return slices.Contains(m.workers, id) }

// carryOut answers the calls of a pass. Calls to crashed workers get no answer.
func (m *month) carryOut(actions Actions) {
	for _, s := range actions.Starts {
		if !m.isUp(s.Worker.ID) {
			m.core.StartAnswered(m.now, s.Worker.ID, s.Order.Key, StartAnswer{}, StartUnconfirmed)
			continue
		}
		m.running[s.Worker.ID] = append(m.running[s.Worker.ID], s.Order.Key)
		m.core.StartAnswered(m.now, s.Worker.ID, s.Order.Key, StartAnswer{Clock: m.now}, StartOK)
	}
	for _, s := range actions.Stops {
		m.finish(s.Worker.ID, s.Order.Key, jobs.EndStopped)
		m.core.StopAnswered(m.now, s.Worker.ID, s.Order.Key, stopOutcome(m.isUp(s.Worker.ID)))
	}
	for _, renewal := range actions.Renewals {
		m.answerRenewal(renewal)
	}
}

// answerRenewal answers a renewal with the worker's lists, after it has ended the runs of the worker by the outcome that
// their job's ID begins with: "done" and "fails" end at once, "stays" runs until it is stopped. Crashed workers don't
// answer.
func (m *month) answerRenewal(renewal RenewalAction) {
	id := renewal.Worker.ID
	if !m.isUp(id) {
		m.core.RenewalAnswered(m.now, id, renewal.Number, RenewalAnswer{}, RenewalFailed)
		return
	}
	for len(m.ended[id]) > 0 && m.ended[id][0].Sequence <= renewal.Call.AcknowledgedUpTo {
		m.ended[id] = m.ended[id][1:]
	}
	for _, key := range append([]jobs.RunKey{}, m.running[id]...) {
		switch {
		case strings.HasPrefix(key.Task.Job, "done"):
			m.finish(id, key, jobs.EndDone)
		case strings.HasPrefix(key.Task.Job, "fails"):
			m.finish(id, key, jobs.EndFailed)
		}
	}
	answer := RenewalAnswer{Clock: m.now, Ended: m.ended[id]}
	for _, key := range m.running[id] {
		answer.Running = append(answer.Running, ListedRun{Key: key})
	}
	m.core.RenewalAnswered(m.now, id, renewal.Number, answer, RenewalOK)
}

// finish ends a run on a worker for a reason, if the worker runs it.
func (m *month) finish(id string, key jobs.RunKey, reason jobs.EndReason) {
	for i, other := range m.running[id] {
		if other == key {
			m.running[id] = append(append([]jobs.RunKey{}, m.running[id][:i]...), m.running[id][i+1:]...)
			m.counts[id]++
			m.ended[id] = append(m.ended[id], EndedRun{Sequence: m.counts[id], Key: key, Reason: reason})
			return
		}
	}
}

// collectLengths adds the lengths of all maps and slices of a value and of the structs in it to lengths, by path.
func collectLengths(path string, v reflect.Value, lengths map[string]int) {
	switch v.Kind() {
	case reflect.Map, reflect.Slice:
		lengths[path] = v.Len()
	case reflect.Struct:
		for i := range v.NumField() {
			collectLengths(path+"."+v.Type().Field(i).Name, v.Field(i), lengths)
		}
	}
}

// lengths returns the lengths of all maps and slices of the scheduler and its table, and that of the encoded table.
func (m *month) lengths() map[string]int {
	lengths := map[string]int{}
	collectLengths("core", reflect.ValueOf(m.core).Elem(), lengths)
	collectLengths("table", reflect.ValueOf(m.table).Elem(), lengths)
	data, err := m.table.Encode()
	must(err)
	lengths["bytes/1000"] = len(data) / 1000
	return lengths
}

// TestMemoryStaysBoundedOverMonth guards against a scheduler that runs out of memory because it keeps an entry for each
// job, task or worker that was deleted from the table.
func TestMemoryStaysBoundedOverMonth(t *testing.T) {
	Convey("No map or slice of the scheduler and its table grows after the third day of a month", t, func() {
		m := newMonth()
		var early map[string]int
		for day := 1; day <= 30; day++ {
			for period := range periodsPerDay {
				m.runPeriod(period%12 == 0)
			}
			if day == 3 {
				early = m.lengths()
			}
		}
		late := m.lengths()
		t.Log(m.jobs, "jobs,", m.incarnations, "incarnations of workers:", late)
		So(m.core.Counts.Done, ShouldBeGreaterThan, 3000)
		So(m.core.Counts.Failed, ShouldBeGreaterThan, 3000)
		So(m.core.Counts.Lost, ShouldBeGreaterThan, 0)
		for name, length := range late {
			So(fmt.Sprint(name, " grows: ", length > early[name]+monthWorkers), ShouldEqual, name+" grows: false")
		}
	})
}

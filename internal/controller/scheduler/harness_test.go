package scheduler

import (
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
)

// harness is a Core with one worker w of 4 cores. What its passes propose is committed at once.
type harness struct {
	core     *Core
	table    *jobs.Table
	now      time.Duration
	starts   []StartAction
	renewals []RenewalAction
	stops    []StopAction
}

const harnessTerm = 5

func newHarness() *harness {
	h := &harness{core: New(Defaults()), table: jobs.NewTable(), now: time.Second}
	So(h.table.Configure(harnessConfig(1)), ShouldBeNil)
	So(h.table.Register(jobs.Register{Workers: []jobs.Worker{{ID: "w", Service: "s", Capacity: jobs.Resources{MilliCPU: 4000}}}}), ShouldBeNil)
	h.table.OnEvent = h.core.TableChanged
	h.core.BecomeLeader(h.now, harnessTerm, h.table)
	h.pass()
	h.answer(RenewalAnswer{})
	return h
}

// harnessConfig returns a configuration with a queue q and a more urgent one.
func harnessConfig(version uint64) jobs.Configure {
	q := jobs.Queue{Name: "q", Service: "s", Priority: 1, MaxAttempts: 3, Stretch: 2, Target: time.Second, Timeout: time.Second}
	urgent := q
	urgent.Name, urgent.Prefix, urgent.Priority = "urgent", "/urgent/", 0
	return jobs.Configure{Base: version - 1, Version: version, Replace: true, Services: []jobs.Service{{Name: "s"}},
		Queues: []jobs.Queue{q, urgent}}
}

// submit submits job j to queue q.
func (h *harness) submit(steps ...jobs.Step) { h.submitTo("q", "j", steps...) }

// submitTo submits a job to a queue.
func (h *harness) submitTo(queue, id string, steps ...jobs.Step) {
	_, err := h.table.Submit(jobs.Submit{Spec: jobs.Spec{ID: id, Queue: queue, Steps: steps}, At: time.Time{}.Add(h.now)})
	So(err, ShouldBeNil)
}

// pass runs passes until nothing is left to commit, and collects the calls of all.
func (h *harness) pass() {
	h.starts, h.stops = nil, nil
	for {
		h.now += 10 * time.Millisecond
		actions := h.core.Pass(h.now, time.Time{}.Add(h.now))
		h.starts, h.renewals, h.stops = append(h.starts, actions.Starts...), append(h.renewals, actions.Renewals...), append(h.stops, actions.Stops...)
		if actions.Progress == nil {
			return
		}
		started, err := h.table.Progress(harnessTerm, *actions.Progress)
		h.core.Committed(h.now, actions.Progress, started, err)
	}
}

// answer answers the newest renewal in flight; the earlier ones stay unanswered.
func (h *harness) answer(a RenewalAnswer) {
	So(h.renewals, ShouldNotBeEmpty)
	a.Clock = time.Minute + h.now
	h.core.RenewalAnswered(h.now, "w", h.renewals[len(h.renewals)-1].Number, a, RenewalOK)
	h.renewals = nil
}

// accept answers all start orders of the newest passes well.
func (h *harness) accept() {
	for _, start := range h.starts {
		h.core.StartAnswered(h.now, start.Worker.ID, start.Order.Key, StartAnswer{Clock: time.Minute + h.now}, StartOK)
	}
}

// stopOutcome returns the outcome of a stop order that was answered, or was not.
func stopOutcome(answered bool) StopError {
	if answered {
		return StopOK
	}
	return StopFailed
}

// failRenewals makes all renewals fail for a while, in passes 200 ms apart.
func (h *harness) failRenewals(d time.Duration, heartbeats bool) {
	for end := h.now + d; h.now < end; h.now += 200 * time.Millisecond {
		for _, renewal := range h.renewals {
			h.core.RenewalAnswered(h.now, "w", renewal.Number, RenewalAnswer{}, RenewalFailed)
		}
		h.renewals = nil
		if heartbeats {
			h.core.Heartbeat(h.now, "w", time.Minute+h.now)
		}
		h.pass()
	}
}

// addWorkers registers more workers like w, which answer their first probe.
func (h *harness) addWorkers(ids ...string) {
	for _, id := range ids {
		So(h.table.Register(jobs.Register{Workers: []jobs.Worker{{ID: id, Service: "s", Capacity: jobs.Resources{MilliCPU: 4000}}}}), ShouldBeNil)
	}
	h.pass()
	h.answerAll(nil)
	h.pass()
}

// answerAll answers all renewals in flight. percent is the progress of the runs of each worker.
func (h *harness) answerAll(percent map[string]int) {
	renewals := h.renewals
	h.renewals = nil
	for _, renewal := range renewals {
		answer := RenewalAnswer{Clock: time.Minute + h.now}
		for _, key := range h.table.RunsOn(renewal.Worker.ID) {
			answer.Running = append(answer.Running, ListedRun{Key: key, Percent: percent[renewal.Worker.ID]})
		}
		h.core.RenewalAnswered(h.now, renewal.Worker.ID, renewal.Number, answer, RenewalOK)
	}
}

// endRuns answers all renewals in flight, but for one worker's, with the good end of every run.
func (h *harness) endRuns(except string) {
	renewals := h.renewals
	h.renewals = nil
	for _, renewal := range renewals {
		if renewal.Worker.ID == except {
			h.renewals = append(h.renewals, renewal)
			continue
		}
		answer := RenewalAnswer{Clock: time.Minute + h.now}
		for i, key := range h.table.RunsOn(renewal.Worker.ID) {
			answer.Ended = append(answer.Ended, EndedRun{Sequence: uint64(i + 1), Key: key, Reason: jobs.EndDone})
		}
		h.core.RenewalAnswered(h.now, renewal.Worker.ID, renewal.Number, answer, RenewalOK)
	}
}

// loseStarts leaves the start orders of the newest passes to some workers without an answer.
func (h *harness) loseStarts(workers ...string) {
	for _, s := range h.starts {
		for _, id := range workers {
			if s.Worker.ID == id {
				h.core.StartAnswered(h.now, id, s.Order.Key, StartAnswer{}, StartUnknown)
			}
		}
	}
}

// startedOn counts the starts of the newest passes by worker.
func (h *harness) startedOn() map[string]int {
	on := map[string]int{}
	for _, s := range h.starts {
		on[s.Worker.ID]++
	}
	return on
}

// runningTask starts one task of two cores, which the worker lists with a checkpoint and which has run for a second.
func (h *harness) runningTask(step jobs.Step, checkpoint string) jobs.RunKey {
	step.Count, step.Needs = 1, jobs.Resources{MilliCPU: 2000}
	h.submit(step)
	h.pass()
	So(h.starts, ShouldHaveLength, 1)
	h.accept()
	key := h.starts[0].Order.Key
	h.pass()
	h.answer(RenewalAnswer{Running: []ListedRun{{Key: key, Checkpoint: checkpoint, Percent: 1}}})
	h.pass()
	h.core.runs[key].start.sentAt = h.now - time.Second
	return key
}

// endAs answers the newest renewal with the end of a run.
func (h *harness) endAs(key jobs.RunKey, reason jobs.EndReason) {
	h.answer(RenewalAnswer{Ended: []EndedRun{{Sequence: 1, Key: key, Reason: reason}}})
}

// deregister records that the worker has deregistered.
func (h *harness) deregister() {
	worker := *h.table.Workers["w"]
	worker.Left = true
	So(h.table.Register(jobs.Register{Workers: []jobs.Worker{worker}}), ShouldBeNil)
}

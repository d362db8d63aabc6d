package main

import (
	"fmt"
	"net/http"
	"time"
)

// Bounds of the rule UNASKED, from the settings of the fleet.
const (
	ackTimeout = 4 * time.Second
	cancelTime = 3 * time.Second
	stopTime   = 900 * time.Millisecond
)

// playDropped hands in a job whose task runs until it is cancelled. The operator then removes the queue's route, which
// is the disruption. Ten seconds later, in steady state, the client cancels the job, and tries again until it is
// acknowledged with 2xx or 410.
func playDropped(w *world) verdict {
	w.startFleet()
	small := needs{CPU: 1000, Memory: 3000}
	var minions []*minion
	for i := range 4 {
		minions = append(minions, w.startMinion(hostMinion+i, "recon", needs{CPU: 16000, Memory: 65536}, "a", "r1-1"))
	}
	w.order(words["replace"], "0", map[string]any{"version": 3,
		"routes":   []any{route("r-listen", "/listen/", "recon", 1, 2.2), route("r-recon", "/recon/", "recon", 1, 2.2)},
		"services": []any{service("recon")}}, 20*time.Second)
	time.Sleep(4 * time.Second) // the minions announce themselves
	const listener = "00000000000000a1"
	hour := int(time.Hour.Milliseconds())
	w.submit("/listen/"+listener, job(taskSpec{Millis: hour, Needs: small},
		step(1, small, time.Second, map[string]any{"longRunning": true})))
	w.until("the task runs", 10*time.Second, func() bool { return runsOf(minions, listener) == 1 })
	change := map[string]any{"version": 5,
		"upsert": map[string]any{"routes": []any{route("r-recon", "/recon/", "recon", 1, 2.3)}}}
	if w.trouble {
		change = map[string]any{"version": 5, "remove": map[string]any{"routes": []string{"r-listen"}}}
	}
	w.order(words["update"], "3", change, 4*time.Second)
	time.Sleep(10 * time.Second)
	w.noteState("/listen/" + listener)
	isAcknowledged, lastStatus := w.cancel("/listen/"+listener, 2*ackTimeout)
	time.Sleep(cancelTime + stopTime)
	if runsOf(minions, listener) == 0 {
		return ""
	}
	return verdict(fmt.Sprintf("UNASKED: a task of job %s runs on %s after its cancelling was acknowledged (%t) or "+
		"had waited %s of steady state for that; the newest answer to DELETE is %d",
		listener, cancelTime+stopTime, isAcknowledged, 2*ackTimeout, lastStatus))
}

// cancel sends DELETE until it is acknowledged with 2xx or 410, but no longer than limit.
func (w *world) cancel(path string, limit time.Duration) (isAcknowledged bool, lastStatus int) {
	for end := w.now() + limit; w.now() < end && !isAcknowledged; time.Sleep(500 * time.Millisecond) {
		answer := w.clientCall(http.MethodDelete, path, nil)
		w.note("client: DELETE %s -> %d %s", path, answer.status, answer.body)
		lastStatus = answer.status
		isAcknowledged = answer.status == http.StatusOK || answer.status == http.StatusGone
	}
	return isAcknowledged, lastStatus
}

package main

import (
	"time"
)

// The figures of playBlocked, from the site file usajili-crosstide: its service activation-svc and its class
// biometric-match, of priority 2 and stretch 4.
var (
	activationMinion = needs{CPU: 64000, Memory: 262144, GPU: 8}
	oneGPU           = needs{CPU: 13000, Memory: 54000, GPU: 1}
	fourGPUs         = needs{CPU: 13000, Memory: 54000, GPU: 4}
)

const (
	matchEstimate = 7500 * time.Millisecond // the mean of biometric-match
	longMatch     = 19 * time.Second        // its longest task
	finish        = 14 * time.Second        // this long after the end of the traffic jobs are asked for
)

// playBlocked hands in one ordinary job of four tasks, one on each of four minions, then (as the disruption) one large
// gang that has to wait for them, and a second later an ordinary job of a single task, for which there is room on each
// minion.
func playBlocked(w *world) verdict {
	w.startFleet()
	var minions []*minion
	for i := range 4 {
		minions = append(minions, w.startMinion(hostMinion+i, "activation", activationMinion, "a", "r1-1"))
	}
	w.order(words["replace"], "0", map[string]any{"version": 1,
		"routes":   []any{route("r-match", "/match/", "activation", 2, 4)},
		"services": []any{service("activation")}}, 20*time.Second)
	time.Sleep(4 * time.Second) // the minions announce themselves
	const first, large, last = "00000000000000a1", "00000000000000b2", "00000000000000c3"
	w.submit("/match/"+first, job(taskSpec{Millis: int(longMatch.Milliseconds()), Needs: oneGPU},
		step(4, oneGPU, matchEstimate, map[string]any{"antiAffinity": 1})))
	w.until("the first job runs", 10*time.Second, func() bool { return runsOf(minions, first) == 4 })
	if w.trouble {
		w.submit("/match/"+large, job(taskSpec{Millis: 7500, Needs: fourGPUs, Gang: 8},
			step(8, fourGPUs, matchEstimate, map[string]any{"gangScheduled": true})))
	}
	time.Sleep(time.Second)
	w.submit("/match/"+last, job(taskSpec{Millis: 7500, Needs: oneGPU}, step(1, oneGPU, matchEstimate, nil)))
	traffic := w.now() // it ends here
	watch := &idleWatch{world: w, job: last, tasks: 1, task: oneGPU, minions: minions}
	if w.watch(traffic+finish, watch.look) != "" {
		w.note("the job has had nothing running for over %s, since %.1f s", idleLimit, watch.since.Seconds())
	}
	time.Sleep(traffic + finish - w.now())
	w.noteState("/match/" + first)
	if w.trouble {
		w.noteState("/match/" + large)
	}
	if w.noteState("/match/"+last) == "succeeded" {
		return ""
	}
	// The strictest reading of the rule: the whole 3 s lie after that time.
	watch.since = 0
	return w.watch(w.now()+10*time.Second, watch.look)
}

package main

import "time"

// playRenamed hands in a job of two steps. While the first step runs, the operator replaces the queue's route by one
// with another name, in one change: the same host, path, service and figures. Without the disruption the change keeps
// the name and alters a time-out.
func playRenamed(w *world) verdict {
	w.startFleet()
	capacity := needs{CPU: 16000, Memory: 65536}
	small := needs{CPU: 1000, Memory: 3000}
	var minions []*minion
	for i := range 4 {
		minions = append(minions, w.startMinion(hostMinion+i, "recon", capacity, "a", "r1-1"))
	}
	w.order(words["replace"], "0", map[string]any{"version": 3,
		"routes":   []any{route("r-old", "/recon/", "recon", 1, 2.2)},
		"services": []any{service("recon")}}, 20*time.Second)
	time.Sleep(4 * time.Second) // the minions announce themselves
	const before, after = "00000000000000a1", "00000000000000b2"
	w.submit("/recon/"+before, job(taskSpec{Millis: 2000, Needs: small}, step(2, small, 2*time.Second, nil),
		step(2, small, 2*time.Second, map[string]any{"afterRevision": []int{0}})))
	w.until("the first step runs", 10*time.Second, func() bool { return runsOf(minions, before) > 0 })
	change := map[string]any{"version": 5,
		"upsert": map[string]any{"routes": []any{route("r-old", "/recon/", "recon", 1, 2.3)}}}
	if w.trouble {
		change = map[string]any{"version": 5, "remove": map[string]any{"routes": []string{"r-old"}},
			"upsert": map[string]any{"routes": []any{route("r-new", "/recon/", "recon", 1, 2.2)}}}
	}
	w.order(words["update"], "3", change, 4*time.Second)
	w.until("the first step ends", 20*time.Second, func() bool { return doneOf(minions, before) == 2 })
	w.submit("/recon/"+after, job(taskSpec{Millis: 1000, Needs: small}, step(1, small, time.Second, nil)))
	traffic := w.now() // it ends here
	watch := &idleWatch{world: w, job: before, tasks: 4, task: small, minions: minions}
	if w.watch(traffic+finish, watch.look) != "" {
		w.note("the job has had nothing running for over %s, since %.1f s", idleLimit, watch.since.Seconds())
	}
	time.Sleep(traffic + finish - w.now())
	w.noteState("/recon/" + after)
	if w.noteState("/recon/"+before) == "succeeded" {
		return ""
	}
	// The strictest reading of the rule: the whole 3 s lie after that time.
	watch.since = 0
	return w.watch(w.now()+10*time.Second, watch.look)
}

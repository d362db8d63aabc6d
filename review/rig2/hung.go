package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"syscall"
	"time"

	"crosstide/internal/routine"
)

// The figures of playHung: the service of 48 minions and the traffic of the classes scan-recon and route-rebuild of the
// site file lubra-track, and the disruption srv_flap with its usual share of 0.15 and the gap_s of 1.4 that
// lubra-track-grown has: seven of the minions go down and up in 1.4 s by turns, one each 0.2 s.
const (
	zoneCount     = 4
	minionsOfZone = 12
	flapPause     = 200 * time.Millisecond
	flapsOfRound  = 20
	trafficEnd    = 85 * time.Second

	// hangLimit is how long a process may leave a call without any answer, in a calm time. The operator waits 1 s.
	hangLimit = 10 * time.Second
)

var trackMinion = needs{CPU: 16000, Memory: 65536}

// hollowFleet is the minions of playHung, by their place; each place has one life after the other.
type hollowFleet struct {
	world *world
	lives [zoneCount * minionsOfZone]*hollow
	life  int
}

// start starts a new life in a place.
func (f *hollowFleet) start(place int) {
	f.life++
	f.lives[place] = f.world.startHollow("i-"+strconv.Itoa(place)+"-"+strconv.Itoa(f.life), "track",
		"zone-"+strconv.Itoa(place/minionsOfZone), hostMinion+place, trackMinion)
}

// flap lets some minions, from a place on, go down and up by turns.
func (f *hollowFleet) flap(first int) {
	for i := range flapsOfRound {
		place := (first + i) % len(f.lives)
		if f.world.trouble {
			f.lives[place].crash()
		}
		time.Sleep(flapPause)
		if f.world.trouble {
			f.start(place)
		}
	}
}

// playHung plays usual traffic on a deployment whose minions get their orders in the answers to heartbeats, while
// minions go down and up by turns. Nothing is done to a process of the system.
func playHung(w *world) verdict {
	w.orders = "heartbeat"
	w.startFleet()
	fleet := &hollowFleet{world: w}
	for place := range fleet.lives {
		fleet.start(place)
	}
	w.order(words["replace"], "0", map[string]any{"version": 3,
		"routes":   []any{route("r-scan", "/scan/", "track", 0, 1.5), route("r-rebuild", "/rebuild/", "track", 2, 4)},
		"services": []any{service("track")}}, 20*time.Second)
	time.Sleep(4 * time.Second) // the minions announce themselves
	scan, rebuild := needs{CPU: 1000, Memory: 3000}, needs{CPU: 2200, Memory: 8200}
	w.group.Go(func(ctx context.Context) {
		w.handIn(ctx, "/scan/", 70*time.Millisecond, job(taskSpec{Millis: 800, Needs: scan},
			step(10, scan, 800*time.Millisecond, nil)))
	})
	w.group.Go(func(ctx context.Context) {
		w.handIn(ctx, "/rebuild/", 830*time.Millisecond, job(taskSpec{Millis: 3800, Needs: rebuild},
			step(32, rebuild, 3800*time.Millisecond, nil)))
	})
	for round, silentRounds := 0, 0; w.now() < trafficEnd && silentRounds < 3; round++ {
		fleet.flap(round * flapsOfRound)
		silent := w.silentCore(time.Second)
		w.note("%d heartbeats answered; no answer of any kind from %v", w.beats.Load(), silent)
		silentRounds++
		if len(silent) == 0 {
			silentRounds = 0
		}
	}
	w.note("the minions go down no more")
	return w.judgeHung()
}

// handIn hands in a job each interval until the traffic ends.
func (w *world) handIn(ctx context.Context, prefix string, interval time.Duration, body map[string]any) {
	for n := int64(1); ctx.Err() == nil && w.now() < trafficEnd; n++ {
		path := prefix + strconv.FormatInt(int64(len(prefix))<<59+n, 16)
		if w.clientCall(http.MethodPost, path, body).status == http.StatusOK {
			w.mu.Lock()
			w.accepted = append(w.accepted, path)
			w.mu.Unlock()
		}
		time.Sleep(interval)
	}
}

// silentCore returns the core machines that give no answer of any kind, not even a 503, to a read of the settings.
func (w *world) silentCore(limit time.Duration) (silent []string) {
	var answers [coreCount]reply
	routine.Each(coreCount, coreCount, func(i int) {
		answers[i] = call(http.MethodGet, w.addr(hostCore+i, portControl), words["read"], nil, nil, limit)
	})
	for i, answer := range answers {
		if answer.status == 0 {
			silent = append(silent, w.ip(hostCore+i))
		}
	}
	return silent
}

// judgeHung asks each core machine for an answer of any kind, and for an accepted job. Silent processes are asked for
// their stacks, which ends them, for the record.
func (w *world) judgeHung() verdict {
	time.Sleep(3 * time.Second)
	silent := w.silentCore(hangLimit)
	w.mu.Lock()
	accepted := w.accepted
	w.mu.Unlock()
	w.note("%d jobs were accepted; no answer of any kind for %s from %v", len(accepted), hangLimit, silent)
	if len(silent) == 0 {
		return ""
	}
	w.noteState(accepted[0])
	for i := range coreCount {
		if slices.Contains(silent, w.ip(hostCore+i)) {
			_ = w.processes[i].Process.Signal(syscall.SIGQUIT) // it still runs, or there are no stacks
		}
	}
	time.Sleep(time.Second)
	w.keepStacks()
	return verdict(fmt.Sprintf("a process hangs: no answer of any kind for %s from %v", hangLimit, silent))
}

package main

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// hollow is a minion that gets its orders in the answers to its heartbeats. It serves no calls, so it has no server.
type hollow struct {
	*minion
	cancel context.CancelFunc
}

// heartbeatAnswer is the answer to a heartbeat, with the orders in it.
type heartbeatAnswer struct {
	Home       string   `json:"heartbeatAddress"`
	Hold       int64    `json:"holdMs"`
	Seen       int      `json:"seenUpto"`
	Token      uint64   `json:"fencingToken"`
	Starts     [][4]any `json:"start"`
	Stops      [][2]any `json:"stop"`
	RetryAfter int64    `json:"retryAfterMs"`
}

// startHollow starts one life of a minion of a zone.
func (w *world) startHollow(id, service, zone string, host int, capacity needs) *hollow {
	m := &minion{world: w, id: id, service: service, zone: zone, capacity: capacity, labels: []string{"a", "r1-1"},
		address: w.addr(host, portMinion), runs: map[string]*taskRun{}, highest: map[string]int{},
		done: map[string]int{}, changed: make(chan struct{}), quiet: true}
	ctx, cancel := context.WithCancel(w.group.Context())
	h := &hollow{minion: m, cancel: cancel}
	w.group.Go(func(context.Context) { h.beat(ctx) })
	return h
}

// crash ends this life: it says nothing more.
func (h *hollow) crash() { h.cancel() }

// beat sends heartbeats until ctx ends, to the address that the last answer named, else to the core in turn.
func (h *hollow) beat(ctx context.Context) {
	home := ""
	for try := 0; ctx.Err() == nil; try++ {
		addr := home
		if addr == "" {
			addr = h.world.addr(hostCore+try%coreCount, portControl)
		}
		answer := call(http.MethodPost, addr, words["instances"]+h.id+"/heartbeat", nil, h.report(), time.Second)
		var document heartbeatAnswer
		if ctx.Err() != nil {
			return
		}
		if answer.status != http.StatusOK || decode(answer.body, &document) != nil {
			home = ""
			time.Sleep(100 * time.Millisecond)
			continue
		}
		if document.Home != "" {
			home = document.Home
		} else {
			home = addr
		}
		h.obey(document)
		pause := 1500 * time.Millisecond
		if document.RetryAfter > 0 {
			pause = time.Duration(document.RetryAfter) * time.Millisecond
		}
		h.world.beats.Add(1)
		time.Sleep(pause)
	}
}

// report returns the body of a heartbeat, with the lists of runs.
func (h *hollow) report() map[string]any {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advance()
	h.sequence++
	running := [][4]any{}
	for _, run := range h.runs {
		running = append(running, [4]any{run.task, run.number, "", 1})
	}
	return map[string]any{
		"service": h.service, "address": h.address, "zone": h.zone, "version": "v1", "slots": 8, "state": "ready",
		"coldRemainingMs": 0, "capacity": h.capacity, "labels": h.labels,
		"clockMs": h.world.now().Milliseconds(), "sequence": h.sequence,
		"running": running, "ended": append([][5]any{}, h.ended...),
	}
}

// obey carries out the orders in an answer.
func (h *hollow) obey(a heartbeatAnswer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if a.Token < h.token || a.Token == 0 {
		return
	}
	h.token = a.Token
	if a.Hold > 0 {
		h.deadline = max(h.deadline, h.world.now()+time.Duration(a.Hold)*time.Millisecond)
	}
	h.acknowledge(a.Seen)
	for _, s := range a.Stops {
		task, number := s[0].(string), int(s[1].(float64))
		if old := h.runs[task]; old != nil && old.number == number {
			h.end(old, "stopped")
		}
		h.highest[task] = max(h.highest[task], number)
	}
	for _, s := range a.Starts {
		c := orderCall{Task: s[0].(string), Run: int(s[1].(float64)), Spec: s[2].(string),
			Deadline: h.deadline.Milliseconds()}
		var spec taskSpec
		if json.Unmarshal([]byte(c.Spec), &spec) == nil {
			_ = h.begin(c, spec) // a refused start is offered again
		}
	}
}

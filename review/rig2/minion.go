package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"crosstide/internal/rpc"
)

// needs are the resources of a task, or the capacity of a minion.
type needs struct {
	CPU    int `json:"cpu,omitempty"`
	Memory int `json:"memoryRequestMb,omitempty"`
	GPU    int `json:"gpu,omitempty"`
}

func (n needs) plus(other needs, sign int) needs {
	return needs{n.CPU + sign*other.CPU, n.Memory + sign*other.Memory, n.GPU + sign*other.GPU}
}

func (n needs) fits(room needs) bool {
	return n.CPU <= room.CPU && n.Memory <= room.Memory && n.GPU <= room.GPU
}

// taskRun is a run on a minion.
type taskRun struct {
	task    string
	number  int
	spec    taskSpec
	begunAt time.Duration
}

// taskSpec is what the scenarios write into the text of a job: how long the task takes and what it needs, so that a
// minion can guard its capacity. A gang of Gang members starts to work once all of them are present.
type taskSpec struct {
	Millis int   `json:"ms"`
	Needs  needs `json:"needs"`
	Gang   int   `json:"gang,omitempty"`
}

// minion is a stand-in for one worker, as PROTOCOL.md describes it. It guards its capacity.
type minion struct {
	world    *world
	id       string
	service  string
	zone     string
	capacity needs
	labels   []string
	quiet    bool // starts and ends are not recorded
	server   *rpc.Server
	address  string

	mu       sync.Mutex // guards the fields below
	token    uint64
	deadline time.Duration // of the lease, on the rig's clock
	runs     map[string]*taskRun
	highest  map[string]int // by task: the highest run that ended or was stopped here
	ended    [][5]any
	lastEnd  int
	seen     int
	done     map[string]int // by job: how many runs ended done
	changed  chan struct{}
	sequence int
}

// startMinion starts a minion that sends its heartbeats to the core.
func (w *world) startMinion(host int, service string, capacity needs, labels ...string) *minion {
	m := &minion{world: w, id: "i-" + strconv.Itoa(host), service: service, zone: "zone-a", capacity: capacity,
		labels: labels, address: w.addr(host, portMinion), runs: map[string]*taskRun{}, highest: map[string]int{},
		done: map[string]int{}, changed: make(chan struct{})}
	m.server = rpc.NewServer(rpc.ServerOptions{Addr: m.address, Loops: 1})
	m.server.Route("POST "+words["start"], m.start)
	m.server.Route("POST "+words["stop"], m.stopRun)
	m.server.Route("POST /hold", m.hold)
	m.server.Route("GET /health", func(rw http.ResponseWriter, _ *http.Request) { m.write(rw, http.StatusOK, nil) })
	check(m.server.Start(), "minion")
	w.mu.Lock()
	w.minions = append(w.minions, m)
	w.mu.Unlock()
	w.group.Go(m.sendHeartbeats)
	w.group.Go(m.advanceLoop)
	return m
}

func (m *minion) stop() { _ = m.server.Stop(100 * time.Millisecond) } // long polls may still be open

// write answers a call with its fields and the minion's clock.
func (m *minion) write(rw http.ResponseWriter, status int, fields map[string]any) {
	if fields == nil {
		fields = map[string]any{}
	}
	fields["clockMs"] = m.world.now().Milliseconds()
	rpc.WriteJSON(rw, status, json.RawMessage(encode(fields)))
}

// orderCall is the body of any call of the system to a minion.
type orderCall struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"taskSpec"`
	Deadline int64  `json:"deadlineMs"`
	Token    uint64 `json:"fencingToken"`
	Seen     int    `json:"seenUpto"`
	Wait     int64  `json:"waitMs"`
}

// read decodes a call and checks its incarnation and its fence. It answers the call itself if it returns false.
func (m *minion) read(rw http.ResponseWriter, r *http.Request) (c orderCall, isValid bool) {
	body, err := io.ReadAll(r.Body)
	if err == nil {
		err = decode(body, &c)
	}
	if err != nil {
		m.write(rw, http.StatusBadRequest, nil)
		return c, false
	}
	if expected := r.Header.Get(words["instance"]); expected != "" && expected != m.id {
		m.write(rw, http.StatusMisdirectedRequest, nil)
		return c, false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance()
	if c.Token < m.token {
		m.write(rw, http.StatusConflict, map[string]any{"reason": "fence"})
		return c, false
	}
	m.token = c.Token
	m.deadline = max(m.deadline, time.Duration(c.Deadline)*time.Millisecond)
	return c, true
}

func (m *minion) start(rw http.ResponseWriter, r *http.Request) {
	c, isValid := m.read(rw, r)
	if !isValid {
		return
	}
	var spec taskSpec
	if json.Unmarshal([]byte(c.Spec), &spec) != nil {
		m.write(rw, http.StatusBadRequest, nil)
		return
	}
	m.mu.Lock()
	reason := m.begin(c, spec)
	m.mu.Unlock()
	if reason != "" {
		m.world.note("%s: start of %s run %d refused: %s", m.id, c.Task, c.Run, reason)
		m.write(rw, http.StatusConflict, map[string]any{"reason": reason})
		return
	}
	m.write(rw, http.StatusOK, nil)
}

// begin starts a run, or returns why it is refused. m.mu is held.
func (m *minion) begin(c orderCall, spec taskSpec) string {
	now := m.world.now()
	if old := m.runs[c.Task]; old != nil && old.number == c.Run {
		return ""
	}
	switch {
	case c.Run <= m.highest[c.Task]:
		return "old"
	case time.Duration(c.Deadline)*time.Millisecond <= now:
		return "late"
	case m.runs[c.Task] != nil || !spec.Needs.fits(m.capacity.plus(m.used(), -1)):
		return "room"
	}
	m.runs[c.Task] = &taskRun{task: c.Task, number: c.Run, spec: spec, begunAt: now}
	if !m.quiet {
		m.world.note("%s: started %s run %d", m.id, c.Task, c.Run)
	}
	return ""
}

// used returns what the runs on the minion use. m.mu is held.
func (m *minion) used() (sum needs) {
	for _, r := range m.runs {
		sum = sum.plus(r.spec.Needs, 1)
	}
	return sum
}

func (m *minion) stopRun(rw http.ResponseWriter, r *http.Request) {
	c, isValid := m.read(rw, r)
	if !isValid {
		return
	}
	m.mu.Lock()
	if old := m.runs[c.Task]; old != nil && old.number == c.Run {
		m.end(old, "stopped")
	}
	m.highest[c.Task] = max(m.highest[c.Task], c.Run)
	m.mu.Unlock()
	m.write(rw, http.StatusOK, nil)
}

// end records the end of a run. m.mu is held.
func (m *minion) end(r *taskRun, how string) {
	delete(m.runs, r.task)
	m.highest[r.task] = max(m.highest[r.task], r.number)
	m.lastEnd++
	if how == "done" {
		m.done[jobOf(r.task)]++
	}
	m.ended = append(m.ended, [5]any{m.lastEnd, r.task, r.number, how, ""})
	close(m.changed)
	m.changed = make(chan struct{})
	if !m.quiet {
		m.world.note("%s: ended %s run %d: %s", m.id, r.task, r.number, how)
	}
}

// advance ends the runs whose work is done, or all of them when the lease has lapsed. m.mu is held.
func (m *minion) advance() {
	now := m.world.now()
	for _, r := range m.runs {
		switch {
		case now >= m.deadline:
			m.end(r, "lapsed")
		case r.spec.Gang == 0 && now >= r.begunAt+time.Duration(r.spec.Millis)*time.Millisecond:
			m.end(r, "done")
		}
	}
}

func (m *minion) advanceLoop(ctx context.Context) {
	for ctx.Err() == nil {
		m.mu.Lock()
		m.advance()
		m.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
}

func (m *minion) hold(rw http.ResponseWriter, r *http.Request) {
	c, isValid := m.read(rw, r)
	if !isValid {
		return
	}
	deadline := m.world.now() + time.Duration(c.Wait)*time.Millisecond
	m.mu.Lock()
	m.acknowledge(c.Seen)
	for len(m.ended) == 0 && m.world.now() < deadline {
		changed := m.changed
		m.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(deadline - m.world.now()):
		}
		m.mu.Lock()
	}
	running := [][4]any{}
	for _, run := range m.runs {
		percent := 0
		if run.spec.Gang == 0 && run.spec.Millis > 0 {
			percent = int((m.world.now() - run.begunAt).Milliseconds() * 100 / int64(run.spec.Millis))
		}
		running = append(running, [4]any{run.task, run.number, "", min(percent, 99)})
	}
	ended := append([][5]any{}, m.ended...)
	m.mu.Unlock()
	m.write(rw, http.StatusOK, map[string]any{"running": running, "ended": ended})
}

// acknowledge forgets the ends up to a number. m.mu is held.
func (m *minion) acknowledge(seen int) {
	m.seen = max(m.seen, seen)
	for len(m.ended) > 0 && m.ended[0][0].(int) <= m.seen {
		m.ended = m.ended[1:]
	}
}

// sendHeartbeats sends a heartbeat each 1.5 s, to the address that the last answer named, else to the core in turn.
func (m *minion) sendHeartbeats(ctx context.Context) {
	home := ""
	for try := 0; ctx.Err() == nil; try++ {
		addr := home
		if addr == "" {
			addr = m.world.addr(hostCore+try%coreCount, portControl)
		}
		m.sequence++
		answer := call(http.MethodPost, addr, words["instances"]+m.id+"/heartbeat", nil, map[string]any{
			"service": m.service, "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready",
			"coldRemainingMs": 0, "capacity": m.capacity, "labels": m.labels,
			"clockMs": m.world.now().Milliseconds(), "sequence": m.sequence,
		}, time.Second)
		if answer.status != http.StatusOK {
			home = ""
			time.Sleep(200 * time.Millisecond)
			continue
		}
		var document struct {
			Home string `json:"heartbeatAddress"`
		}
		if decode(answer.body, &document) == nil && document.Home != "" {
			home = document.Home
		}
		select {
		case <-ctx.Done():
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

// jobOf returns the job of a task.
func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

// doneOf returns how many runs of a job ended done on the minion.
func (m *minion) doneOf(job string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.done[job]
}

// runsOf returns how many tasks of a job run on the minion.
func (m *minion) runsOf(job string) (count int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for task := range m.runs {
		if jobOf(task) == job {
			count++
		}
	}
	return count
}

// usage returns what the runs on the minion use.
func (m *minion) usage() needs {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used()
}

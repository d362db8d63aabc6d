package main

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/routine"
	"crosstide/internal/rpc"
)

const (
	tickInterval   = 20 * time.Millisecond // between two looks at the runs of a minion
	stopDuration   = 60 * time.Millisecond // that a stop takes; the bound is higher
	maxEnds        = 500                   // in one answer
	heartbeatWait  = time.Second           // for the answer to a heartbeat
	heartbeatPause = heartbeatIntervalMs * time.Millisecond
)

// minionRun is a run on a minion. The spec of a task is the duration of its work in milliseconds; 0 lasts.
type minionRun struct {
	task    string
	number  int
	startAt time.Duration
	work    time.Duration // 0: it lasts until it is stopped
	stopAt  time.Duration // 0: no stop was ordered
}

// minionEnd is an entry of the list of ended runs: [N, task, run, how, saved].
type minionEnd struct {
	number int
	row    [5]any
}

// minion is a stand-in server: it does not check its capacity, answers at once and never fails a run.
type minion struct {
	id, zone, address string
	log               *record
	group             *routine.Group // of the fleet
	cpu, memory       int
	onStart, onEnd    func(m *minion, task string, number int)
	server            *rpc.Server
	client            *http.Client

	mu       sync.Mutex
	token    uint64
	deadline time.Duration
	runs     map[string]*minionRun
	closed   map[string]int // by task: highest run that was stopped or has ended
	ends     []minionEnd
	lastEnd  int
	home     string // address for heartbeats; empty: the next of the list
	sequence int
}

// start serves the orders at the minion's address.
func (m *minion) start() error {
	m.runs, m.closed = map[string]*minionRun{}, map[string]int{}
	m.client = &http.Client{Timeout: heartbeatWait, Transport: &http.Transport{DisableKeepAlives: true}}
	m.server = rpc.NewServer(rpc.ServerOptions{Addr: m.address, Loops: 1})
	m.server.Route("POST "+words["start"], m.guard(m.runStart))
	m.server.Route("POST "+words["stop"], m.guard(m.runStop))
	m.server.Route("POST "+words["hold"], m.guard(m.hold))
	m.server.Route("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	return errs.Pass(m.server.Start(), "minion %s", m.id)
}

// clock returns the reading of the minion's clock. It does not start at 0, which would stand for no reading.
func (m *minion) clock() time.Duration { return m.log.now() + time.Second }

// order is the body of any order.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"taskSpec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Token      uint64 `json:"fencingToken"`
	SeenUpTo   int    `json:"seenUpto"`
	WaitMs     int64  `json:"waitMs"`
}

// guard returns a handler that answers 421 to orders for another incarnation, and 409 to those of an old leader.
func (m *minion) guard(serve func(w http.ResponseWriter, o order)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if expected := r.Header.Get(words["instanceHeader"]); expected != "" && expected != m.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var o order
		data, err := io.ReadAll(r.Body)
		if err == nil {
			err = decode(data, &o)
		}
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		m.mu.Lock()
		isOld := o.Token < m.token
		m.token = max(m.token, o.Token)
		if limit := m.clock() + maxHoldMs*time.Millisecond; !isOld && o.DeadlineMs > 0 {
			m.deadline = max(m.deadline, min(time.Duration(o.DeadlineMs)*time.Millisecond, limit))
		}
		m.mu.Unlock()
		if isOld {
			m.refuse(w, "fence")
			return
		}
		serve(w, o)
	}
}

func (m *minion) refuse(w http.ResponseWriter, reason string) {
	writeAnswer(w, http.StatusConflict, map[string]any{"clockMs": m.clock().Milliseconds(), "reason": reason})
}

func (m *minion) accept(w http.ResponseWriter) {
	writeAnswer(w, http.StatusOK, map[string]any{"clockMs": m.clock().Milliseconds()})
}

// writeAnswer writes the answer to an order.
func writeAnswer(w http.ResponseWriter, status int, answer map[string]any) {
	data, err := encode(answer)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (m *minion) runStart(w http.ResponseWriter, o order) {
	m.mu.Lock()
	refusal, isNew := "", false
	switch running := m.runs[o.Task]; {
	case running != nil && running.number == o.Run:
	case o.Run <= m.closed[o.Task] || running != nil && running.number > o.Run:
		refusal = "old"
	case time.Duration(o.DeadlineMs)*time.Millisecond <= m.clock():
		refusal = "late"
	default:
		ms, _ := strconv.Atoi(o.Spec)
		work := time.Duration(ms) * time.Millisecond
		m.runs[o.Task] = &minionRun{task: o.Task, number: o.Run, startAt: m.clock(), work: work}
		isNew = true
	}
	m.mu.Unlock()
	if isNew {
		m.log.add("%s (%s) starts %s run %d token %d", m.id, m.zone, o.Task, o.Run, o.Token)
		m.onStart(m, o.Task, o.Run)
	}
	if refusal != "" {
		m.refuse(w, refusal)
		return
	}
	m.accept(w)
}

func (m *minion) runStop(w http.ResponseWriter, o order) {
	m.mu.Lock()
	m.closed[o.Task] = max(m.closed[o.Task], o.Run)
	if running := m.runs[o.Task]; running != nil && running.number <= o.Run && running.stopAt == 0 {
		running.stopAt = m.clock() + stopDuration
	}
	m.mu.Unlock()
	m.accept(w)
}

// hold answers with the lists, and waits for an end if the order asks for it.
func (m *minion) hold(w http.ResponseWriter, o order) {
	until := m.clock() + time.Duration(o.WaitMs)*time.Millisecond
	m.mu.Lock()
	for len(m.ends) > 0 && m.ends[0].number <= o.SeenUpTo {
		m.ends = m.ends[1:]
	}
	m.mu.Unlock()
	for {
		m.mu.Lock()
		if len(m.ends) > 0 || m.clock() >= until {
			break
		}
		m.mu.Unlock()
		pause(context.Background(), tickInterval/2)
	}
	running, ended := [][4]any{}, [][5]any{}
	for _, r := range m.runs {
		percent := 0
		if r.work > 0 {
			percent = int(min(99, 100*(m.clock()-r.startAt)/r.work))
		}
		running = append(running, [4]any{r.task, r.number, "", percent})
	}
	for _, e := range m.ends[:min(len(m.ends), maxEnds)] {
		ended = append(ended, e.row)
	}
	m.mu.Unlock()
	writeAnswer(w, http.StatusOK, map[string]any{
		"clockMs": m.clock().Milliseconds(), "running": running, "ended": ended})
}

// tick ends the runs whose work is complete, whose stop has taken its time, or whose lease is over.
func (m *minion) tick() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock()
	for task, r := range m.runs {
		how := ""
		switch {
		case now >= m.deadline:
			how = "lapsed"
		case r.work > 0 && now >= r.startAt+r.work:
			how = "done"
		case r.stopAt > 0 && now >= r.stopAt:
			how = "stopped"
		default:
			continue
		}
		delete(m.runs, task)
		m.closed[task] = max(m.closed[task], r.number)
		m.lastEnd++
		m.ends = append(m.ends, minionEnd{m.lastEnd, [5]any{m.lastEnd, task, r.number, how, ""}})
		m.log.add("%s ends %s run %d %s", m.id, task, r.number, how)
		m.onEnd(m, task, r.number)
	}
}

// live ticks and sends heartbeats to the addresses of the control plane until ctx ends.
func (m *minion) live(ctx context.Context, control []string, first int) {
	next := m.clock()
	for turn := first; pause(ctx, tickInterval); {
		m.tick()
		if m.clock() < next {
			continue
		}
		next = m.clock() + heartbeatPause
		m.mu.Lock()
		m.sequence++
		sequence, address := m.sequence, m.home
		m.mu.Unlock()
		if address == "" {
			address = control[turn%len(control)]
			turn++
		}
		m.group.Go(func(context.Context) { m.sendHeartbeat(address, sequence) })
	}
}

// sendHeartbeat sends one heartbeat, and takes the address for later ones from the answer.
func (m *minion) sendHeartbeat(address string, sequence int) {
	body, err := encode(map[string]any{
		"service": serviceName, "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready",
		"coldRemainingMs": 0, "labels": []string{"a", "r-" + m.zone}, "clockMs": m.clock().Milliseconds(),
		"sequence": sequence, "capacity": map[string]int{"cpu": m.cpu, "memoryRequestMb": m.memory, "gpu": 0},
	})
	if err != nil {
		return
	}
	path := "http://" + address + words["instances"] + m.id + words["heartbeat"]
	response, err := m.client.Post(path, "application/json", strings.NewReader(string(body)))
	home := ""
	if err == nil {
		var answer struct {
			Address string `json:"heartbeatAddress"`
		}
		data, readErr := io.ReadAll(response.Body)
		if response.StatusCode == http.StatusOK && readErr == nil && decode(data, &answer) == nil {
			home = answer.Address
			if home == "" {
				home = address
			}
		}
		_ = response.Body.Close()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if home != "" && m.home == "" {
		m.log.add("%s is known to %s", m.id, address)
	}
	m.home = home
}

// isKnown reports whether the newest heartbeat was acknowledged.
func (m *minion) isKnown() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.home != ""
}

// pause waits for d and reports whether ctx is still alive.
func pause(ctx context.Context, d time.Duration) bool {
	return clock.Sleep(ctx.Done(), clock.Real{}, d)
}

package scheduler

import (
	"maps"
	"slices"
	"time"

	"crosstide/internal/internalapi"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

// harness is a store of one, with a core on its state: what the core plans is committed when the test says so.
type harness struct {
	st   *state.State
	core *Core
	now  time.Duration
	wait map[string]OutgoingCall // polls in flight, by worker
	// coresByWorker is how many cores a worker reports; 4 if it is not in it.
	coresByWorker map[string]int
}

func newHarness(kind string, workers ...string) *harness {
	h := &harness{st: state.New(), now: time.Minute, wait: map[string]OutgoingCall{}}
	h.core = New(DefaultConfig(), h.st)
	h.st.OnEvent = h.core.StateChanged
	h.do(&command.GrantRole{Role: "sched", Holder: "d1"})
	for _, name := range workers {
		h.do(&command.Announce{Worker: state.Worker{Name: name, Addr: name, Kind: kind}})
	}
	h.lead()
	return h
}

func (h *harness) do(c command.Command) any {
	data, err := command.Encode(time.Unix(0, 0).Add(h.now), c)
	if err != nil {
		panic(err)
	}
	a, err := command.Apply(h.st, h.st.Index+1, 1, data)
	if err != nil {
		panic(err)
	}
	return a
}

// lead grants the role to a leader after the present one.
func (h *harness) lead() {
	h.do(&command.GrantRole{Role: "sched", Holder: "d", After: h.st.Roles["sched"].Epoch})
	h.core = New(DefaultConfig(), h.st)
	h.st.OnEvent = h.core.StateChanged
	h.core.BecomeLeader(h.now, h.st.Roles["sched"].Epoch)
	h.core.SetRoleLease(h.now + time.Hour)
	clear(h.wait)
}

func (h *harness) submit(key string, step state.StepSpec) {
	step.Name, step.Type = "s", "t"
	step.Tasks, step.Cores = max(step.Tasks, 1), max(step.Cores, 1)
	h.do(&command.Submit{Spec: state.Spec{Key: key, Team: "a", Queue: "default", Steps: []state.StepSpec{step}}, Digest: key, Bound: 100})
}

// commit applies a plan and answers it.
func (h *harness) commit(p *command.Plan) {
	if p != nil {
		h.core.PlanAnswered(h.now, p.Epoch, h.do(p).(command.Planned), nil)
	}
}

// commitPlans passes and commits until no plan comes, and returns the calls of all passes.
func (h *harness) commitPlans() []OutgoingCall {
	var calls []OutgoingCall
	for {
		out := h.core.Pass(h.now)
		calls = append(calls, out.Calls...)
		for _, c := range out.Calls {
			if !c.IsOrder {
				h.wait[c.Worker] = c
			}
		}
		if out.Plan == nil {
			return calls
		}
		h.commit(out.Plan)
	}
}

func (h *harness) answer(c OutgoingCall, kind string, a internalapi.LeaseAnswer) {
	a.Call, a.Epoch, a.Kind, a.Clock, a.Floor = c.Call.Call, c.Call.Epoch, kind, h.now, max(a.Floor, c.Call.Floor)
	a.Cores, a.Zone = 4, "z1"
	if cores, ok := h.coresByWorker[c.Worker]; ok {
		a.Cores = cores
	}
	if a.Incarnation == "" {
		a.Incarnation = "b1"
	}
	h.core.CallAnswered(h.now, c, a)
}

// greetWorkers answers the polls, so that every worker is known.
func (h *harness) greetWorkers(kind string) {
	for range 2 {
		h.commitPlans()
		h.reply(kind, "", internalapi.LeaseAnswer{})
	}
	h.commitPlans()
}

// reply answers the polls in flight, but for that of the worker named.
func (h *harness) reply(kind, but string, a internalapi.LeaseAnswer) {
	for _, name := range slices.Sorted(maps.Keys(h.wait)) {
		if c := h.wait[name]; name != but {
			delete(h.wait, name)
			h.answer(c, kind, a)
		}
	}
}

// findOrder returns the one call with starts among calls.
func findOrder(calls []OutgoingCall) *OutgoingCall {
	for i := range calls {
		if len(calls[i].Call.Starts) > 0 {
			return &calls[i]
		}
	}
	return nil
}

func taskOf(h *harness, key string) *state.Task {
	_, t := h.st.TaskOf(state.TaskRef{Job: key})
	return t
}

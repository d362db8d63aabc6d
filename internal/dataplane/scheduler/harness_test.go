package scheduler

import (
	"maps"
	"slices"
	"time"

	"crosstide/internal/internalapi"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

// harness is a store of one node with a core on its state. The core's plans are committed when the test calls commit.
type harness struct {
	st   *state.State
	core *Core
	now  time.Duration
	wait map[string]OutgoingCall // polls in flight, by worker
	// coresByWorker has how many cores a worker reports; 4 if it is not in the map.
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

// do applies a command to the state and returns its answer. A command that fails is an error of the test: it panics.
func (h *harness) do(c command.Command) any {
	data, err := command.Encode(time.Unix(0, 0).Add(h.now), c)
	if err != nil {
		panic(err)
	}
	answer, err := command.Apply(h.st, h.st.Index+1, 1, data)
	if err != nil {
		panic(err)
	}
	return answer
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

// submit submits a job of one step for team "a"; tasks and cores are 1 if step has none.
func (h *harness) submit(key string, step state.StepSpec) {
	step.Name, step.Type = "s", "t"
	step.Tasks, step.Cores = max(step.Tasks, 1), max(step.Cores, 1)
	h.submitTo("default", "a", key, step)
}

func (h *harness) submitTo(queue, team, key string, step state.StepSpec) {
	spec := state.Spec{Key: key, Team: team, Queue: queue, Steps: []state.StepSpec{step}}
	h.do(&command.Submit{Spec: spec, Digest: key, Bound: 100})
}

// commit applies a plan and answers it.
func (h *harness) commit(p *command.Plan) {
	if p != nil {
		h.core.PlanAnswered(h.now, p.Epoch, h.do(p).(command.Planned), nil)
	}
}

// commitPlans runs passes and commits their plans until a pass has none, and returns the calls of all passes.
func (h *harness) commitPlans() []OutgoingCall {
	var calls []OutgoingCall
	for {
		actions := h.core.Pass(h.now)
		calls = append(calls, actions.Calls...)
		for _, c := range actions.Calls {
			if !c.IsOrder {
				h.wait[c.Worker] = c
			}
		}
		if actions.Plan == nil {
			return calls
		}
		h.commit(actions.Plan)
	}
}

// answer answers a call as a worker of the kind, with what a has in addition.
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

// greetWorkers answers polls until the store has the report of every worker.
func (h *harness) greetWorkers(kind string) {
	for range 2 {
		h.commitPlans()
		h.reply(kind, "", internalapi.LeaseAnswer{})
	}
	h.commitPlans()
}

// reply answers the polls in flight, except that of the worker named.
func (h *harness) reply(kind, except string, a internalapi.LeaseAnswer) {
	for _, name := range slices.Sorted(maps.Keys(h.wait)) {
		if c := h.wait[name]; name != except {
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

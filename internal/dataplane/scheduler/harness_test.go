package scheduler

import (
	"maps"
	"slices"
	"time"

	"crosstide/internal/internalapi"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

// harness is a replicated state on one node and a Core that reads it. Plans are committed when the test calls commit.
type harness struct {
	st    *state.State
	core  *Core
	now   time.Duration
	polls map[string]OutgoingCall // polls in flight, by worker
	// coresByWorker is the number of cores that a worker reports; 4 for a worker that is not in the map.
	coresByWorker map[string]int
}

// newHarness returns a harness with workers of a kind, whose core has the role. No worker has answered yet.
func newHarness(kind string, workers ...string) *harness {
	h := &harness{st: state.New(), now: time.Minute, polls: map[string]OutgoingCall{}}
	h.core = New(DefaultConfig(), h.st)
	h.st.OnEvent = h.core.StateChanged
	h.apply(&command.GrantRole{Role: "sched", Holder: "d1"})
	for _, name := range workers {
		h.apply(&command.Announce{Worker: state.Worker{Name: name, Addr: name, Kind: kind}})
	}
	h.changeLeader()
	return h
}

// apply applies a command to the state and returns its answer. It panics if the command fails, which is a fault of the
// test.
func (h *harness) apply(c command.Command) any {
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

// changeLeader grants the role to a new leader, with a new core.
func (h *harness) changeLeader() {
	h.apply(&command.GrantRole{Role: "sched", Holder: "d", After: h.st.Roles["sched"].Epoch})
	h.core = New(DefaultConfig(), h.st)
	h.st.OnEvent = h.core.StateChanged
	h.core.BecomeLeader(h.now, h.st.Roles["sched"].Epoch)
	h.core.SetRoleLease(h.now + time.Hour)
	clear(h.polls)
}

// submit submits a job with one step of type "t" for team "a". Tasks and cores default to 1.
func (h *harness) submit(key string, step state.StepSpec) {
	step.Name, step.Type = "s", "t"
	step.Tasks, step.Cores = max(step.Tasks, 1), max(step.Cores, 1)
	h.submitTo("default", "a", key, step)
}

// submitTo submits a job with one step to a queue for a team.
func (h *harness) submitTo(queue, team, key string, step state.StepSpec) {
	spec := state.Spec{Key: key, Team: team, Queue: queue, Steps: []state.StepSpec{step}}
	h.apply(&command.Submit{Spec: spec, Digest: key, Bound: 100})
}

// commit applies a plan and passes its answer to the core. A nil plan is ignored.
func (h *harness) commit(p *command.Plan) {
	if p != nil {
		h.core.PlanAnswered(h.now, p.Epoch, h.apply(p).(command.Planned), nil)
	}
}

// commitPlans runs passes and commits their plans until a pass has no plan. It returns the calls of all passes.
func (h *harness) commitPlans() []OutgoingCall {
	var calls []OutgoingCall
	for {
		actions := h.core.Pass(h.now)
		calls = append(calls, actions.Calls...)
		for _, call := range actions.Calls {
			if !call.IsOrder {
				h.polls[call.Worker] = call
			}
		}
		if actions.Plan == nil {
			return calls
		}
		h.commit(actions.Plan)
	}
}

// answer answers a call as a worker of a kind does. a has the parts of the answer that differ from the defaults.
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

// registerWorkers answers polls until the store has the report of every worker.
func (h *harness) registerWorkers(kind string) {
	for range 2 {
		h.commitPlans()
		h.answerPolls(kind, "", internalapi.LeaseAnswer{})
	}
	h.commitPlans()
}

// answerPolls answers the polls in flight, except that of the worker named except.
func (h *harness) answerPolls(kind, except string, a internalapi.LeaseAnswer) {
	for _, name := range slices.Sorted(maps.Keys(h.polls)) {
		if call := h.polls[name]; name != except {
			delete(h.polls, name)
			h.answer(call, kind, a)
		}
	}
}

// findOrder returns the first call with starts, or nil.
func findOrder(calls []OutgoingCall) *OutgoingCall {
	for i := range calls {
		if len(calls[i].Call.Starts) > 0 {
			return &calls[i]
		}
	}
	return nil
}

// taskOf returns the first task of a job.
func taskOf(h *harness, key string) *state.Task {
	_, task := h.st.TaskOf(state.TaskRef{Job: key})
	return task
}

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
	wait map[string]OutgoingCall // waiting calls that are out, by minion
	// room is the cores that a minion tells of, by name; 4 if it is not in it.
	coresByWorker map[string]int
}

func newHarness(kind string, workers ...string) *harness {
	d := &harness{st: state.New(), now: time.Minute, wait: map[string]OutgoingCall{}}
	d.core = New(DefaultConfig(), d.st)
	d.st.OnEvent = d.core.StateChanged
	d.do(&command.GrantRole{Role: "sched", Holder: "d1"})
	for _, name := range workers {
		d.do(&command.Announce{Worker: state.Worker{Name: name, Addr: name, Kind: kind}})
	}
	d.lead()
	return d
}

func (d *harness) do(c command.Command) any {
	data, err := command.Encode(time.Unix(0, 0).Add(d.now), c)
	if err != nil {
		panic(err)
	}
	a, err := command.Apply(d.st, d.st.Index+1, 1, data)
	if err != nil {
		panic(err)
	}
	return a
}

// lead gives the duty to a holder after the present one.
func (d *harness) lead() {
	d.do(&command.GrantRole{Role: "sched", Holder: "d", After: d.st.Roles["sched"].Epoch})
	d.core = New(DefaultConfig(), d.st)
	d.st.OnEvent = d.core.StateChanged
	d.core.BecomeLeader(d.now, d.st.Roles["sched"].Epoch)
	d.core.SetRoleLease(d.now + time.Hour)
	clear(d.wait)
}

func (d *harness) submit(key string, step state.StepSpec) {
	step.Name, step.Type = "s", "t"
	step.Tasks, step.Cores = max(step.Tasks, 1), max(step.Cores, 1)
	d.do(&command.Submit{Spec: state.Spec{Key: key, Team: "a", Queue: "default", Steps: []state.StepSpec{step}}, Digest: key, Bound: 100})
}

// commit applies a plan and answers it.
func (d *harness) commit(p *command.Plan) {
	if p != nil {
		d.core.PlanAnswered(d.now, p.Epoch, d.do(p).(command.Planned), nil)
	}
}

// commitPlans passes and commits until no plan comes, and gives the calls of all passes.
func (d *harness) commitPlans() []OutgoingCall {
	var calls []OutgoingCall
	for {
		out := d.core.Pass(d.now)
		calls = append(calls, out.Calls...)
		for _, c := range out.Calls {
			if !c.IsOrder {
				d.wait[c.Worker] = c
			}
		}
		if out.Plan == nil {
			return calls
		}
		d.commit(out.Plan)
	}
}

func (d *harness) answer(c OutgoingCall, kind string, a internalapi.LeaseAnswer) {
	a.Call, a.Epoch, a.Kind, a.Clock, a.Floor = c.Call.Call, c.Call.Epoch, kind, d.now, max(a.Floor, c.Call.Floor)
	a.Cores, a.Zone = 4, "z1"
	if cores, ok := d.coresByWorker[c.Worker]; ok {
		a.Cores = cores
	}
	if a.Incarnation == "" {
		a.Incarnation = "b1"
	}
	d.core.CallAnswered(d.now, c.Worker, c.IsOrder, c.Call, a)
}

// greetWorkers answers the waiting calls, so that every minion is known.
func (d *harness) greetWorkers(kind string) {
	for range 2 {
		d.commitPlans()
		d.reply(kind, "", internalapi.LeaseAnswer{})
	}
	d.commitPlans()
}

// reply answers the waiting calls that are out, but for those of the minion named.
func (d *harness) reply(kind, but string, a internalapi.LeaseAnswer) {
	for _, name := range slices.Sorted(maps.Keys(d.wait)) {
		if c := d.wait[name]; name != but {
			delete(d.wait, name)
			d.answer(c, kind, a)
		}
	}
}

// orderCall gives the one call with starts among calls.
func findOrder(calls []OutgoingCall) *OutgoingCall {
	for i := range calls {
		if len(calls[i].Call.Starts) > 0 {
			return &calls[i]
		}
	}
	return nil
}

func taskOf(d *harness, key string) *state.Task {
	_, t := d.st.TaskOf(state.TaskRef{Job: key})
	return t
}

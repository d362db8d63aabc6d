package command

import (
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/state"
)

// testState is a state to which commands are applied in order, as the log does. The entries are of term 1, a second
// apart.
type testState struct{ *state.State }

// newTestState has a scheduler of epoch 1 and the workers m1 and m2 with two cores each.
func newTestState() testState {
	b := testState{state.New()}
	b.do(&GrantRole{Role: "sched", Holder: "d1"})
	for _, name := range []string{"m1", "m2"} {
		b.do(&Announce{Worker: state.Worker{Name: name, Addr: name}})
		b.do(&Plan{Epoch: 1, Workers: []state.Worker{testWorker(name)}})
	}
	return b
}

// testWorker is a worker as it reports itself, in the zone of its number.
func testWorker(name string) state.Worker {
	return state.Worker{Name: name, Incarnation: "b", Kind: "check", Zone: "z" + name[1:], Cores: 2}
}

// startOn wants a run of a task of the first step.
func startOn(worker, key string, task int) Start {
	return Start{Ref: state.TaskRef{Job: key, Task: task}, Worker: worker, Incarnation: "b"}
}

// do applies a command through its log entry.
func (b testState) do(c Command) (any, error) {
	data, err := Encode(time.Unix(int64(b.Index), 0), c)
	if err != nil {
		panic(err)
	}
	return Apply(b.State, b.Index+1, 1, data)
}

// submit submits a job of team a; its steps have one task at least, of one core.
func (b testState) submit(key string, steps ...state.StepSpec) (any, error) {
	for i := range steps {
		steps[i].Tasks, steps[i].Cores = max(steps[i].Tasks, 1), 1
	}
	return b.do(&Submit{Spec: state.Spec{Key: key, Team: "a", Queue: "default", Steps: steps}, Digest: key, Bound: 3})
}

// start admits all jobs and asks for starts. Under another epoch none is assigned, and the reason is "epoch".
func (b testState) start(epoch uint64, starts ...Start) Planned {
	a, err := b.do(&Plan{Epoch: epoch, BundleVersion: b.Bundle.Version, Seq: b.Seq, Starts: starts, LeaseTTL: time.Second})
	if err != nil {
		return Planned{Refused: []string{"epoch"}, RunIDs: make([]uint64, len(starts))}
	}
	return a.(Planned)
}

// must applies a command that is not refused.
func (b testState) must(c Command) any {
	a, err := b.do(c)
	So(err, ShouldBeNil)
	return a
}

// plan applies a plan that is not refused.
func (b testState) plan(p Plan) Planned {
	p.Epoch, p.BundleVersion = 1, b.Bundle.Version
	return b.must(&p).(Planned)
}

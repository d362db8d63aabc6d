package command

import (
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/state"
)

// testState is a state to which a test applies commands as log entries, in order. All entries have term 1, and each
// advances the store time by a second.
type testState struct{ *state.State }

// newTestState returns a state in which the scheduler's role has epoch 1 and the workers m1 and m2 have two cores each.
func newTestState() testState {
	s := testState{state.New()}
	s.do(&GrantRole{Role: "sched", Holder: "d1"})
	for _, name := range []string{"m1", "m2"} {
		s.do(&Announce{Worker: state.Worker{Name: name, Addr: name}})
		s.do(&Plan{Epoch: 1, Workers: []state.Worker{testWorker(name)}})
	}
	return s
}

// testWorker returns a worker as it reports itself; the zone of m1 is z1.
func testWorker(name string) state.Worker {
	return state.Worker{Name: name, Incarnation: "b", Kind: "check", Zone: "z" + name[1:], Cores: 2}
}

// startOn returns a start of a task of the first step on a worker.
func startOn(worker, key string, task int) Start {
	return Start{Ref: state.TaskRef{Job: key, Task: task}, Worker: worker, Incarnation: "b"}
}

// do applies a command through its log entry.
func (s testState) do(c Command) (any, error) {
	data, err := Encode(time.Unix(int64(s.Index), 0), c)
	if err != nil {
		panic(err)
	}
	return Apply(s.State, s.Index+1, 1, data)
}

// submit submits a job of team a. Steps without tasks get one; each task needs one core.
func (s testState) submit(key string, steps ...state.StepSpec) (any, error) {
	for i := range steps {
		steps[i].Tasks, steps[i].Cores = max(steps[i].Tasks, 1), 1
	}
	return s.do(&Submit{Spec: state.Spec{Key: key, Team: "a", Queue: "default", Steps: steps}, Digest: key, Bound: 3})
}

// start applies a plan that admits all jobs and contains the starts. If the plan is rejected, the answer has the
// refusal "epoch" and only zero run IDs.
func (s testState) start(epoch uint64, starts ...Start) Planned {
	answer, err := s.do(&Plan{
		Epoch: epoch, BundleVersion: s.Bundle.Version, Seq: s.Seq, Starts: starts, LeaseTTL: time.Second,
	})
	if err != nil {
		return Planned{Refused: []state.Refusal{"epoch"}, RunIDs: make([]uint64, len(starts))}
	}
	return answer.(Planned)
}

// must applies a command, checks that it succeeds and returns its answer.
func (s testState) must(c Command) any {
	answer, err := s.do(c)
	So(err, ShouldBeNil)
	return answer
}

// plan applies a plan of epoch 1 and checks that it succeeds.
func (s testState) plan(p Plan) Planned {
	p.Epoch, p.BundleVersion = 1, s.Bundle.Version
	return s.must(&p).(Planned)
}

package load

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"crosstide/internal/state"
)

// arrival is one job to submit. All its random values are drawn from the seed of the load.
type arrival struct {
	at          time.Duration // since the start of the load
	spec        state.Spec
	cancelAfter time.Duration // from its acceptance to its cancel; negative: never
	isRepeated  bool          // it is submitted a second time, at another node
	seed        uint64        // for the choice of nodes
}

// countInterval is the time between two arrivals of a load with Options.Count.
const countInterval = 20 * time.Millisecond

// planArrivals returns the arrivals of a load in order of time. They depend on the options and the seed only. A random
// draw that is added or moved here changes the arrivals of every seed.
func planArrivals(o Options) []arrival {
	rng := rand.New(rand.NewPCG(o.Seed, 1))
	program := programOf(o)
	var arrivals []arrival
	for at := time.Duration(0); ; {
		if o.Count > 0 {
			at += countInterval
		} else {
			at += time.Duration(rng.ExpFloat64() / o.Rate * float64(time.Second))
		}
		if at >= o.Duration || o.Count > 0 && len(arrivals) == o.Count {
			return arrivals
		}
		next := arrival{at: at, cancelAfter: -1, seed: rng.Uint64()}
		if rng.Float64() < o.CancelProbability {
			next.cancelAfter = time.Duration(rng.Float64() * float64(time.Second))
		}
		if o.LongRunning {
			next.cancelAfter = o.Duration - at
		}
		next.isRepeated = rng.Float64() < o.DuplicateProbability
		next.spec = specOf(o, len(arrivals), program)
		arrivals = append(arrivals, next)
	}
}

// programOf returns the program of every task, which a stand-in worker executes.
func programOf(o Options) []byte {
	ms := o.TaskDuration.Milliseconds()
	if o.LongRunning {
		ms = -1
	}
	program, err := json.Marshal(map[string]any{"ms": ms, "ok": true})
	if err != nil {
		panic(err) // cannot happen: a number and a bool
	}
	return program
}

// specOf returns the nth job of a load. Its steps run one after the other.
func specOf(o Options, nth int, program []byte) state.Spec {
	spec := state.Spec{Key: fmt.Sprintf("%s-%d", o.Prefix, nth), Team: o.Team, Queue: o.Queue}
	for i := range o.Steps {
		step := state.StepSpec{Name: fmt.Sprintf("s%d", i+1), Type: o.Type, Tasks: o.Tasks, Cores: o.Cores,
			GPUs: o.GPUs, Gang: o.Gang, LongRunning: o.LongRunning, Labels: o.Labels, Retries: o.Retries, Run: program}
		if i > 0 {
			step.After = []string{fmt.Sprintf("s%d", i)}
		}
		spec.Steps = append(spec.Steps, step)
	}
	return spec
}

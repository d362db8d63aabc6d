package command

import (
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/state"
)

// Plan has the changes that the scheduler commits together: the jobs to admit, the reports of workers, the proofs that
// runs are dead, and the starts. Each part is checked again when the plan is applied; a part that has become invalid
// since it was decided changes nothing.
type Plan struct {
	Epoch         uint64         `json:"e"`           // of the scheduler role; a plan of another epoch is rejected
	BundleVersion uint64         `json:"v"`           // in force when planning; starts are refused under another
	Seq           uint64         `json:"q,omitempty"` // jobs in the inbox up to this number are admitted
	Workers       []state.Worker `json:"m,omitempty"` // as they reported themselves
	Running       []uint64       `json:"r,omitempty"` // run IDs reported as running
	Unconfirmed   []uint64       `json:"u,omitempty"` // run IDs whose start order or its answer was lost
	Ends          []End          `json:"x,omitempty"` // reported ends
	Dead          []Proof        `json:"k,omitempty"` // handles proved dead without a reported end
	Starts        []Start        `json:"s,omitempty"`
	// LeaseTTL is the scheduler's setting, recorded in each handle of Starts unless the bundle overrides it.
	LeaseTTL time.Duration `json:"h,omitempty"`
}

// Planned answers Plan with the run ID of each of Starts, or 0 and the reason for its refusal.
type Planned struct {
	RunIDs  []uint64        `json:"tickets,omitempty"`
	Refused []state.Refusal `json:"refused,omitempty"`
}

// Op returns "plan".
func (*Plan) Op() string { return "plan" }

func (c *Plan) apply(s *state.State, _ uint64) (any, error) {
	if err := c.check(s); err != nil {
		return nil, errs.Pass(err, "plan")
	}
	s.AdmitJobs(c.Seq)
	// Ends come before reports: a report of a new incarnation releases the handles of all runs of the old one that have
	// no recorded end.
	for _, e := range c.Ends {
		recordEnd(s, e)
	}
	for _, w := range c.Workers {
		recordReport(s, w)
	}
	recordPhase(s, c.Running, state.TaskRunning)
	recordPhase(s, c.Unconfirmed, state.TaskUnconfirmed)
	for _, p := range c.Dead {
		recordProof(s, p)
	}
	return c.assignStarts(s), nil
}

// check returns an error if the scheduler has lost or released its role since it made the plan.
func (c *Plan) check(s *state.State) error {
	if role := s.Roles[state.SchedulerRole]; role == nil || role.Epoch != c.Epoch || role.Holder == "" {
		return errs.New(errs.Stale, "plan of epoch %d is stale: the duty sched was granted again or released", c.Epoch)
	}
	return nil
}

// assignStarts assigns the starts in order, those of a group together or not at all.
func (c *Plan) assignStarts(s *state.State) Planned {
	if len(c.Starts) == 0 {
		return Planned{}
	}
	planned := Planned{RunIDs: make([]uint64, len(c.Starts)), Refused: make([]state.Refusal, len(c.Starts))}
	for first := 0; first < len(c.Starts); {
		end := c.groupEnd(first)
		refusal := c.groupRefusal(s, c.Starts[first:end])
		for i := first; i < end; i++ {
			if refusal != "" {
				planned.Refused[i] = refusal
			} else {
				planned.RunIDs[i] = c.assign(s, c.Starts[i])
			}
		}
		first = end
	}
	return planned
}

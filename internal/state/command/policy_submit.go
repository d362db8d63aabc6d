package command

import (
	"fmt"
	"slices"

	"crosstide/internal/errs"
	"crosstide/internal/state"
)

// Submit puts a job into the inbox. A submission with a known key returns the known job if it has the same digest;
// otherwise it fails with Conflict. Bound is the maximum number of open jobs, see State.OverloadReason.
type Submit struct {
	Spec   state.Spec `json:"spec"`
	Digest string     `json:"digest"`
	Bound  int        `json:"bound"`
}

// Submitted answers Submit with the job's phase and whether this entry accepted the job.
type Submitted struct {
	Key    string         `json:"key"`
	Phase  state.JobPhase `json:"state"`
	Reason string         `json:"reason,omitempty"`
	Fresh  bool           `json:"fresh"`
}

// Op returns "submit".
func (*Submit) Op() string { return "submit" }

func (c *Submit) apply(s *state.State, _ uint64) (any, error) {
	key := c.Spec.Key
	if j := s.Jobs[key]; j != nil {
		if j.Digest != c.Digest {
			return nil, errs.Field(errs.Conflict, "key", "%q belongs to another job", key)
		}
		return Submitted{Key: key, Phase: j.Phase, Reason: j.Reason}, nil
	}
	if t := s.Tombstones[key]; t != nil {
		if t.Digest != c.Digest {
			return nil, errs.Field(errs.Conflict, "key", "%q belongs to another job, which was purged", key)
		}
		return Submitted{Key: key, Phase: t.Phase, Reason: t.Reason}, nil
	}
	if err := c.check(s); err != nil {
		return nil, errs.Pass(err, "submit")
	}
	return c.change(s), nil
}

// check returns an error if the placement policy of the queue or overload forbids a new job. Failures: Invalid,
// Forbidden, Overloaded.
func (c *Submit) check(s *state.State) error {
	queue, ok := s.Bundle.Queues[c.Spec.Queue]
	if !ok {
		return errs.Field(errs.Invalid, "queue", "no queue %q in bundle %d", c.Spec.Queue, s.Bundle.Version)
	}
	if len(queue.Teams) > 0 && !slices.Contains(queue.Teams, c.Spec.Team) {
		return errs.Field(errs.Forbidden, "team", "%q may not use queue %q", c.Spec.Team, c.Spec.Queue)
	}
	for i, step := range c.Spec.Steps {
		if len(queue.Types) > 0 && !slices.Contains(queue.Types, step.Type) {
			return errs.Field(errs.Forbidden, fmt.Sprintf("steps[%d].type", i),
				"%q may not use queue %q", step.Type, c.Spec.Queue)
		}
	}
	if reason := s.OverloadReason(c.Spec.Team, queue.Urgent, c.Bound); reason != "" {
		return errs.New(errs.Overloaded, "%s", reason)
	}
	return nil
}

func (c *Submit) change(s *state.State) Submitted {
	s.Seq++
	j := &state.Job{Spec: c.Spec, Digest: c.Digest, Phase: state.JobAccepted, Seq: s.Seq, SubmittedAt: s.At}
	s.EnqueueJob(j)
	return Submitted{Key: c.Spec.Key, Phase: j.Phase, Fresh: true}
}

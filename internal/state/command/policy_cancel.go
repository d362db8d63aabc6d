package command

import (
	"slices"

	"crosstide/internal/errs"
	"crosstide/internal/state"
)

// cancelReason is stored with each cancelled job.
const cancelReason = "cancelled by a consumer"

// Cancel stops a job: none of its tasks starts after this entry.
type Cancel struct {
	Key string `json:"key"`
}

// Cancelled answers Cancel with the job's phase after it; a terminal job keeps its phase.
type Cancelled struct {
	Key   string         `json:"key"`
	Phase state.JobPhase `json:"state"`
}

// Op returns "cancel".
func (*Cancel) Op() string { return "cancel" }

func (c *Cancel) apply(s *state.State, _ uint64) (any, error) {
	if j := s.Jobs[c.Key]; j != nil {
		s.StopJob(j, state.JobCancelled, cancelReason)
		return Cancelled{c.Key, j.Phase}, nil
	}
	if t := s.Tombstones[c.Key]; t != nil {
		return Cancelled{c.Key, t.Phase}, nil
	}
	return nil, errs.Field(errs.Unknown, "key", "no job %q", c.Key)
}

// maxCancels is the maximum number of keys in one CancelMany.
const maxCancels = 10000

// CancelMany stops many jobs in one entry: those in Keys, or all open jobs of Team, of Queue, or of Team in Queue.
type CancelMany struct {
	Keys  []string `json:"keys,omitempty"`
	Team  string   `json:"team,omitempty"`
	Queue string   `json:"queue,omitempty"`
}

// CancelledMany answers CancelMany with the number of jobs by outcome.
type CancelledMany struct {
	Cancelled    int      `json:"cancelled"`         // stopped by this entry
	AlreadyEnded int      `json:"over,omitempty"`    // already terminal or stopping
	Unknown      []string `json:"unknown,omitempty"` // keys without a job
}

// Op returns "cancels".
func (*CancelMany) Op() string { return "cancels" }

func (c *CancelMany) apply(s *state.State, _ uint64) (any, error) {
	if err := c.check(); err != nil {
		return nil, errs.Pass(err, "cancel")
	}
	answer := CancelledMany{}
	for _, key := range c.selectedKeys(s) {
		switch j := s.Jobs[key]; {
		case j != nil && !j.Phase.IsTerminal() && j.Phase != state.JobStopping:
			s.StopJob(j, state.JobCancelled, cancelReason)
			answer.Cancelled++
		case j != nil || s.Tombstones[key] != nil:
			answer.AlreadyEnded++
		default:
			answer.Unknown = append(answer.Unknown, key)
		}
	}
	return answer, nil
}

func (c *CancelMany) check() error {
	byGroup := c.Team+c.Queue != ""
	switch {
	case len(c.Keys) > maxCancels:
		return errs.Field(errs.Invalid, "keys", "got %d keys, the maximum is %d", len(c.Keys), maxCancels)
	case len(c.Keys) > 0 && byGroup:
		return errs.Field(errs.Invalid, "keys", "must not be combined with team or queue")
	case len(c.Keys) == 0 && !byGroup:
		return errs.Field(errs.Invalid, "keys", "keys, team or queue must be set")
	}
	return nil
}

// selectedKeys returns the keys of the jobs to stop, in the same order on every node.
func (c *CancelMany) selectedKeys(s *state.State) []string {
	if len(c.Keys) > 0 {
		return c.Keys
	}
	var keys []string
	for key, j := range s.Jobs {
		isOpen := !j.Phase.IsTerminal()
		if isOpen && (c.Team == "" || j.Spec.Team == c.Team) && (c.Queue == "" || j.Spec.Queue == c.Queue) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

package command

import (
	"crosstide/internal/errs"
	"crosstide/internal/state"
)

// Announce adds a worker. For a known worker it changes only the address: the other properties and the incarnation come
// only from the worker's answers to the scheduler (Plan.Workers).
type Announce struct {
	Worker state.Worker `json:"minion"`
}

// Op returns "announce".
func (*Announce) Op() string { return "announce" }

func (c *Announce) apply(s *state.State, _ uint64) (any, error) {
	known := s.Workers[c.Worker.Name]
	switch {
	case known == nil:
		added := c.Worker
		added.Incarnation = ""
		s.PutWorker(&added)
	case known.Addr != c.Worker.Addr:
		moved := *known
		moved.Addr = c.Worker.Addr
		s.PutWorker(&moved)
	}
	return nil, nil
}

// CloseWorker drains, reopens or retires a worker by an operator's order. A worker with handles cannot be retired.
type CloseWorker struct {
	Order  string `json:"order"`
	Worker string `json:"minion"`
	Closed bool   `json:"closed"`
	Retire bool   `json:"retire,omitempty"`
}

// workerClosed and workerRetired answer CloseWorker. The answers are stored: their keys are in alphabetical order.
type (
	workerClosed struct {
		Closed bool   `json:"closed"`
		Worker string `json:"minion"`
	}
	workerRetired struct {
		Worker  string `json:"minion"`
		Retired bool   `json:"retired"`
	}
)

// Op returns "close".
func (*CloseWorker) Op() string { return "close" }

func (c *CloseWorker) apply(s *state.State, _ uint64) (any, error) {
	answer, err := applyOnce(s, c.Order, c)
	return answer, errs.Pass(err, "close worker %q", c.Worker)
}

func (c *CloseWorker) check(s *state.State) error {
	if s.Workers[c.Worker] == nil {
		return errs.Field(errs.Unknown, "minion", "no minion %q", c.Worker)
	}
	if handles := len(s.UsageOf(c.Worker).Handles); c.Retire && handles > 0 {
		return errs.Field(errs.Conflict, "minion", "%q still has %d tickets; drain it first", c.Worker, handles)
	}
	return nil
}

func (c *CloseWorker) change(s *state.State) (any, error) {
	if c.Retire {
		s.DropWorker(c.Worker)
		return workerRetired{Worker: c.Worker, Retired: true}, nil
	}
	next := *s.Workers[c.Worker]
	next.Closed = c.Closed
	s.PutWorker(&next)
	return workerClosed{Worker: c.Worker, Closed: c.Closed}, nil
}

package dataplane

import (
	"context"
	"encoding/json"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

// announceInterval is the interval between two announcements of a worker.
const announceInterval = 3 * time.Second

// Propose commits an idempotent command (submit, cancel, announce) and returns its answer.
func (n *Node) Propose(ctx context.Context, c command.Command) (json.RawMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, n.opt.CallTimeout)
	defer cancel()
	answer, err := n.controlPlane.propose(ctx, c, retryIdempotent)
	if err != nil {
		return nil, errs.Pass(err, "commit")
	}
	return answer.Answer, nil
}

// Read runs do on a state that is at least as new as the call. It fails with errs.Unavailable, and does not run do, if
// no leader confirms the read or if the replica does not reach the leader's index before ctx ends.
func (n *Node) Read(ctx context.Context, do func(s *state.State) error) error {
	index, err := n.readIndexer.readIndex(ctx)
	if err != nil {
		return errs.Wrap(err, errs.Unavailable, "cannot confirm that the state is current")
	}
	if err := n.replica.WaitForIndex(ctx, index); err != nil {
		return errs.Pass(err, "read at index %d", index)
	}
	n.replica.View(func(s *state.State) { err = do(s) })
	return errs.Pass(err, "read")
}

// QueueLimit returns the maximum number of open jobs.
func (n *Node) QueueLimit() int { return n.opt.QueueLimit }

// Announce registers a worker with the store, unless the replica already has it at the same address.
func (n *Node) Announce(ctx context.Context, c internalapi.AnnounceWorkerCall) (internalapi.AnnounceWorkerAnswer,
	error) {
	answer := internalapi.AnnounceWorkerAnswer{Interval: announceInterval}
	if c.Name == "" || c.Addr == "" {
		return answer, errs.Field(errs.Invalid, "name", "a worker must have a name and an address")
	}
	known := false
	n.replica.View(func(s *state.State) {
		w := s.Workers[c.Name]
		known = w != nil && w.Addr == c.Addr
	})
	if known {
		return answer, nil
	}
	_, err := n.Propose(ctx, &command.Announce{Worker: state.Worker{Name: c.Name, Addr: c.Addr, Kind: c.Kind,
		Zone: c.Zone, Rack: c.Rack, Labels: c.Labels, Cores: c.Cores, GPUs: c.GPUs}})
	return answer, errs.Pass(err, "announce %s", c.Name)
}

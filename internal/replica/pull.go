package replica

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/raft"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

// storeSource names the store's changes in a vector of versions; their version is the log index.
const storeSource = "store"

// Bounds of a pull.
const (
	maxChangeBytes  = 4 << 20 // of one answer
	maxChunkBytes   = 1 << 20
	maxChunkRetries = 5 // of one snapshot
	retryInterval   = 100 * time.Millisecond
	longPollTimeout = time.Second
)

// Source is what a replica asks of the control-plane nodes.
type Source interface {
	// Follow asks any node; the same one as long as it answers well.
	Follow(ctx context.Context, call internalapi.FollowCall) (internalapi.FollowAnswer, error)
	// Chunk asks the node that Follow asked last.
	Chunk(ctx context.Context, call internalapi.ChunkCall) (internalapi.ChunkAnswer, error)
}

// Run pulls until ctx ends. Each failure is passed to onError and followed by a pause of retryInterval on clk.
func (r *Replica) Run(ctx context.Context, source Source, clk clock.Clock, node string, onError func(error)) {
	for ctx.Err() == nil {
		err := r.Pull(ctx, source, node, longPollTimeout)
		if err == nil {
			continue
		}
		if ctx.Err() != nil {
			return
		}
		onError(err)
		clock.Sleep(ctx.Done(), clk, retryInterval)
	}
}

// Pull asks once for what the replica lacks and applies it; wait is how long the source may wait for changes.
func (r *Replica) Pull(ctx context.Context, source Source, node string, wait time.Duration) error {
	from := r.Index()
	answer, err := source.Follow(ctx, internalapi.FollowCall{
		Node: node, Vector: map[string]uint64{storeSource: from}, Wait: wait, Max: maxChangeBytes,
	})
	if err != nil {
		return errs.Pass(err, "follow from %d", from)
	}
	missing := answer.Updates[storeSource]
	if missing.Snapshot != nil {
		if err := r.installSnapshot(ctx, source, *missing.Snapshot); err != nil {
			return errs.Pass(err, "snapshot at %d", missing.Snapshot.Index)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hasPulled = true
	return errs.Pass(r.applyChanges(missing.Changes), "changes after %d", from)
}

// applyChanges applies changes in order. The index never decreases: what is at or below it is skipped, as answers may
// overlap. The caller holds mu.
func (r *Replica) applyChanges(changes []raft.Entry) error {
	before := r.state.Index
	for _, e := range changes {
		if e.Index <= r.state.Index {
			continue
		}
		if e.Index != r.state.Index+1 {
			return errs.New(errs.Stale, "changes skip from %d to %d", r.state.Index, e.Index)
		}
		data := e.Data
		if e.Kind != raft.Normal {
			data = nil
		}
		// A rejection is the command's outcome, the same on every node.
		_, _ = command.Apply(r.state, e.Index, e.Term, data)
		r.Bytes += uint64(len(data))
		r.Changes++
	}
	if r.state.Index != before {
		r.signalIndex()
	}
	return nil
}

// installSnapshot fetches a snapshot and puts its state in place of the replica's.
func (r *Replica) installSnapshot(ctx context.Context, source Source, snap internalapi.Snapshot) error {
	body, err := fetchBody(ctx, source, snap)
	if err != nil {
		return errs.Pass(err, "fetch snapshot %d", snap.Number)
	}
	next, err := state.Decode(body)
	if err != nil {
		return errs.Pass(err, "snapshot %d", snap.Number)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if next.Index <= r.state.Index {
		return errs.New(errs.Stale, "snapshot at %d is behind the replica at %d", next.Index, r.state.Index)
	}
	r.state.OnEvent = nil
	r.state = next
	next.OnEvent = r.onChange
	r.Snapshots++
	r.Bytes += uint64(len(body))
	if r.onReset != nil {
		r.onReset(next)
	}
	r.signalIndex()
	return nil
}

// fetchBody fetches a snapshot's body in chunks. A chunk that is lost is requested again alone.
func fetchBody(ctx context.Context, source Source, snap internalapi.Snapshot) ([]byte, error) {
	body := make([]byte, 0, snap.Size)
	failures := 0
	for int64(len(body)) < snap.Size {
		from := int64(len(body))
		chunk, err := source.Chunk(ctx, internalapi.ChunkCall{Number: snap.Number, From: from, Max: maxChunkBytes})
		if err != nil {
			if failures++; failures > maxChunkRetries || ctx.Err() != nil || errs.Is(err, errs.Unknown) {
				return nil, errs.Pass(err, "chunk at %d", from)
			}
			continue
		}
		if chunk.Number != snap.Number || len(chunk.Data) == 0 {
			return nil, errs.New(errs.Stale, "snapshot %d is gone", snap.Number)
		}
		body = append(body, chunk.Data...)
		if int64(len(body)) == snap.Size && xxhash.Sum64(body) != chunk.Sum {
			return nil, errs.New(errs.Damaged, "snapshot %d fails its check", snap.Number)
		}
	}
	return body, nil
}

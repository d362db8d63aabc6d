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

// storeSource is the name of the store in a version vector; its version is the log index.
const storeSource = "store"

// The limits of a pull.
const (
	maxChangeBytes  = 4 << 20                // size of the changes in one answer
	maxChunkBytes   = 1 << 20                // size of one chunk of a snapshot
	maxChunkRetries = 5                      // failed requests for chunks of one snapshot, in total
	retryInterval   = 100 * time.Millisecond // pause after a failed pull
	longPollTimeout = time.Second            // how long a source may wait for changes
)

// Source calls the control-plane nodes for a replica. Each call has its own timeout.
type Source interface {
	// Follow requests changes from a node. It uses the same node until a call to it fails.
	Follow(ctx context.Context, call internalapi.FollowCall) (internalapi.FollowAnswer, error)
	// Chunk requests a part of a snapshot. Only the node that answered the last Follow is guaranteed to have it.
	Chunk(ctx context.Context, call internalapi.ChunkCall) (internalapi.ChunkAnswer, error)
}

// Run pulls until ctx is done. node is the name of the node that the replica runs on. Run passes each error to onError
// and then waits for retryInterval on clk.
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

// Pull requests the missing changes once and applies them. If nothing is missing, the source may wait for changes for
// the time wait. After an error the index of the replica is unchanged or higher, and Pull may be called again.
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

// applyChanges applies changes in order and skips those at or below the index, as answers may overlap. Failure: Stale
// if there is a gap. The caller must hold mu.
func (r *Replica) applyChanges(changes []raft.Entry) error {
	before := r.state.Index
	for _, entry := range changes {
		if entry.Index <= r.state.Index {
			continue
		}
		if entry.Index != r.state.Index+1 {
			return errs.New(errs.Stale, "gap in the changes from %d to %d", r.state.Index, entry.Index)
		}
		data := entry.Data
		if entry.Kind != raft.Normal {
			data = nil
		}
		// A rejected command has the same outcome on every node: it changes nothing but the index.
		_, _ = command.Apply(r.state, entry.Index, entry.Term, data)
		r.Bytes += uint64(len(data))
		r.Changes++
	}
	if r.state.Index != before {
		r.signalIndex()
	}
	return nil
}

// installSnapshot fetches a snapshot and replaces the replica's state by it. Failures: Stale if the snapshot is not
// newer than the state, those of fetchBody and those of state.Decode.
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
		return errs.New(errs.Stale, "snapshot at %d is not newer than the replica at %d", next.Index, r.state.Index)
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

// fetchBody fetches the body of a snapshot in chunks. It repeats a failed request for a chunk at once, up to
// maxChunkRetries times for the whole snapshot, unless the error is Unknown. Failures: Stale if the source no longer
// has the snapshot, Damaged if the checksum is wrong, and those of Source.Chunk.
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
			return nil, errs.New(errs.Stale, "the source no longer has snapshot %d", snap.Number)
		}
		body = append(body, chunk.Data...)
		if int64(len(body)) == snap.Size && xxhash.Sum64(body) != chunk.Sum {
			return nil, errs.New(errs.Damaged, "checksum mismatch in snapshot %d", snap.Number)
		}
	}
	return body, nil
}

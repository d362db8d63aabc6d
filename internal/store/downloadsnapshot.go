package store

import (
	"context"
	"math"

	"github.com/cespare/xxhash/v2"

	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/raft"
	"crosstide/internal/storage"
)

const (
	maxDownloadAttempts = 8       // attempts in a row without progress
	downloadChunkBytes  = 1 << 20 // bytes requested by one call
)

// download is a partly downloaded snapshot of another member. The goroutine fetch owns it.
type download struct {
	head         internalapi.ChunkAnswer // answer with the newest chunk; its Number is 0 before the first
	body         []byte                  // the bytes received so far
	attemptsLeft int                     // reset to maxDownloadAttempts by each chunk
}

// restart drops the bytes received so far: the next call requests the first byte of the sender's newest snapshot. It
// counts as an attempt.
func (d *download) restart() { *d = download{attemptsLeft: d.attemptsLeft - 1} }

// isComplete reports whether all bytes of the snapshot were received.
func (d *download) isComplete() bool { return d.head.Number != 0 && int64(len(d.body)) >= d.head.Size }

// add records the outcome of the call for the next chunk. A failed call counts as an attempt; add returns an error only
// if the download cannot continue.
func (d *download) add(chunk internalapi.ChunkAnswer, err error) error {
	switch {
	case errs.Is(err, errs.Unknown) && d.head.Number != 0: // replaced by a newer snapshot
		d.restart()
	case err != nil:
		d.attemptsLeft--
	case d.head.Number != 0 && (chunk.Number != d.head.Number || chunk.Sum != d.head.Sum || chunk.Size != d.head.Size):
		d.restart()
	case len(chunk.Data) == 0 && int64(len(d.body)) < chunk.Size || chunk.Size > math.MaxInt32*16:
		return errs.New(errs.Malformed, "chunk at byte %d of %d is empty, or the size is too large", len(d.body),
			chunk.Size)
	default:
		d.head, d.body, d.attemptsLeft = chunk, append(d.body, chunk.Data...), maxDownloadAttempts
	}
	return nil
}

// verify checks the downloaded bytes against their checksum and against the requested snapshot, and returns them.
func (d *download) verify(wanted raft.FetchSnapshot) (*fetchedSnapshot, error) {
	meta, err := decodeSnapshotMeta(d.head.Meta)
	if err != nil {
		return nil, errs.Pass(err, "snapshot of %s", wanted.From)
	}
	if int64(len(d.body)) != d.head.Size || xxhash.Sum64(d.body) != d.head.Sum ||
		meta.Index != d.head.Index || meta.Term != d.head.Term {
		return nil, errs.New(errs.Damaged, "the snapshot of %s does not match its checksum or metadata", wanted.From)
	}
	if meta.Index < wanted.Meta.Index {
		return nil, errs.New(errs.Stale, "the snapshot of %s is at index %d, before the requested %d", wanted.From,
			meta.Index, wanted.Meta.Index)
	}
	image := storage.Snapshot{Index: meta.Index, Term: meta.Term, Meta: d.head.Meta, Body: d.body}
	return &fetchedSnapshot{image: image, meta: meta}, nil
}

// download downloads the chunks of a snapshot in order. After a failed call it resumes at the first missing byte; it
// fails after maxDownloadAttempts attempts without progress.
func (s *Store) download(ctx context.Context, wanted raft.FetchSnapshot) (*fetchedSnapshot, error) {
	d := download{attemptsLeft: maxDownloadAttempts}
	for {
		call := internalapi.ChunkCall{Number: d.head.Number, From: int64(len(d.body)), Max: downloadChunkBytes}
		chunk, err := s.opt.Net.FetchChunk(ctx, wanted.From, call)
		if err := d.add(chunk, err); err != nil {
			return nil, errs.Pass(err, "chunk")
		}
		if d.isComplete() {
			break
		}
		if d.attemptsLeft == 0 && err == nil {
			return nil, errs.New(errs.Stale, "the snapshot of %s has changed during the last attempt", wanted.From)
		}
		if d.attemptsLeft == 0 || err != nil && !s.sleep(ctx, retryInterval) {
			return nil, errs.Pass(err, "no chunk received after byte %d", len(d.body))
		}
	}
	fetched, err := d.verify(wanted)
	return fetched, errs.Pass(err, "verify")
}

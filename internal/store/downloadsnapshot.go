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
	downloadChunkBytes  = 1 << 20 // bytes asked for in one call
)

// download is a partly downloaded snapshot of another member. The goroutine fetch owns it.
type download struct {
	head         internalapi.ChunkAnswer // the newest chunk's answer; Number is 0 before the first
	body         []byte                  // the bytes so far, from the first on
	attemptsLeft int                     // maxDownloadAttempts again after each chunk
}

// restart begins again at the first byte of the newest snapshot; it counts as an attempt.
func (d *download) restart() { *d = download{attemptsLeft: d.attemptsLeft - 1} }

// isComplete reports whether all bytes of the snapshot are there.
func (d *download) isComplete() bool { return d.head.Number != 0 && int64(len(d.body)) >= d.head.Size }

// add adds the outcome of the call for the next chunk. It returns an error only if the download cannot go on; a failed
// call costs an attempt.
func (d *download) add(a internalapi.ChunkAnswer, err error) error {
	switch {
	case errs.Is(err, errs.Unknown) && d.head.Number != 0: // replaced by a newer snapshot
		d.restart()
	case err != nil:
		d.attemptsLeft--
	case d.head.Number != 0 && (a.Number != d.head.Number || a.Sum != d.head.Sum || a.Size != d.head.Size):
		d.restart()
	case len(a.Data) == 0 && int64(len(d.body)) < a.Size || a.Size > math.MaxInt32*16:
		return errs.New(errs.Malformed, "an empty part at %d of %d bytes", len(d.body), a.Size)
	default:
		d.head, d.body, d.attemptsLeft = a, append(d.body, a.Data...), maxDownloadAttempts
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
		return nil, errs.New(errs.Damaged, "the snapshot of %s does not fit its sum", wanted.From)
	}
	if meta.Index < wanted.Meta.Index {
		return nil, errs.New(errs.Stale, "the snapshot of %s is at %d, before %d", wanted.From, meta.Index,
			wanted.Meta.Index)
	}
	image := storage.Snapshot{Index: meta.Index, Term: meta.Term, Meta: d.head.Meta, Body: d.body}
	return &fetchedSnapshot{image: image, meta: meta}, nil
}

// download downloads the chunks of a snapshot in order. After a failed call it resumes at the byte it reached; it fails
// after maxDownloadAttempts attempts without progress.
func (s *Store) download(ctx context.Context, wanted raft.FetchSnapshot) (*fetchedSnapshot, error) {
	d := download{attemptsLeft: maxDownloadAttempts}
	for {
		call := internalapi.ChunkCall{Number: d.head.Number, From: int64(len(d.body)), Max: downloadChunkBytes}
		a, err := s.opt.Net.FetchChunk(ctx, wanted.From, call)
		if err := d.add(a, err); err != nil {
			return nil, errs.Pass(err, "chunk")
		}
		if d.isComplete() {
			break
		}
		if d.attemptsLeft == 0 || err != nil && !s.sleep(ctx, retryInterval) {
			return nil, errs.Pass(err, "no chunk after byte %d", len(d.body))
		}
	}
	fetched, err := d.verify(wanted)
	return fetched, errs.Pass(err, "verify")
}

package store

import (
	"context"
	"encoding/json"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log/level"

	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/raft"
	"crosstide/internal/state"
	"crosstide/internal/storage"
)

const (
	vectorSource      = "store" // of our changes in a vector
	maxFollowBytes    = 8 << 20
	maxChunkBytes     = 4 << 20
	maxFollowWait     = 30 * time.Second
	snapshotCacheIdle = 30 * time.Second // a slot kept for fetchers is let go after it
)

// Follow gives what the caller lacks, and waits up to call.Wait if that is nothing.
func (s *Store) Follow(ctx context.Context, call internalapi.FollowCall) (internalapi.FollowAnswer, error) {
	s.recordFollowerBundle(call)
	version, ok := call.Vector[vectorSource]
	if !ok && len(call.Vector) > 0 {
		return internalapi.FollowAnswer{}, nil
	}
	limit := min(max(call.Max, 64<<10), maxFollowBytes)
	expired := make(chan struct{})
	defer s.clock.Set(min(call.Wait, maxFollowWait), func() { close(expired) }).Stop()
	for {
		changesAfter, changed, err := s.changesAfter(version, limit)
		if err != nil {
			return internalapi.FollowAnswer{}, errs.Pass(err, "follow")
		}
		if changesAfter != nil {
			return internalapi.FollowAnswer{Updates: map[string]internalapi.SourceUpdate{vectorSource: *changesAfter}}, nil
		}
		select {
		case <-changed:
		case <-expired:
			return internalapi.FollowAnswer{}, nil
		case <-ctx.Done():
			return internalapi.FollowAnswer{}, nil
		case <-s.group.Context().Done():
			return internalapi.FollowAnswer{}, errs.New(errs.Stopped, "the store is stopping")
		}
	}
}

// changesAfter gives what comes after version and is applied here, nil if that is nothing.
func (s *Store) changesAfter(version uint64, limit int) (*internalapi.SourceUpdate, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.core == nil {
		return nil, nil, errs.New(errs.Unavailable, "not part of a fleet yet")
	}
	if version >= s.live.Index {
		return nil, s.changed, nil
	}
	entries, err := s.core.Entries(version+1, limit)
	if errs.Is(err, errs.Unknown) {
		newest := s.newestSnapshot
		return &internalapi.SourceUpdate{Snapshot: &newest}, nil, nil
	}
	if err != nil {
		return nil, nil, errs.Pass(err, "entries after %d", version)
	}
	n := 0
	for n < len(entries) && entries[n].Index <= s.live.Index {
		n++
	}
	if n == 0 {
		return nil, s.changed, nil
	}
	return &internalapi.SourceUpdate{Changes: entries[:n:n]}, nil, nil
}

// snapshotCache keeps the slots that are being fetched, two at most.
type snapshotCache struct{ images []*cachedSnapshot }

type cachedSnapshot struct {
	image          storage.Snapshot
	sum            uint64
	lastUsed       time.Duration
	compactedBytes int // Store.compactedBytes as it was loaded
}

// FetchChunk gives a part of a slot. Failure: Unknown when there is no such slot any more; begin anew with Number 0.
func (s *Store) Chunk(call internalapi.ChunkCall) (internalapi.ChunkAnswer, error) {
	k, err := s.snapshotFor(call.Number)
	if err != nil {
		return internalapi.ChunkAnswer{}, errs.Pass(err, "chunk")
	}
	body := k.image.Body
	if call.From < 0 || call.From > int64(len(body)) {
		return internalapi.ChunkAnswer{}, errs.Field(errs.Invalid, "from", "%d of %d bytes", call.From, len(body))
	}
	limit := call.Max
	if limit <= 0 || limit > maxChunkBytes {
		limit = maxChunkBytes
	}
	end := min(call.From+int64(limit), int64(len(body)))
	return internalapi.ChunkAnswer{
		Snapshot: internalapi.Snapshot{Number: k.image.Number, Index: k.image.Index, Term: k.image.Term, Size: int64(len(body))},
		Meta:     json.RawMessage(k.image.Meta), Data: body[call.From:end], Sum: k.sum,
	}, nil
}

func (s *Store) snapshotFor(number uint64) (*cachedSnapshot, error) {
	now := s.clock.Now()
	s.mu.Lock()
	if number == 0 {
		number = s.newestSnapshot.Number
	}
	newest := s.newestSnapshot.Number
	k := s.served.get(number, now)
	s.mu.Unlock()
	if k != nil {
		return k, nil
	}
	if number != newest || newest == 0 {
		return nil, errs.New(errs.Unknown, "slot %d is gone, the newest is %d", number, newest)
	}
	img, err := s.storage.NewestSnapshot()
	if err != nil {
		return nil, errs.Pass(err, "slot %d", number)
	}
	k = &cachedSnapshot{image: img, sum: xxhash.Sum64(img.Body), lastUsed: now}
	s.mu.Lock()
	defer s.mu.Unlock()
	if have := s.served.get(img.Number, now); have != nil {
		return have, nil
	}
	k.compactedBytes = s.compactedBytes
	s.served.images = append(s.served.images, k)
	if len(s.served.images) > 2 {
		s.served.images = s.served.images[1:]
	}
	s.clock.Set(snapshotCacheIdle, s.evictIdleSnapshots)
	return k, nil
}

func (c *snapshotCache) get(number uint64, now time.Duration) *cachedSnapshot {
	for _, k := range c.images {
		if k.image.Number == number {
			k.lastUsed = now
			return k
		}
	}
	return nil
}

// evictIdleSnapshots lets slots go that nobody fetches any more.
func (s *Store) evictIdleSnapshots() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	list := s.served.images[:0:0]
	for _, k := range s.served.images {
		if now-k.lastUsed < snapshotCacheIdle {
			list = append(list, k)
		}
	}
	if s.served.images = list; len(list) > 0 && s.group.Context().Err() == nil {
		s.clock.Set(snapshotCacheIdle, s.evictIdleSnapshots)
	}
}

// fetch gets a snapshot from another member and installs it. When it fails, the core asks for it again.
func (s *Store) fetch(ctx context.Context, wanted raft.FetchSnapshot) {
	err := s.fetchAndInstall(ctx, wanted)
	if err != nil {
		_ = level.Warn(s.logger).Log("msg", "fetch a snapshot", "from", wanted.From, "err", err)
	}
	s.mu.Lock()
	s.fetching = false
	s.mu.Unlock()
}

func (s *Store) fetchAndInstall(ctx context.Context, wanted raft.FetchSnapshot) error {
	fetched, err := s.download(ctx, wanted)
	if err != nil {
		return errs.Pass(err, "download")
	}
	if fetched.live, err = state.Decode(fetched.image.Body); err != nil {
		return errs.Pass(err, "decode")
	}
	fetched.done = make(chan struct{})
	s.mu.Lock()
	s.toInstall = fetched
	s.mu.Unlock()
	signal(s.wakeSnapshotter)
	select {
	case <-fetched.done:
	case <-ctx.Done():
	}
	return nil
}

// download gets the parts in order. After a failure it goes on at the byte it reached; it gives up after a few
// without progress.
func (s *Store) download(ctx context.Context, wanted raft.FetchSnapshot) (*fetchedSnapshot, error) {
	const tries = 8
	var body []byte
	var head internalapi.ChunkAnswer
	for left := tries; ; {
		a, err := s.opt.Net.FetchChunk(ctx, wanted.From, internalapi.ChunkCall{Number: head.Number, From: int64(len(body)), Max: 1 << 20})
		switch {
		case errs.Is(err, errs.Unknown) && head.Number != 0: // a newer slot took its place
			body, head, left = nil, internalapi.ChunkAnswer{}, left-1
		case err != nil:
			left--
		case head.Number != 0 && (a.Number != head.Number || a.Sum != head.Sum || a.Size != head.Size):
			body, head, left = nil, internalapi.ChunkAnswer{}, left-1
		case len(a.Data) == 0 && int64(len(body)) < a.Size || a.Size > math.MaxInt32*16:
			return nil, errs.New(errs.Malformed, "an empty part at %d of %d bytes", len(body), a.Size)
		default:
			body, head, left = append(body, a.Data...), a, tries
		}
		if head.Number != 0 && int64(len(body)) >= head.Size {
			break
		}
		if left == 0 || err != nil && !s.sleep(ctx, retryInterval) {
			return nil, errs.Pass(err, "no part after byte %d", len(body))
		}
	}
	meta, err := decodeSnapshotMeta(head.Meta)
	if err != nil {
		return nil, errs.Pass(err, "slot of %s", wanted.From)
	}
	if int64(len(body)) != head.Size || xxhash.Sum64(body) != head.Sum || meta.Index != head.Index || meta.Term != head.Term {
		return nil, errs.New(errs.Damaged, "the snapshot of %s does not fit its sum", wanted.From)
	}
	if meta.Index < wanted.Meta.Index {
		return nil, errs.New(errs.Stale, "the snapshot of %s is at %d, before %d", wanted.From, meta.Index, wanted.Meta.Index)
	}
	return &fetchedSnapshot{image: storage.Snapshot{Index: meta.Index, Term: meta.Term, Meta: head.Meta, Body: body}, meta: meta}, nil
}

package store

import (
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"

	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/storage"
)

const (
	maxChunkBytes        = 1 << 20
	snapshotCacheTimeout = 30 * time.Second // a cached snapshot that was not used for this long is dropped
	snapshotCacheSize    = 2
)

// snapshotCache keeps the snapshots that other members are fetching, oldest first, so that a newer snapshot does not
// abort their fetch and a chunk needs no disk read. A Store owns it; guarded by Store.mu.
type snapshotCache struct{ images []*cachedSnapshot }

// cachedSnapshot is a snapshot in the cache. Only lastUsed changes once it is added.
type cachedSnapshot struct {
	image          storage.Snapshot
	sum            uint64 // checksum of image.Body
	lastUsed       time.Duration
	compactedBytes int // value of snapshots.compactedBytes when the snapshot was loaded
}

// get returns the snapshot with the given number and records its use. It returns nil if the snapshot is not cached.
func (c *snapshotCache) get(number uint64, now time.Duration) *cachedSnapshot {
	for _, cached := range c.images {
		if cached.image.Number == number {
			cached.lastUsed = now
			return cached
		}
	}
	return nil
}

// add adds a snapshot and drops the oldest if the cache is full.
func (c *snapshotCache) add(cached *cachedSnapshot) {
	c.images = append(c.images, cached)
	if len(c.images) > snapshotCacheSize {
		c.images = c.images[1:]
	}
}

// dropIdle drops the snapshots that were not used for snapshotCacheTimeout.
func (c *snapshotCache) dropIdle(now time.Duration) {
	kept := c.images[:0:0]
	for _, cached := range c.images {
		if now-cached.lastUsed < snapshotCacheTimeout {
			kept = append(kept, cached)
		}
	}
	c.images = kept
}

// Chunk returns a chunk of the snapshot call.Number, or of the newest one if that is 0. Failures: Unknown if that
// snapshot no longer exists (the caller must start again with Number 0), Invalid, Disk, Damaged.
func (s *Store) Chunk(call internalapi.ChunkCall) (internalapi.ChunkAnswer, error) {
	cached, err := s.snapshotFor(call.Number)
	if err != nil {
		return internalapi.ChunkAnswer{}, errs.Pass(err, "chunk")
	}
	image := cached.image
	size := int64(len(image.Body))
	if call.From < 0 || call.From > size {
		return internalapi.ChunkAnswer{}, errs.Field(errs.Invalid, "from", "got %d, must be 0 to %d", call.From, size)
	}
	limit := call.Max
	if limit <= 0 || limit > maxChunkBytes {
		limit = maxChunkBytes
	}
	end := min(call.From+int64(limit), size)
	return internalapi.ChunkAnswer{
		Snapshot: internalapi.Snapshot{Number: image.Number, Index: image.Index, Term: image.Term, Size: size},
		Meta:     json.RawMessage(image.Meta), Data: image.Body[call.From:end], Sum: cached.sum,
	}, nil
}

// snapshotFor returns the snapshot with the given number, or the newest one if that is 0, from the cache or the disk.
// It reads the disk without holding s.mu.
func (s *Store) snapshotFor(number uint64) (*cachedSnapshot, error) {
	now := s.clock.Now()
	s.mu.Lock()
	newest := s.snapshots.newest.Number
	if number == 0 {
		number = newest
	}
	cached := s.snapshotCache.get(number, now)
	s.mu.Unlock()
	if cached != nil {
		return cached, nil
	}
	if number != newest || newest == 0 {
		return nil, errs.New(errs.Unknown, "snapshot %d does not exist, the newest is %d", number, newest)
	}
	image, err := s.storage.NewestSnapshot()
	if err != nil {
		return nil, errs.Pass(err, "read snapshot %d", number)
	}
	loaded := &cachedSnapshot{image: image, sum: xxhash.Sum64(image.Body), lastUsed: now}
	s.mu.Lock()
	defer s.mu.Unlock()
	if cached := s.snapshotCache.get(image.Number, now); cached != nil { // loaded by a concurrent call
		return cached, nil
	}
	loaded.compactedBytes = s.snapshots.compactedBytes
	s.snapshotCache.add(loaded)
	s.clock.Set(snapshotCacheTimeout, s.evictIdleSnapshots)
	return loaded, nil
}

// evictIdleSnapshots drops idle snapshots from the cache. It runs every snapshotCacheTimeout while a snapshot is
// cached.
func (s *Store) evictIdleSnapshots() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshotCache.dropIdle(s.clock.Now())
	if len(s.snapshotCache.images) > 0 && s.group.Context().Err() == nil {
		s.clock.Set(snapshotCacheTimeout, s.evictIdleSnapshots)
	}
}

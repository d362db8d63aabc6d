package controller

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// memberRefreshInterval is how long the list of reachable members is cached.
const memberRefreshInterval = 250 * time.Millisecond

// heartbeatAssigner spreads the workers over the control-plane nodes by rendezvous hashing. A worker sends its
// heartbeats to its assigned node, which forwards them to the leader. No node needs a connection to every worker, a
// change of leader reassigns no worker, and the loss of a node reassigns only the workers of that node.
type heartbeatAssigner struct {
	reachable func() []string // returns the internal addresses of the reachable members, including the leader

	// Lock order: mu before the store's lock, which reachable takes. nodeFor must not be called inside Store.View.
	mu            sync.Mutex
	members       []string // as of the last refresh, sorted
	table         *rendezvous.Rendezvous
	nextRefreshAt time.Duration
}

// nodeFor returns the internal address of the node assigned to a worker, or "" if no member is known.
func (h *heartbeatAssigner) nodeFor(now time.Duration, worker string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table == nil || now >= h.nextRefreshAt {
		h.refresh(now)
	}
	if len(h.members) == 0 {
		return ""
	}
	return h.table.Lookup(worker)
}

// refresh updates the reachable members and the hash table. h.mu must be held.
func (h *heartbeatAssigner) refresh(now time.Duration) {
	h.nextRefreshAt = now + memberRefreshInterval
	members := slices.Sorted(slices.Values(h.reachable()))
	if h.table != nil && slices.Equal(members, h.members) {
		return
	}
	h.members, h.table = members, rendezvous.New(members, xxhash.Sum64String)
}

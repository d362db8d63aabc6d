package controller

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// memberRefreshInterval is the least pause between looks at which nodes are there.
const memberRefreshInterval = 250 * time.Millisecond

// assigner spreads workers over the nodes of the core: each sends its heartbeats to one, which passes them on to the leader. So
// no node has a connection to every worker for them, and a change of leader moves none. A node that is lost only moves its
// own workers.
type heartbeatAssigner struct {
	reachable func() []string // internal addresses of the members that are there, the leader among them

	mu            sync.Mutex
	members       []string // as of the last look
	table         *rendezvous.Rendezvous
	nextRefreshAt time.Duration
}

// nodeFor gives the internal address of a worker's home at now; "" if no member is known.
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

// readTable takes in which members are there. The mutex is held.
func (h *heartbeatAssigner) refresh(now time.Duration) {
	h.nextRefreshAt = now + memberRefreshInterval
	members := slices.Sorted(slices.Values(h.reachable()))
	if h.table != nil && slices.Equal(members, h.members) {
		return
	}
	h.members, h.table = members, rendezvous.New(members, xxhash.Sum64String)
}

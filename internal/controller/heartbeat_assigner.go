package controller

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// memberRefreshInterval is how long a list of the reachable members is used before it is read again.
const memberRefreshInterval = 250 * time.Millisecond

// heartbeatAssigner spreads the workers' heartbeats over the control-plane nodes, by rendezvous hashing: each worker
// sends its own to one node, which forwards them to the leader. So no node needs a connection to every worker, a
// change of leader moves no worker, and the loss of a node moves that node's workers only.
type heartbeatAssigner struct {
	reachable func() []string // returns the internal addresses of the reachable members, the leader's among them

	mu            sync.Mutex
	members       []string // as of the last refresh, sorted
	table         *rendezvous.Rendezvous
	nextRefreshAt time.Duration
}

// nodeFor returns the internal address of the node to which a worker is to send heartbeats; "" if no member is known.
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

// refresh reads which members are reachable now. The mutex is held.
func (h *heartbeatAssigner) refresh(now time.Duration) {
	h.nextRefreshAt = now + memberRefreshInterval
	members := slices.Sorted(slices.Values(h.reachable()))
	if h.table != nil && slices.Equal(members, h.members) {
		return
	}
	h.members, h.table = members, rendezvous.New(members, xxhash.Sum64String)
}

package controller

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// homesEvery is the least pause between looks at which nodes are there.
const homesEvery = 250 * time.Millisecond

// homes spreads workers over the nodes of the core: each sends its heartbeats to one, which passes them on to the leader. So
// no node has a connection to every worker for them, and a change of leader moves none. A node that is lost only moves its
// own workers.
type homes struct {
	reached func() []string // internal addresses of the members that are there, the leader among them

	mu    sync.Mutex
	now   []string // as of the last look
	table *rendezvous.Rendezvous
	next  time.Duration
}

// of gives the internal address of a worker's home at now; "" if no member is known.
func (h *homes) of(now time.Duration, worker string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table == nil || now >= h.next {
		h.look(now)
	}
	if len(h.now) == 0 {
		return ""
	}
	return h.table.Lookup(worker)
}

// look takes in which members are there. The mutex is held.
func (h *homes) look(now time.Duration) {
	h.next = now + homesEvery
	members := slices.Sorted(slices.Values(h.reached()))
	if h.table != nil && slices.Equal(members, h.now) {
		return
	}
	h.now, h.table = members, rendezvous.New(members, xxhash.Sum64String)
}

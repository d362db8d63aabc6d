package jobsnode

import (
	"sync"
	"time"

	"crosstide/internal/errs"
)

// leaderlessGrace is how long a ready node stays ready without an answer from the store's leader: a change of leader
// must not make all data-plane nodes unready at once.
const leaderlessGrace = 4 * time.Second

// readiness decides when the node is ready for new clients. It is safe for concurrent use.
type readiness struct {
	leaderReady    func() error                     // returns nil if the leader has answered recently
	leaderAnswered func(maxAge time.Duration) error // returns nil if the leader has answered within maxAge

	mu       sync.Mutex
	wasReady bool // ready at the last check
	draining bool
}

// check returns nil if the node is ready. A node becomes ready when the leader has answered recently, and stays ready
// for leaderlessGrace after the leader's last answer.
func (r *readiness) check() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining {
		return errs.New(errs.Stopped, "the node is stopping")
	}
	err := r.leaderReady()
	if r.wasReady {
		err = r.leaderAnswered(leaderlessGrace)
	}
	r.wasReady = err == nil
	return errs.Pass(err, "not ready")
}

// startDraining makes the node permanently not ready.
func (r *readiness) startDraining() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
}

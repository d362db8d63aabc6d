// Package dataplane is the runtime of a data plane node of the policy deployment. It keeps a replica of the store,
// competes for the role `sched` and runs the scheduler while it has it, and serves the reads and commits of the
// clients' API. It never decides anything: where a run goes is the scheduler's decision (package scheduler), what is
// true is the store's.
//
// Three loops drive a node, all started by Start: claimRoleLoop claims the role and renews its lease, passLoop runs the
// scheduler's passes and carries out what they want done, and readIndexer.run confirms for reads how new the replica
// is. The replica follows a control plane node beside them. Begin with Node.Start, then read role.go, passes.go and
// requests.go.
//
// The scheduler is guarded by the replica's lock: a change of the replica reaches it in the same critical section.
// Node.mu is never held together with it.
package dataplane

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"crosstide/internal/clock"
	"crosstide/internal/dataplane/scheduler"
	"crosstide/internal/errs"
	"crosstide/internal/replica"
	"crosstide/internal/routine"
	"crosstide/internal/rpc"
	"crosstide/internal/state"
)

// maxConfirmationAge is how old the newest confirmation of the replica may be on a node that is ready.
const maxConfirmationAge = 3 * time.Second

// Options configure a Node; all of them are required.
type Options struct {
	Name          string
	Addr          string
	Incarnation   string   // of this process, drawn anew by each
	ControlPlanes []string // addresses, at least one
	Scheduler     scheduler.Config
	CallTimeout   time.Duration // of a call to the control plane; a worker has half of it beyond its wait
	QueueLimit    int           // jobs that may be open at most
	Clock         clock.Clock
	Logger        log.Logger
	Caller        *rpc.Client // for the control plane
	// WorkerCaller is for workers. Its TCP user timeout must be well inside the margin of the role's lease: the kernel
	// must not go on sending a start order when the lease is over.
	WorkerCaller *rpc.Client
}

// Node is a data plane node of the policy deployment. Its methods are safe for concurrent use, but for Start and Stop.
type Node struct {
	opt          Options
	controlPlane *controlPlaneClient
	readIndexer  readIndexer
	group        *routine.Group // of all loops; set by Start
	wakeups      chan struct{}  // capacity 1; filled when passLoop is to run a pass

	// The replica's lock guards these.
	replica    *replica.Replica
	scheduler  *scheduler.Core
	leaseEpoch uint64 // of the newest lease of the role
	leaseUntil time.Duration

	mu           sync.Mutex
	workerConns  map[string]*workerConns // by worker
	confirmedAt  time.Duration           // when the replica last reached an index that the leader had confirmed
	grantedEpoch uint64                  // of this node's newest grant of the role; 0: another node has it
	stopping     bool
}

// New returns a node that does nothing until Start.
func New(opt Options) *Node {
	n := &Node{opt: opt, wakeups: make(chan struct{}, 1), workerConns: map[string]*workerConns{}}
	n.controlPlane = &controlPlaneClient{caller: opt.Caller, clock: opt.Clock, timeout: opt.CallTimeout,
		addrs: opt.ControlPlanes}
	n.replica = replica.New(
		func(e state.Event) {
			n.scheduler.StateChanged(e)
			n.wake()
		},
		func(st *state.State) { n.scheduler.Reset(opt.Clock.Now(), st) },
	)
	st := n.replica.Lock()
	n.scheduler = scheduler.New(opt.Scheduler, st)
	n.replica.Unlock()
	n.readIndexer = readIndexer{node: n, wakeups: make(chan struct{}, 1)}
	return n
}

// SetControlPlanes replaces the addresses of the control plane; an empty list leaves them as they are.
func (n *Node) SetControlPlanes(addrs []string) { n.controlPlane.setAddresses(addrs) }

// Start starts the node's loops. They end with ctx, or at Stop.
func (n *Node) Start(ctx context.Context) {
	n.group = routine.New(ctx)
	n.group.Go(func(ctx context.Context) {
		source := &puller{controlPlaneClient: n.controlPlane, node: n}
		n.replica.Run(ctx, source, n.opt.Clock, n.opt.Name, func(err error) {
			_ = level.Debug(n.opt.Logger).Log("msg", "pull failed", "err", err)
		})
	})
	n.group.Go(n.claimRoleLoop)
	n.group.Go(n.passLoop)
	n.group.Go(n.readIndexer.run)
}

// Stop ends the loops and waits for them.
func (n *Node) Stop() { n.group.Stop() }

// Ready returns nil if the node can serve now. Otherwise the error says why not: errs.Stopped from StepDown on,
// errs.Unavailable while the replica was not confirmed for maxConfirmationAge.
func (n *Node) Ready() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch age := n.opt.Clock.Now() - n.confirmedAt; {
	case n.stopping:
		return errs.New(errs.Stopped, "stopping")
	case n.confirmedAt == 0:
		return errs.New(errs.Unavailable, "the replica is not confirmed yet")
	case age > maxConfirmationAge:
		return errs.New(errs.Unavailable, "the replica was last confirmed %s ago", age.Round(time.Millisecond))
	}
	return nil
}

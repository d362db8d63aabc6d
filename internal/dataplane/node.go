// Package dataplane is the runtime of a data-plane node of the policy deployment. It keeps a replica of the store,
// competes for the role `sched`, runs the scheduler while it has the role, and serves the reads and commits of the
// clients' API. It makes no decisions itself: package scheduler decides on which worker a run is placed, and the store
// is authoritative for all state.
//
// Start starts three loops: claimRoleLoop claims the role and renews its lease, passLoop runs the scheduler's passes
// and carries out the resulting actions, and readIndexer.run asks the leader for the index that the replica must reach
// before a read. In parallel, the replica follows a control-plane node. Entry point: Node.Start, then role.go,
// passes.go and requests.go.
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

// maxConfirmationAge is the maximum age of the replica's newest confirmation on a ready node.
const maxConfirmationAge = 3 * time.Second

// Options configure a Node; all of them are required.
type Options struct {
	Name          string
	Addr          string
	Incarnation   string   // random, different for each process
	ControlPlanes []string // addresses, at least one
	Scheduler     scheduler.Config
	CallTimeout   time.Duration // of a call to the control plane; a call to a worker has half of it plus its Wait
	QueueLimit    int           // maximum number of open jobs
	Clock         clock.Clock
	Logger        log.Logger
	Caller        *rpc.Client // for the control plane
	// WorkerCaller is for workers. Its TCP user timeout must be well below the margin of the role's lease: the kernel
	// must not retransmit a start order after the lease has ended.
	WorkerCaller *rpc.Client
}

// Node is a data-plane node of the policy deployment. Its methods except Start and Stop are safe for concurrent use.
type Node struct {
	opt          Options
	controlPlane *controlPlaneClient
	readIndexer  readIndexer
	group        *routine.Group // of all loops; set by Start
	wakeups      chan struct{}  // capacity 1; filled when passLoop has to run a pass

	// Guarded by the replica's lock.
	replica    *replica.Replica
	scheduler  *scheduler.Core
	leaseEpoch uint64 // of the newest lease of the role
	leaseUntil time.Duration

	mu           sync.Mutex              // guards the fields below
	workerConns  map[string]*workerConns // by worker
	confirmedAt  time.Duration           // when the replica last reached an index that the leader had confirmed
	grantedEpoch uint64                  // of this node's newest grant of the role; 0: none, or another node has it
	stopping     bool
}

// New returns a node. Start starts it.
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

// SetControlPlanes replaces the addresses of the control plane, unless addrs is empty.
func (n *Node) SetControlPlanes(addrs []string) { n.controlPlane.setAddresses(addrs) }

// Start starts the node's loops. They run until ctx ends or Stop is called.
func (n *Node) Start(ctx context.Context) {
	n.group = routine.New(ctx)
	n.group.Go(func(ctx context.Context) {
		source := &reportingSource{controlPlaneClient: n.controlPlane, node: n}
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

// Ready returns nil if the node can serve requests. It fails with errs.Stopped after StepDown, and with
// errs.Unavailable if the replica has not been confirmed within maxConfirmationAge.
func (n *Node) Ready() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch age := n.opt.Clock.Now() - n.confirmedAt; {
	case n.stopping:
		return errs.New(errs.Stopped, "stopping")
	case n.confirmedAt == 0:
		return errs.New(errs.Unavailable, "the replica has not been confirmed yet")
	case age > maxConfirmationAge:
		return errs.New(errs.Unavailable, "the replica was last confirmed %s ago", age.Round(time.Millisecond))
	}
	return nil
}

// Package dataplane is the runtime of a dplane: the replica of the store, the calls to the cplanes, the duty sched
// with its calls to the minions, and the reads and commits of the client API.
package dataplane

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"crosstide/internal/clock"
	"crosstide/internal/dataplane/scheduler"
	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/replica"
	"crosstide/internal/routine"
	"crosstide/internal/rpc"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

// Options are what a node is made of.
type Options struct {
	Name, Addr, Incarnation string
	ControlPlanes           []string // cplane addresses
	Scheduler               scheduler.Config
	CallTimeout             time.Duration // of a call to a cplane, and of a minion's answer past its wait
	QueueLimit              int           // bound of the inbox
	Clock                   clock.Clock
	Logger                  log.Logger
	Caller                  *rpc.Client // to cplanes
	WorkerCaller            *rpc.Client // to minions: with TCP_USER_TIMEOUT well inside the lease's margin
}

// Node is one dplane.
type Node struct {
	opt          Options
	controlPlane *controlPlaneClient
	replica      *replica.Replica
	scheduler    *scheduler.Core // under the replica's lock
	leaseEpoch   uint64          // epoch of the newest lease, and its end; under the replica's lock
	leaseUntil   time.Duration
	group        *routine.Group
	wakeups      chan struct{}
	readIndexer  readIndexer

	mu           sync.Mutex
	workerConns  map[string]*workerConns
	confirmedAt  time.Duration // when an index was last confirmed and reached
	grantedEpoch uint64        // epoch of the own grant, 0 if none
	stopping     bool
}

// workerConns are the two connections to a minion: one for calls that may wait, one for calls with starts.
type workerConns struct {
	addr                string
	pollConn, orderConn *rpc.DedicatedConn
}

// New makes a node; Start runs it.
func New(opt Options) *Node {
	n := &Node{opt: opt, wakeups: make(chan struct{}, 1), workerConns: map[string]*workerConns{}}
	n.controlPlane = &controlPlaneClient{caller: opt.Caller, timeout: opt.CallTimeout, addrs: opt.ControlPlanes}
	n.replica = replica.New(func(note state.Event) { n.scheduler.StateChanged(note); n.wake() }, func(st *state.State) {
		n.scheduler.Reset(opt.Clock.Now(), st)
	})
	st := n.replica.Lock()
	n.scheduler = scheduler.New(opt.Scheduler, st)
	n.replica.Unlock()
	n.readIndexer.node, n.readIndexer.wakeups = n, make(chan struct{}, 1)
	return n
}

// SetControlPlanes replaces the addresses of the cplanes; an empty list leaves them as they are.
func (n *Node) SetControlPlanes(addrs []string) { n.controlPlane.setAddresses(addrs) }

// Start starts the node's loops.
func (n *Node) Start(ctx context.Context) {
	n.group = routine.New(ctx)
	n.group.Go(func(ctx context.Context) {
		n.replica.Run(ctx, &puller{controlPlaneClient: n.controlPlane, node: n}, n.opt.Clock, n.opt.Name, func(err error) {
			_ = level.Debug(n.opt.Logger).Log("msg", "pull failed", "err", err)
		})
	})
	n.group.Go(n.claimRoleLoop)
	n.group.Go(n.passLoop)
	n.group.Go(n.readIndexer.run)
}

// StepDown makes the node unready and gives up the duty, so that another node can take it at once.
func (n *Node) StepDown(ctx context.Context) {
	n.mu.Lock()
	n.stopping = true
	epoch := n.grantedEpoch
	n.mu.Unlock()
	if epoch == 0 {
		return
	}
	n.replica.Lock()
	n.scheduler.StepDown()
	n.replica.Unlock()
	ctx, cancel := context.WithTimeout(ctx, n.opt.CallTimeout)
	defer cancel()
	if _, err := askLeader(ctx, n.controlPlane, n, internalapi.ClaimRole, n.roleClaim(epoch, true), n.opt.CallTimeout, true); err != nil {
		_ = level.Warn(n.opt.Logger).Log("msg", "giving the duty up failed, its lease will run out", "err", err)
	}
}

// Stop ends the loops.
func (n *Node) Stop() { n.group.Stop() }

// pause waits for d or for the end of ctx (errs.Timeout).
func (n *Node) pause(ctx context.Context, d time.Duration) error {
	woken := make(chan struct{})
	timer := n.opt.Clock.Set(d, func() { close(woken) })
	select {
	case <-woken:
		return nil
	case <-ctx.Done():
		timer.Stop()
		return errs.Wrap(ctx.Err(), errs.Timeout, "over while pausing")
	}
}

func (n *Node) roleClaim(epoch uint64, giveUp bool) internalapi.ClaimRoleCall {
	return internalapi.ClaimRoleCall{Role: "sched", Holder: n.opt.Name, Addr: n.opt.Addr, Incarnation: n.opt.Incarnation, Epoch: epoch, Release: giveUp}
}

// maxClaims is how many claims may be under way at once: a slow path to the leader must not let the lease run out
// between two answers, and a dead one must not keep the next claim from finding its successor.
const maxClaims = 4

// claimRoleLoop claims or renews the duty again and again. The lease counts from before the call was sent.
func (n *Node) claimRoleLoop(ctx context.Context) {
	slots := make(chan struct{}, maxClaims)
	for ctx.Err() == nil {
		n.mu.Lock()
		stopping := n.stopping
		n.mu.Unlock()
		if stopping {
			return
		}
		select {
		case slots <- struct{}{}:
			n.group.Go(func(ctx context.Context) {
				defer func() { <-slots }()
				n.claimRole(ctx)
			})
		default:
		}
		if n.pause(ctx, 300*time.Millisecond) != nil {
			return
		}
	}
}

// claimRole makes one claim, at the node that the last hint named.
func (n *Node) claimRole(ctx context.Context) {
	n.mu.Lock()
	epoch := n.grantedEpoch
	n.mu.Unlock()
	for range 3 {
		addr, sent := n.controlPlane.leaderAddr(), n.opt.Clock.Now()
		a, err := rpc.Call(ctx, n.opt.Caller, addr, internalapi.ClaimRole, n.roleClaim(epoch, false), n.opt.CallTimeout)
		n.controlPlane.learnLeader(addr, err)
		switch {
		case err == nil && a.Mine:
			if err := n.acceptGrant(ctx, a, sent); err != nil {
				_ = level.Warn(n.opt.Logger).Log("msg", "granted, but not rebuilt yet", "epoch", a.Epoch, "err", err)
			}
			return
		case err == nil:
			n.roleLost(a)
			return
		case !errs.Is(err, errs.NotLeader) && !rpc.IsUnsent(err):
			_ = level.Debug(n.opt.Logger).Log("msg", "claiming the duty failed", "err", err)
			return
		}
	}
}

// acceptGrant makes a grant good: the replica is followed up to the grant's index first, then the running counts are rebuilt.
func (n *Node) acceptGrant(ctx context.Context, a internalapi.RoleLease, sent time.Duration) error {
	n.mu.Lock()
	stale := a.Epoch < n.grantedEpoch // answers of claims under way at once may cross
	n.grantedEpoch = max(n.grantedEpoch, a.Epoch)
	n.mu.Unlock()
	if stale {
		return nil
	}
	reach, cancel := context.WithTimeout(ctx, n.opt.CallTimeout)
	defer cancel()
	if err := n.replica.WaitForIndex(reach, a.Epoch); err != nil {
		return errs.Pass(err, "grant %d", a.Epoch)
	}
	st := n.replica.Lock()
	defer n.replica.Unlock()
	if d := st.Roles["sched"]; d == nil || d.Epoch != a.Epoch || d.Incarnation != n.opt.Incarnation {
		return errs.New(errs.Stale, "grant %d is over", a.Epoch)
	}
	if n.scheduler.Epoch() != a.Epoch {
		n.scheduler.BecomeLeader(n.opt.Clock.Now(), a.Epoch)
		_ = level.Info(n.opt.Logger).Log("msg", "took up sched", "epoch", a.Epoch, "handles", len(st.Handles), "queue", n.scheduler.QueueLength())
	}
	if until := sent + a.TTL; a.Epoch > n.leaseEpoch || until > n.leaseUntil {
		n.leaseEpoch, n.leaseUntil = a.Epoch, until
		n.scheduler.SetRoleLease(until)
	}
	n.wake()
	return nil
}

// roleLost records that another node has the duty. An answer with no newer epoch than the own grant crossed it, or
// says that the epoch ends: its lease runs out by itself.
func (n *Node) roleLost(a internalapi.RoleLease) {
	n.mu.Lock()
	had := n.grantedEpoch
	if had == 0 || a.Epoch <= had {
		n.mu.Unlock()
		return
	}
	n.grantedEpoch = 0
	n.mu.Unlock()
	n.replica.Lock()
	n.scheduler.StepDown()
	n.replica.Unlock()
	_ = level.Info(n.opt.Logger).Log("msg", "lost sched", "epoch", had, "holder", a.Holder, "now", a.Epoch)
}

// wake asks for a pass soon.
func (n *Node) wake() {
	select {
	case n.wakeups <- struct{}{}:
	default:
	}
}

// passLoop runs the passes when something came in, and every few milliseconds in any case.
func (n *Node) passLoop(ctx context.Context) {
	for ctx.Err() == nil {
		timer := n.opt.Clock.Set(20*time.Millisecond, n.wake)
		select {
		case <-n.wakeups:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
			return
		}
		n.replica.Lock()
		out := n.scheduler.Pass(n.opt.Clock.Now())
		n.replica.Unlock()
		if out.Plan != nil {
			n.group.Go(func(ctx context.Context) { n.commitPlan(ctx, out.Plan) })
		}
		for _, call := range out.Calls {
			n.group.Go(func(ctx context.Context) { n.sendCall(ctx, call) })
		}
	}
}

// commitPlan proposes a plan once and brings the answer to the core after the replica has reached it.
func (n *Node) commitPlan(ctx context.Context, plan *command.Plan) {
	a, err := n.controlPlane.propose(ctx, n, plan, false)
	var done command.Planned
	if err == nil {
		reach, cancel := context.WithTimeout(ctx, n.opt.CallTimeout)
		err = n.replica.WaitForIndex(reach, a.Index)
		cancel()
	}
	if err == nil {
		err = errs.Wrap(json.Unmarshal(a.Answer, &done), errs.Malformed, "the answer to a plan")
	}
	if err != nil {
		_ = level.Warn(n.opt.Logger).Log("msg", "a plan failed", "epoch", plan.Epoch, "err", err)
		_ = n.pause(ctx, 20*time.Millisecond)
	}
	n.replica.Lock()
	n.scheduler.PlanAnswered(n.opt.Clock.Now(), plan.Epoch, done, err)
	n.replica.Unlock()
	n.wake()
}

// connTo returns the connection for a call.
func (n *Node) connTo(c scheduler.OutgoingCall) *rpc.DedicatedConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.workerConns[c.Worker]
	if l == nil || l.addr != c.Addr {
		if l != nil {
			l.pollConn.Close()
			l.orderConn.Close()
		}
		l = &workerConns{addr: c.Addr, pollConn: rpc.NewDedicatedConn(n.opt.WorkerCaller, c.Addr), orderConn: rpc.NewDedicatedConn(n.opt.WorkerCaller, c.Addr)}
		n.workerConns[c.Worker] = l
	}
	if c.IsOrder {
		return l.orderConn
	}
	return l.pollConn
}

// sendCall makes one hold call. Immediately before its bytes are written the lease is checked again, and for starts
// the window; nothing is written after that.
func (n *Node) sendCall(ctx context.Context, c scheduler.OutgoingCall) {
	check := func() error {
		now := n.opt.Clock.Now()
		n.replica.Lock()
		live := n.scheduler.MayAct(now) && n.scheduler.Epoch() == c.Call.Epoch
		n.replica.Unlock()
		if !live {
			return errs.New(errs.Stale, "the duty's lease is over")
		}
		if c.WriteBy > 0 && now >= c.WriteBy {
			return errs.New(errs.Stale, "the window of these starts is over")
		}
		return nil
	}
	a, err := rpc.CallDedicated(ctx, n.connTo(c), internalapi.RenewLease, c.Call, c.Call.Wait+n.opt.CallTimeout/2, check)
	now := n.opt.Clock.Now()
	n.replica.Lock()
	if err != nil {
		n.scheduler.CallFailed(now, c.Worker, c.IsOrder, c.Call, !rpc.IsUnsent(err))
	} else {
		n.scheduler.CallAnswered(now, c.Worker, c.IsOrder, c.Call, a)
	}
	n.replica.Unlock()
	if err != nil {
		_ = level.Debug(n.opt.Logger).Log("msg", "a hold call failed", "minion", c.Worker, "call", c.Call.Call, "starts", len(c.Call.Starts), "err", err)
	}
	n.wake()
}

// Propose commits a command that may be repeated (submit, cancel, announce) and returns its answer.
func (n *Node) Propose(ctx context.Context, c command.Command) (json.RawMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, n.opt.CallTimeout)
	defer cancel()
	a, err := n.controlPlane.propose(ctx, n, c, true)
	if err != nil {
		return nil, errs.Pass(err, "commit")
	}
	return a.Answer, nil
}

// Read runs do on a state that is at least as new as the call; errs.Unavailable when that cannot be confirmed.
func (n *Node) Read(ctx context.Context, do func(s *state.State) error) error {
	index, err := n.readIndexer.readIndex(ctx)
	if err != nil {
		return errs.Wrap(err, errs.Unavailable, "cannot confirm the state")
	}
	if err := n.replica.WaitForIndex(ctx, index); err != nil {
		return errs.Pass(err, "read at %d", index)
	}
	n.replica.View(func(s *state.State) { err = do(s) })
	return errs.Pass(err, "read")
}

// QueueLimit is the bound of the inbox.
func (n *Node) QueueLimit() int { return n.opt.QueueLimit }

// Ready says why the node could not serve now; nil if it could.
func (n *Node) Ready() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch age := n.opt.Clock.Now() - n.confirmedAt; {
	case n.stopping:
		return errs.New(errs.Stopped, "stopping")
	case n.confirmedAt == 0:
		return errs.New(errs.Unavailable, "the replica is not confirmed yet")
	case age > 3*time.Second:
		return errs.New(errs.Unavailable, "the replica was last confirmed %s ago", age.Round(time.Millisecond))
	}
	return nil
}

// Figures are what the node shows of itself.
type Figures struct {
	Index, Changes, Bytes, Snapshots uint64
	Phase                            scheduler.Phase
	Epoch                            uint64
	QueueLength                      int
	Counts                           scheduler.Counts
	RunningCounts                    map[string]int
	Jobs, Handles, Workers, Inbox    int
	UnhealthyWorkers                 []string       // minions held sick
	TasksAwaitingTopUp               map[string]int // due tasks that wait for a top-up, by party
}

// Figures returns a snapshot of the node's figures.
func (n *Node) Figures() Figures {
	st := n.replica.Lock()
	defer n.replica.Unlock()
	f := Figures{Index: st.Index, Changes: n.replica.Changes, Bytes: n.replica.Bytes, Snapshots: n.replica.Snapshots,
		Phase: n.scheduler.Phase(), Epoch: n.scheduler.Epoch(), QueueLength: n.scheduler.QueueLength(), Counts: n.scheduler.Counts, RunningCounts: st.RunningCounts(),
		Jobs: len(st.Jobs), Handles: len(st.Handles), Workers: len(st.Workers), Inbox: len(st.Inbox), UnhealthyWorkers: n.scheduler.UnhealthyWorkers(), TasksAwaitingTopUp: n.scheduler.TasksAwaitingTopUp()}
	f.Counts.ProvedDead = map[string]uint64{}
	for k, v := range n.scheduler.Counts.ProvedDead {
		f.Counts.ProvedDead[k] = v
	}
	return f
}

// Announce makes a minion known to the store, if it is not known as it is.
func (n *Node) Announce(ctx context.Context, c internalapi.AnnounceWorkerCall) (internalapi.AnnounceWorkerAnswer, error) {
	answer := internalapi.AnnounceWorkerAnswer{Interval: 3 * time.Second}
	if c.Name == "" || c.Addr == "" {
		return answer, errs.Field(errs.Invalid, "name", "a minion needs a name and an address")
	}
	known := false
	n.replica.View(func(s *state.State) {
		m := s.Workers[c.Name]
		known = m != nil && m.Addr == c.Addr
	})
	if known {
		return answer, nil
	}
	_, err := n.Propose(ctx, &command.Announce{Worker: state.Worker{Name: c.Name, Addr: c.Addr, Kind: c.Kind, Zone: c.Zone,
		Rack: c.Rack, Labels: c.Labels, Cores: c.Cores, GPUs: c.GPUs}})
	return answer, errs.Pass(err, "announce %s", c.Name)
}

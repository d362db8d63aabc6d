package controller

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/clock"
	"crosstide/internal/controller/scheduler"
	"crosstide/internal/errs"
	"crosstide/internal/jobs"
	"crosstide/internal/rpc"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

// fakeStore commits proposals immediately in term. With term 0 its node is not the leader.
type fakeStore struct {
	state           *state.State
	term            uint64
	index           uint64
	proposeErr      errs.Kind // kind of the error of every proposal; "": proposals succeed
	commitsAnyway   bool      // a proposal that returns an error is committed nevertheless
	reachableVoters []string
	schema          jobs.Schema // the newest that all members support
}

func newFakeStore() *fakeStore { return &fakeStore{state: state.New(), term: 3} }

func (f *fakeStore) View(read func(*state.State))            { read(f.state) }
func (f *fakeStore) LeaderTerm(time.Duration) (uint64, bool) { return f.term, f.term != 0 }
func (*fakeStore) Changed() <-chan struct{}                  { return nil }
func (f *fakeStore) ReachableVoters() []string               { return f.reachableVoters }
func (f *fakeStore) MembersSupport(schema jobs.Schema) bool  { return schema <= f.schema }

func (*fakeStore) Members() (leader string, addresses []string) {
	return "lead:1", []string{"lead:1"}
}

func (f *fakeStore) commit(c command.Command) (answer any, err error) {
	data, err := command.Encode(time.Unix(0, 0), c)
	if err != nil {
		return nil, errs.Pass(err, "encode")
	}
	f.index++
	answer, err = command.Apply(f.state, f.index, f.term, data)
	return answer, errs.Pass(err, "apply")
}

func (f *fakeStore) ProposeIn(_ context.Context, term uint64, c command.Command) (uint64, any, error) {
	if term != f.term {
		return 0, nil, errs.New(errs.Unavailable, "term has ended")
	}
	if f.proposeErr != "" {
		if f.commitsAnyway {
			_, _ = f.commit(c)
		}
		return 0, nil, errs.New(f.proposeErr, "injected failure")
	}
	answer, err := f.commit(c)
	return f.index, answer, errs.Pass(err, "commit")
}

// unresponsiveWorkers lets every order time out.
type unresponsiveWorkers struct{}

func (unresponsiveWorkers) Start(context.Context, jobs.Worker, scheduler.StartOrder) (scheduler.StartAnswer, error) {
	return scheduler.StartAnswer{}, errs.New(errs.Timeout, "no response")
}

func (unresponsiveWorkers) Stop(context.Context, jobs.Worker, scheduler.StopOrder) error {
	return errs.New(errs.Timeout, "no response")
}

func (unresponsiveWorkers) RenewLease(context.Context, jobs.Worker,
	scheduler.LeaseRenewal) (scheduler.RenewalAnswer, error) {
	return scheduler.RenewalAnswer{}, errs.New(errs.Timeout, "no response")
}

// newTestLeader returns a Leader that has made its first pass. Its loop is not started: tests call pass.
func newTestLeader(store *fakeStore, clk *clock.Virtual) *Leader {
	leader := NewLeader(LeaderOptions{
		Store: store, Workers: unresponsiveWorkers{}, Config: scheduler.Defaults(), ControlAddress: "lead:2", Clock: clk,
		Logger: log.NewNopLogger(),
	})
	leader.pass()
	return leader
}

// fakeNode is a control-plane node. It records the calls that it executed.
type fakeNode struct {
	addr     string
	cluster  *clusterState
	err      error    // returned by every call; nil: calls are executed
	executed []string // calls executed since the last drainCalls
}

// clusterState is the state shared by the nodes of a control plane. mu guards it and all fields of the nodes.
type clusterState struct {
	mu      sync.Mutex
	leader  string // address of the node that leads
	members []string
}

func (n *fakeNode) execute(name string) error {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	if n.err != nil {
		return n.err
	}
	if n.cluster.leader != n.addr {
		return &errs.Error{Kind: errs.NotLeader, Message: "injected failure", Hint: n.cluster.leader}
	}
	n.executed = append(n.executed, name)
	return nil
}

// drainCalls returns the calls that the node executed since the previous drainCalls.
func (n *fakeNode) drainCalls() []string {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	executed := n.executed
	n.executed = nil
	return executed
}

func (n *fakeNode) failWith(kind errs.Kind) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.err = errs.New(kind, "injected failure")
}

func (n *fakeNode) Submit(_ context.Context, call SubmitCall) (SubmitAnswer, error) {
	return SubmitAnswer{State: jobs.Queued}, n.execute("submit " + call.Spec.ID)
}

func (n *fakeNode) Job(_ context.Context, call JobCall) (JobAnswer, error) {
	return JobAnswer{NotFound: true}, n.execute("job " + call.Location.Path)
}

func (n *fakeNode) Count(_ context.Context, call CountCall) (CountAnswer, error) {
	return CountAnswer{Waiting: 7}, n.execute("count " + call.Location.Host)
}

func (n *fakeNode) Heartbeat(_ context.Context, call HeartbeatCall) (HeartbeatAnswer, error) {
	return HeartbeatAnswer{HeartbeatAddress: n.addr}, n.execute("beat " + call.Worker.ID)
}

func (n *fakeNode) Config(context.Context, ConfigCall) (jobs.Config, error) {
	return jobs.Config{Version: 3}, n.execute("config")
}

func (n *fakeNode) Configure(_ context.Context, call jobs.Configure) (ConfigureAnswer, error) {
	return ConfigureAnswer{}, n.execute("configure " + call.Digest)
}

func (n *fakeNode) Evacuate(_ context.Context, call jobs.Evacuate) (EvacuateAnswer, error) {
	return EvacuateAnswer{}, n.execute("evacuate " + call.Zone)
}

func (n *fakeNode) Zone(_ context.Context, call ZoneCall) (ZoneAnswer, error) {
	return ZoneAnswer{}, n.execute("zone " + call.Zone)
}

func (n *fakeNode) Topology(context.Context, TopologyCall) (TopologyAnswer, error) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return TopologyAnswer{Leader: n.cluster.leader, Members: n.cluster.members}, nil
}

func (n *fakeNode) Show(_ context.Context, call ShowCall) (JobView, error) {
	return JobView{ID: call.ID}, n.execute("show " + call.ID)
}

func (n *fakeNode) Cancel(_ context.Context, call CancelCall) (JobAnswer, error) {
	return JobAnswer{State: jobs.Cancelled}, n.execute("cancel " + call.ID)
}

func (n *fakeNode) List(_ context.Context, call ListCall) (ListAnswer, error) {
	return ListAnswer{More: true}, n.execute("list " + call.Queue)
}

func (n *fakeNode) Queues(context.Context, QueuesCall) (QueuesAnswer, error) {
	return QueuesAnswer{Queues: []QueueView{{Name: "q"}}}, n.execute("queues")
}

func (n *fakeNode) Workers(context.Context, WorkersCall) (WorkersAnswer, error) {
	return WorkersAnswer{Evacuated: []string{"z"}}, n.execute("workers")
}

// startCluster starts a control plane of count nodes on the loopback interface. The last node leads.
func startCluster(count int) (nodes []*fakeNode, caller *rpc.Client, stop func()) {
	cluster := &clusterState{}
	caller = rpc.NewClient(rpc.ClientOptions{})
	var servers []*rpc.Server
	for range count {
		node := &fakeNode{cluster: cluster}
		s := rpc.NewServer(rpc.ServerOptions{Addr: "127.0.0.1:0"})
		Serve(s, node)
		So(s.Start(), ShouldBeNil)
		cluster.mu.Lock()
		node.addr = s.Addr()
		cluster.leader, cluster.members = node.addr, append(cluster.members, node.addr)
		cluster.mu.Unlock()
		nodes, servers = append(nodes, node), append(servers, s)
	}
	return nodes, caller, func() {
		caller.Close()
		for _, s := range servers {
			So(s.Stop(time.Minute), ShouldBeNil)
		}
	}
}

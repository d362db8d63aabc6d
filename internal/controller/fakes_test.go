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

// fakeStore commits at once, under term, which 0 ends.
type fakeStore struct {
	state   *state.State
	term    uint64
	index   uint64
	refuses errs.Kind // error of every proposal; "": they are committed
	late    bool      // a refused proposal is committed all the same
	reached []string  // result of ReachableVoters
}

func newFakeStore() *fakeStore { return &fakeStore{state: state.New(), term: 3} }

func (f *fakeStore) View(read func(*state.State))            { read(f.state) }
func (f *fakeStore) LeaderTerm(time.Duration) (uint64, bool) { return f.term, f.term != 0 }
func (*fakeStore) Changed() <-chan struct{}                  { return nil }
func (f *fakeStore) ReachableVoters() []string               { return f.reached }

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
		return 0, nil, errs.New(errs.Unavailable, "another term")
	}
	if f.refuses != "" {
		if f.late {
			_, _ = f.commit(c)
		}
		return 0, nil, errs.New(f.refuses, "on purpose")
	}
	answer, err := f.commit(c)
	return f.index, answer, errs.Pass(err, "commit")
}

// unresponsiveWorkers answer no order.
type unresponsiveWorkers struct{}

func (unresponsiveWorkers) Start(context.Context, jobs.Worker, scheduler.StartOrder) (scheduler.StartAnswer, error) {
	return scheduler.StartAnswer{}, errs.New(errs.Timeout, "deaf")
}

func (unresponsiveWorkers) Stop(context.Context, jobs.Worker, scheduler.StopOrder) error {
	return errs.New(errs.Timeout, "deaf")
}

func (unresponsiveWorkers) RenewLease(context.Context, jobs.Worker,
	scheduler.LeaseRenewal) (scheduler.RenewalAnswer, error) {
	return scheduler.RenewalAnswer{}, errs.New(errs.Timeout, "deaf")
}

// newTestLeader returns a Leader that has made its first pass; the test calls pass for further ones.
func newTestLeader(store *fakeStore, clk *clock.Virtual) *Leader {
	leader := NewLeader(LeaderOptions{
		Store: store, Workers: unresponsiveWorkers{}, Config: scheduler.Defaults(), ControlAddress: "lead:2", Clock: clk,
		Logger: log.NewNopLogger(),
	})
	leader.pass()
	return leader
}

// coreNode is a node of a core. It records the calls that it carried out.
type coreNode struct {
	addr   string
	core   *coreNodes
	refuse error    // with which every call fails; nil: none does
	done   []string // calls carried out since takeCalls
}

// coreNodes is the state that the nodes of a core share. mu guards it and all fields of the nodes.
type coreNodes struct {
	mu      sync.Mutex
	leader  string // address of the node that leads
	members []string
}

func (n *coreNode) execute(name string) error {
	n.core.mu.Lock()
	defer n.core.mu.Unlock()
	if n.refuse != nil {
		return n.refuse
	}
	if n.core.leader != n.addr {
		return &errs.Error{Kind: errs.NotLeader, Message: "on purpose", Hint: n.core.leader}
	}
	n.done = append(n.done, name)
	return nil
}

// takeCalls returns the calls that the node carried out since it was last called.
func (n *coreNode) takeCalls() []string {
	n.core.mu.Lock()
	defer n.core.mu.Unlock()
	done := n.done
	n.done = nil
	return done
}

func (n *coreNode) refuses(kind errs.Kind) {
	n.core.mu.Lock()
	defer n.core.mu.Unlock()
	n.refuse = errs.New(kind, "on purpose")
}

func (n *coreNode) Submit(_ context.Context, call SubmitCall) (SubmitAnswer, error) {
	return SubmitAnswer{State: jobs.Queued}, n.execute("submit " + call.Spec.ID)
}

func (n *coreNode) Job(_ context.Context, call JobCall) (JobAnswer, error) {
	return JobAnswer{Gone: true}, n.execute("job " + call.Location.Path)
}

func (n *coreNode) Count(_ context.Context, call CountCall) (CountAnswer, error) {
	return CountAnswer{Waiting: 7}, n.execute("count " + call.Location.Host)
}

func (n *coreNode) Heartbeat(_ context.Context, call HeartbeatCall) (HeartbeatAnswer, error) {
	return HeartbeatAnswer{HeartbeatAddress: n.addr}, n.execute("beat " + call.Worker.ID)
}

func (n *coreNode) Config(context.Context, ConfigCall) (jobs.Config, error) {
	return jobs.Config{Version: 3}, n.execute("config")
}

func (n *coreNode) Configure(_ context.Context, call jobs.Configure) (ConfigureAnswer, error) {
	return ConfigureAnswer{}, n.execute("configure " + call.Digest)
}

func (n *coreNode) Evacuate(_ context.Context, call jobs.Evacuate) (EvacuateAnswer, error) {
	return EvacuateAnswer{}, n.execute("evacuate " + call.Zone)
}

func (n *coreNode) Topology(context.Context, TopologyCall) (TopologyAnswer, error) {
	n.core.mu.Lock()
	defer n.core.mu.Unlock()
	return TopologyAnswer{Leader: n.core.leader, Members: n.core.members}, nil
}

func (n *coreNode) Show(_ context.Context, call ShowCall) (JobView, error) {
	return JobView{ID: call.ID}, n.execute("show " + call.ID)
}

func (n *coreNode) Cancel(_ context.Context, call CancelCall) (JobAnswer, error) {
	return JobAnswer{State: jobs.Cancelled}, n.execute("cancel " + call.ID)
}

func (n *coreNode) List(_ context.Context, call ListCall) (ListAnswer, error) {
	return ListAnswer{More: true}, n.execute("list " + call.Queue)
}

func (n *coreNode) Queues(context.Context, QueuesCall) (QueuesAnswer, error) {
	return QueuesAnswer{Queues: []QueueView{{Name: "q"}}}, n.execute("queues")
}

func (n *coreNode) Workers(context.Context, WorkersCall) (WorkersAnswer, error) {
	return WorkersAnswer{Evacuated: []string{"z"}}, n.execute("workers")
}

// startCore starts a core of count nodes on loopback; the last one leads.
func startCore(count int) (nodes []*coreNode, caller *rpc.Client, end func()) {
	core := &coreNodes{}
	caller = rpc.NewClient(rpc.ClientOptions{})
	var servers []*rpc.Server
	for range count {
		node := &coreNode{core: core}
		s := rpc.NewServer(rpc.ServerOptions{Addr: "127.0.0.1:0"})
		Serve(s, node)
		So(s.Start(), ShouldBeNil)
		core.mu.Lock()
		node.addr = s.Addr()
		core.leader, core.members = node.addr, append(core.members, node.addr)
		core.mu.Unlock()
		nodes, servers = append(nodes, node), append(servers, s)
	}
	return nodes, caller, func() {
		caller.Close()
		for _, s := range servers {
			So(s.Stop(time.Minute), ShouldBeNil)
		}
	}
}

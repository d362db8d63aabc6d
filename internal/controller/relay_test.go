package controller

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
	"crosstide/internal/jobs"
	"crosstide/internal/rpc"
)

// coreNode is a node of a core in which leader (an address) leads. It counts the calls that it carried out.
type coreNode struct {
	addr   string
	core   *coreNodes
	refuse error // answered instead
	done   []string
}

// coreNodes is what the nodes of a core share; mu is for all their fields too.
type coreNodes struct {
	mu      sync.Mutex
	leader  string
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

// accepted gives the calls that the node carried out since the last question.
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

// startCore starts a core of n nodes on loopback; the last one leads.
func startCore(n int) (nodes []*coreNode, caller *rpc.Client, end func()) {
	core := &coreNodes{}
	caller = rpc.NewClient(rpc.ClientOptions{})
	var servers []*rpc.Server
	for range n {
		one := &coreNode{core: core}
		s := rpc.NewServer(rpc.ServerOptions{Addr: "127.0.0.1:0"})
		Serve(s, one)
		So(s.Start(), ShouldBeNil)
		core.mu.Lock()
		one.addr = s.Addr()
		core.leader, core.members = one.addr, append(core.members, one.addr)
		core.mu.Unlock()
		nodes, servers = append(nodes, one), append(servers, s)
	}
	return nodes, caller, func() {
		caller.Close()
		for _, s := range servers {
			So(s.Stop(time.Minute), ShouldBeNil)
		}
	}
}

// patient are the options of a client whose attempts a busy machine does not cut short.
func patient(caller *rpc.Client, self string, seeds ...string) ClientOptions {
	return ClientOptions{Caller: caller, Seeds: seeds, Self: self, Attempt: 30 * time.Second}
}

type caller interface {
	Submit(context.Context, SubmitCall) (SubmitAnswer, error)
	Job(context.Context, JobCall) (JobAnswer, error)
	Count(context.Context, CountCall) (CountAnswer, error)
	Heartbeat(context.Context, HeartbeatCall) (HeartbeatAnswer, error)
	Config(context.Context, ConfigCall) (jobs.Config, error)
	Configure(context.Context, jobs.Configure) (ConfigureAnswer, error)
	Evacuate(context.Context, jobs.Evacuate) (EvacuateAnswer, error)
}

// callAll makes every call once and checks what comes back.
func callAll(ctx context.Context, c caller, leader string) {
	submitted, err := c.Submit(ctx, SubmitCall{Spec: jobs.Spec{ID: "1"}})
	So([]any{submitted.State, err}, ShouldResemble, []any{jobs.Queued, nil})
	job, err := c.Job(ctx, JobCall{Location: Location{Path: "/p"}})
	So([]any{job.Gone, err}, ShouldResemble, []any{true, nil})
	count, err := c.Count(ctx, CountCall{Location: Location{Host: "h"}})
	So([]any{count.Waiting, err}, ShouldResemble, []any{7, nil})
	heartbeat, err := c.Heartbeat(ctx, HeartbeatCall{Worker: jobs.Worker{ID: "w"}})
	So([]any{heartbeat.HeartbeatAddress, err}, ShouldResemble, []any{leader, nil})
	config, err := c.Config(ctx, ConfigCall{})
	So([]any{config.Version, err}, ShouldResemble, []any{uint64(3), nil})
	_, err = c.Configure(ctx, jobs.Configure{Digest: "d"})
	So(err, ShouldBeNil)
	_, err = c.Evacuate(ctx, jobs.Evacuate{Zone: "z"})
	So(err, ShouldBeNil)
}

var allDone = []string{"submit 1", "job /p", "count h", "beat w", "config", "configure d", "evacuate z"}

func TestRelay(t *testing.T) {
	Convey("Every call reaches the leader from a client and from every node of the core, once", t, func() {
		nodes, k, end := startCore(3)
		defer end()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		leader := nodes[2]
		callAll(ctx, NewClient(patient(k, "", nodes[0].addr)), leader.addr)
		So(leader.takeCalls(), ShouldResemble, allDone)
		for _, n := range nodes {
			callAll(ctx, NewRelay(n, NewClient(patient(k, n.addr, nodes[0].addr)), n.addr), leader.addr)
			So(leader.takeCalls(), ShouldResemble, allDone)
		}
		So(len(nodes[0].takeCalls())+len(nodes[1].takeCalls()), ShouldEqual, 0)
	})
	Convey("A node that does not lead passes on what it cannot do; the leader's own word stands", t, func() {
		nodes, k, end := startCore(2)
		defer end()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		follower, leader := nodes[0], nodes[1]
		for _, c := range []struct {
			kind   errs.Kind
			passed bool
		}{{errs.Unavailable, true}, {errs.Timeout, false}, {errs.Stale, false}, {errs.Stopped, false}} {
			follower.refuses(c.kind)
			r := NewRelay(follower, NewClient(patient(k, follower.addr, leader.addr)), follower.addr)
			_, err := r.Submit(ctx, SubmitCall{})
			want := c.kind
			if c.passed {
				want = ""
			}
			So(errs.KindOf(err), ShouldEqual, want)
		}
		So(len(leader.takeCalls()), ShouldEqual, 1)
		leader.refuses(errs.Unavailable)
		r := NewRelay(leader, NewClient(patient(k, leader.addr, follower.addr)), leader.addr)
		_, err := r.Submit(ctx, SubmitCall{})
		So(errs.KindOf(err), ShouldEqual, errs.Unavailable)
		So(len(follower.takeCalls()), ShouldEqual, 0)
	})
	Convey("A client that is started gets ready, and a core that has gone is told as Unavailable", t, func() {
		nodes, k, end := startCore(2)
		c := NewClient(patient(k, "", nodes[0].addr))
		ready := make(chan struct{})
		c.sleep = func(ctx context.Context, _ time.Duration) { // the watch's pause after its first probe
			close(ready)
			<-ctx.Done()
		}
		c.Start()
		<-ready
		So(c.Ready(), ShouldBeNil)
		So(c.directory.addresses(), ShouldResemble, []string{nodes[0].addr, nodes[1].addr})
		c.Stop()
		end()
		c.sleep = c.sleepOnClock
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, err := c.Submit(ctx, SubmitCall{})
		So(errs.KindOf(err), ShouldEqual, errs.Unavailable)
	})
}

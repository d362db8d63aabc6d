package controller

import (
	"context"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
	"crosstide/internal/jobs"
	"crosstide/internal/rpc"
)

// longAttemptOptions returns client options with an attempt timeout that is not exceeded on a busy machine.
func longAttemptOptions(caller *rpc.Client, self string, seeds ...string) ClientOptions {
	return ClientOptions{Caller: caller, Seeds: seeds, Self: self, AttemptTimeout: 30 * time.Second}
}

// relayedCalls is implemented by Client and Relay.
type relayedCalls interface {
	Submit(context.Context, SubmitCall) (SubmitAnswer, error)
	Job(context.Context, JobCall) (JobAnswer, error)
	Count(context.Context, CountCall) (CountAnswer, error)
	Heartbeat(context.Context, HeartbeatCall) (HeartbeatAnswer, error)
	Config(context.Context, ConfigCall) (jobs.Config, error)
	Configure(context.Context, jobs.Configure) (ConfigureAnswer, error)
	Evacuate(context.Context, jobs.Evacuate) (EvacuateAnswer, error)
}

// callAll makes each call once and checks its answer.
func callAll(ctx context.Context, c relayedCalls, leader string) {
	submitted, err := c.Submit(ctx, SubmitCall{Spec: jobs.Spec{ID: "1"}})
	So([]any{submitted.State, err}, ShouldResemble, []any{jobs.Queued, nil})
	job, err := c.Job(ctx, JobCall{Location: Location{Path: "/p"}})
	So([]any{job.NotFound, err}, ShouldResemble, []any{true, nil})
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

// allCalls are the calls of callAll, as a fakeNode records them.
var allCalls = []string{"submit 1", "job /p", "count h", "beat w", "config", "configure d", "evacuate z"}

// relayedCallNames are the calls of callAll through a Relay, which reads a zone before it forwards an order for it.
var relayedCallNames = append(slices.Clone(allCalls[:len(allCalls)-1]), "zone z", "evacuate z")

// TestRelay guards against calls that are executed twice, which happens if a node forwards a call that it may have
// executed, and against calls that fail although another node could answer them.
func TestRelay(t *testing.T) {
	Convey("Each call of a client or of a Relay on any node reaches the leader exactly once", t, func() {
		nodes, caller, stop := startCluster(3)
		defer stop()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		leader := nodes[2]
		callAll(ctx, NewClient(longAttemptOptions(caller, "", nodes[0].addr)), leader.addr)
		So(leader.drainCalls(), ShouldResemble, allCalls)
		for _, node := range nodes {
			client := NewClient(longAttemptOptions(caller, node.addr, nodes[0].addr))
			callAll(ctx, NewRelay(node, client, node.addr), leader.addr)
			So(leader.drainCalls(), ShouldResemble, relayedCallNames)
		}
		So(len(nodes[0].drainCalls())+len(nodes[1].drainCalls()), ShouldEqual, 0)
	})
	Convey("A follower forwards calls that it did not execute; the error of the leader is returned", t, func() {
		nodes, caller, stop := startCluster(2)
		defer stop()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		follower, leader := nodes[0], nodes[1]
		for _, c := range []struct {
			kind        errs.Kind
			isForwarded bool
		}{{errs.Unavailable, true}, {errs.Timeout, false}, {errs.Stale, false}, {errs.Stopped, false}} {
			follower.failWith(c.kind)
			relay := NewRelay(follower, NewClient(longAttemptOptions(caller, follower.addr, leader.addr)), follower.addr)
			_, err := relay.Submit(ctx, SubmitCall{})
			want := c.kind
			if c.isForwarded {
				want = ""
			}
			So(errs.KindOf(err), ShouldEqual, want)
		}
		So(len(leader.drainCalls()), ShouldEqual, 1)
		leader.failWith(errs.Unavailable)
		relay := NewRelay(leader, NewClient(longAttemptOptions(caller, leader.addr, follower.addr)), leader.addr)
		_, err := relay.Submit(ctx, SubmitCall{})
		So(errs.KindOf(err), ShouldEqual, errs.Unavailable)
		So(len(follower.drainCalls()), ShouldEqual, 0)
	})
	Convey("A started client becomes ready, and calls to a stopped control plane fail as Unavailable", t, func() {
		nodes, caller, stop := startCluster(2)
		c := NewClient(longAttemptOptions(caller, "", nodes[0].addr))
		ready := make(chan struct{})
		c.sleep = func(ctx context.Context, _ time.Duration) { // the pause after the first probe
			close(ready)
			<-ctx.Done()
		}
		c.Start()
		<-ready
		So(c.Ready(), ShouldBeNil)
		So(c.directory.addresses(), ShouldResemble, []string{nodes[0].addr, nodes[1].addr})
		c.Stop()
		stop()
		c.sleep = c.sleepOnClock
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, err := c.Submit(ctx, SubmitCall{})
		So(errs.KindOf(err), ShouldEqual, errs.Unavailable)
	})
}

package controller

import (
	"fmt"
	"testing"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/clock"
)

func TestHeartbeatAssigner(t *testing.T) {
	Convey("Workers are spread over the reachable members; the loss of a member reassigns only its workers", t, func() {
		members := []string{"a:1", "b:1", "c:1", "d:1", "e:1"}
		reads := 0
		h := &heartbeatAssigner{reachable: func() []string { reads++; return members }}
		const workers = 1000
		nodesOfWorkers := func() map[string]string {
			nodes := map[string]string{}
			for i := range workers {
				id := fmt.Sprint("w", i)
				nodes[id] = h.nodeFor(0, id)
			}
			return nodes
		}
		before, counts := nodesOfWorkers(), map[string]int{}
		for _, node := range before {
			counts[node]++
		}
		So(counts, ShouldHaveLength, len(members))
		for _, count := range counts {
			So(count, ShouldBeBetween, workers/len(members)/2, workers/len(members)*2)
		}
		So(reads, ShouldEqual, 1)
		members = []string{"e:1", "d:1", "b:1", "a:1"}
		h.nodeFor(memberRefreshInterval, "w")
		So(reads, ShouldEqual, 2)
		for id, node := range nodesOfWorkers() {
			if before[id] == "c:1" {
				So(node, ShouldNotEqual, "c:1")
			} else {
				So(node, ShouldEqual, before[id])
			}
		}
	})
	Convey("No node is assigned if no member is reachable", t, func() {
		h := &heartbeatAssigner{reachable: func() []string { return nil }}
		So(h.nodeFor(0, "w"), ShouldBeEmpty)
	})
}

func TestHeartbeatAddressInAnswer(t *testing.T) {
	Convey("A heartbeat's answer names the worker's assigned node, or the leader if workers are not spread", t, func() {
		spread := func(internal string) string { return "control of " + internal }
		for _, c := range []struct {
			options         LeaderOptions
			reachableVoters []string
			want            string
		}{
			{LeaderOptions{ControlAddressOf: spread}, []string{"b:1"}, "control of b:1"},
			{LeaderOptions{ControlAddressOf: spread}, nil, "own"},
			{LeaderOptions{}, []string{"b:1"}, "own"},
			{LeaderOptions{ControlAddressOf: spread, Mailboxes: NewMailboxes()}, []string{"b:1"}, "own"},
		} {
			store := newFakeStore()
			store.reachableVoters = c.reachableVoters
			c.options.Store, c.options.ControlAddress = store, "own"
			c.options.Clock, c.options.Logger = &clock.Virtual{}, log.NewNopLogger()
			So(NewLeader(c.options).heartbeatAddress("w"), ShouldEqual, c.want)
		}
	})
}

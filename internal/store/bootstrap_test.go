package store

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/config"
	"crosstide/internal/internalapi"
)

func TestDecideBootstrap(t *testing.T) {
	Convey("An empty folder bootstraps only when it surely had no earlier incarnation", t, func() {
		say := func(a ...internalapi.DiscoverAnswer) bootstrapDecision {
			all := map[string]internalapi.DiscoverAnswer{}
			for i, one := range a {
				one.Digest = "d"
				all[fmt.Sprint("c", i+2)] = one
			}
			v, vouched := decideBootstrap("c1", "boot", "d", 3, all, map[string]string{"c2": "p", "c3": "p"})
			named := slices.ContainsFunc(a, func(one internalapi.DiscoverAnswer) bool { return one.BootstrapIncarnations != nil })
			So(v == mayBootstrap && !named, ShouldEqual, vouched != nil)
			return v
		}
		empty := internalapi.DiscoverAnswer{Fresh: true, Incarnation: "p"}
		So(say(), ShouldEqual, undecided)
		So(say(empty), ShouldEqual, undecided)
		So(say(empty, empty), ShouldEqual, mayBootstrap)
		So(say(empty, internalapi.DiscoverAnswer{Commit: 2}), ShouldEqual, fleetExists)
		So(say(internalapi.DiscoverAnswer{Commit: 900}), ShouldEqual, fleetExists)
		So(say(empty, internalapi.DiscoverAnswer{Commit: 1}), ShouldEqual, undecided) // has voted, perhaps for us
		So(say(internalapi.DiscoverAnswer{Commit: 9, BootstrapIncarnations: map[string]string{"c1": "boot"}}), ShouldEqual, mayBootstrap)
		So(say(internalapi.DiscoverAnswer{Commit: 9, BootstrapIncarnations: map[string]string{"c1": "earlier"}}), ShouldEqual, fleetExists)
		one := map[string]internalapi.DiscoverAnswer{"c2": {Fresh: true, Digest: "d", Incarnation: "p"}}
		v, _ := decideBootstrap("c1", "boot", "other", 3, one, nil)
		So(v, ShouldEqual, settingsDiffer)
		v, incarnations := decideBootstrap("c1", "boot", "d", 2, one, nil) // the first such round
		So(v, ShouldEqual, undecided)
		v, _ = decideBootstrap("c1", "boot", "d", 2, one, map[string]string{"c2": "an earlier process"})
		So(v, ShouldEqual, undecided)
		v, _ = decideBootstrap("c1", "boot", "d", 2, one, incarnations)
		So(v, ShouldEqual, mayBootstrap)
	})
}

func TestOpenBootstrap(t *testing.T) {
	withOpenFleet(t, 5, func(fleet *testFleet) {
		took := fleet.elapsed(func() {
			fleet.startAll()
			fleet.waitVoters("c1", "c2", "c3", "c4", "c5")
		})
		Printf("\nfive voters after %s", took)
		So(took, ShouldBeLessThan, 4*time.Second)
		for _, n := range []string{"c1", "c2", "c3"} {
			So(fleet.nodes[n].Status().Raft.ID, ShouldEqual, n) // founded, not joined
		}
		So(fleet.submitJobs("a", 100), ShouldBeEmpty)
		fleet.waitLevel()

		joined := fleet.elapsed(func() {
			fleet.startFresh("c6")
			fleet.waitVoters("c1", "c2", "c3", "c4", "c5", "c6")
		})
		Printf("\na newcomer is a voter after %s", joined)
		So(joined, ShouldBeLessThan, time.Second)
		fleet.waitLevel()

		leader, addresses := fleet.nodes["c6"].Members()
		So(leader, ShouldEqual, fleet.leader().settings.Addr)
		So(addresses, ShouldHaveLength, 6)
	})
}

func TestOpenBootstrap_waitsForAllSeeds(t *testing.T) {
	withOpenFleet(t, 5, func(fleet *testFleet) {
		for _, n := range []string{"c1", "c2", "c4", "c5"} { // c3 is late
			fleet.start(n)
		}
		fleet.advance(10 * time.Second)
		for n, s := range fleet.nodes {
			So(fmt.Sprint(n, s.BootstrapStatus(internalapi.DiscoverCall{}).Commit), ShouldEqual, n+"0")
		}
		fleet.start("c3")
		fleet.waitVoters("c1", "c2", "c3", "c4", "c5")
	})
}

func TestOpenBootstrap_neverWhenDisallowed(t *testing.T) {
	withOpenFleet(t, 5, func(fleet *testFleet) {
		fleet.settings.Bootstrap = false
		fleet.startAll()
		fleet.advance(20 * time.Second)
		for _, s := range fleet.nodes {
			a := s.BootstrapStatus(internalapi.DiscoverCall{})
			So(a.Fresh, ShouldBeFalse)
			So(a.Commit, ShouldEqual, 0)
			So(a.ID, ShouldStartWith, s.settings.Name+"~")
			So(s.Ready(), ShouldNotBeNil)
		}
	})
	withOpenFleet(t, 3, func(fleet *testFleet) { // one seed has lost its folder: the others must not found without its word
		fleet.start("c1")
		fleet.start("c2")
		fleet.settings.Bootstrap = false
		fleet.start("c3")
		fleet.advance(20 * time.Second)
		for _, s := range fleet.nodes {
			So(s.BootstrapStatus(internalapi.DiscoverCall{}).Commit, ShouldEqual, 0)
		}
	})
}

func TestDecideOpenBootstrap(t *testing.T) {
	Convey("Only seeds with the same seeds bootstrap together, and only where nobody knows a fleet", t, func() {
		s := &Store{incarnation: "boot"}
		s.settings.Name, s.settings.Addr = "c1", "c1"
		s.settings.Members = []config.Member{{ID: "c1", Addr: "c1"}, {ID: "c2", Addr: "c2"}, {ID: "c3", Addr: "c3"}}
		empty := internalapi.DiscoverAnswer{Fresh: true, Incarnation: "p", Digest: s.digest()}
		other := internalapi.DiscoverAnswer{Fresh: true, Incarnation: "p", Digest: "other"}
		before := map[string]string{"c2": "p", "c3": "p"}
		say := func(c2, c3 internalapi.DiscoverAnswer, more ...internalapi.DiscoverAnswer) bootstrapDecision {
			answers := map[string]internalapi.DiscoverAnswer{"c2": c2, "c3": c3}
			for i, a := range more {
				answers[fmt.Sprint("c", i+4)] = a
			}
			v, _ := s.decideOpenBootstrap(answers, before)
			return v
		}
		So(say(empty, empty), ShouldEqual, mayBootstrap)
		So(say(empty, other), ShouldEqual, settingsDiffer)
		So(say(empty, internalapi.DiscoverAnswer{Commit: 9}), ShouldEqual, fleetExists) // its seeds are not compared
		So(say(other, internalapi.DiscoverAnswer{Commit: 9}), ShouldEqual, fleetExists)
		So(say(empty, empty, internalapi.DiscoverAnswer{Commit: 9}), ShouldEqual, fleetExists) // one that is no seed
		So(say(empty, internalapi.DiscoverAnswer{Digest: "other"}), ShouldEqual, undecided)    // empty, and must not found
		So(say(empty, internalapi.DiscoverAnswer{Commit: 1, Digest: s.digest()}), ShouldEqual, undecided)
		named := internalapi.DiscoverAnswer{Commit: 9, Digest: s.digest(), BootstrapIncarnations: map[string]string{"c1": "boot"}}
		So(say(empty, named), ShouldEqual, mayBootstrap)
		named.Digest = "other"
		So(say(empty, named), ShouldEqual, fleetExists)
		v, _ := s.decideOpenBootstrap(map[string]internalapi.DiscoverAnswer{"c2": empty, "c3": empty}, nil)
		So(v, ShouldEqual, undecided) // the first such round
	})
}

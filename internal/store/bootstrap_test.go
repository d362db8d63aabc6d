package store

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/config"
	"crosstide/internal/internalapi"
)

func TestDecideBootstrap_onlyWithoutEarlierIncarnations(t *testing.T) {
	fresh := internalapi.DiscoverAnswer{Fresh: true, Incarnation: "p"}
	listing := func(incarnation string) internalapi.DiscoverAnswer {
		return internalapi.DiscoverAnswer{Commit: 9, BootstrapIncarnations: map[string]string{"c1": incarnation}}
	}
	for _, c := range []struct {
		when    string
		answers []internalapi.DiscoverAnswer // of c2 and c3
		want    bootstrapDecision
	}{
		{"no other member answers", nil, undecided},
		{"only one of the two answers, and is fresh", []internalapi.DiscoverAnswer{fresh}, undecided},
		{"both are fresh", []internalapi.DiscoverAnswer{fresh, fresh}, mayBootstrap},
		{"one has a commit", []internalapi.DiscoverAnswer{fresh, {Commit: 2}}, fleetExists},
		{"the only one has commits", []internalapi.DiscoverAnswer{{Commit: 900}}, fleetExists},
		{"one has voted, perhaps for this node", []internalapi.DiscoverAnswer{fresh, {Commit: 1}}, undecided},
		{"one lists this process as a bootstrap member", []internalapi.DiscoverAnswer{listing("boot")}, mayBootstrap},
		{"one lists an earlier incarnation", []internalapi.DiscoverAnswer{listing("earlier")}, fleetExists},
	} {
		Convey("When "+c.when+", a node with an empty folder decides as expected", t, func() {
			answers := map[string]internalapi.DiscoverAnswer{}
			isListed := false
			for i, a := range c.answers {
				a.Digest = "d"
				answers[fmt.Sprint("c", i+2)] = a
				isListed = isListed || a.BootstrapIncarnations != nil
			}
			previous := map[string]string{"c2": "p", "c3": "p"}
			decision, incarnations := decideBootstrap("c1", "boot", "d", 3, answers, previous)
			So(decision, ShouldEqual, c.want)
			So(decision == mayBootstrap && !isListed, ShouldEqual, incarnations != nil)
		})
	}
}

func TestDecideBootstrap_needsTwoRounds(t *testing.T) {
	answers := map[string]internalapi.DiscoverAnswer{"c2": {Fresh: true, Digest: "d", Incarnation: "p"}}
	Convey("Members whose settings differ never bootstrap", t, func() {
		decision, _ := decideBootstrap("c1", "boot", "other", 3, answers, nil)
		So(decision, ShouldEqual, settingsDiffer)
	})
	Convey("All members must be fresh in two rounds in a row, with the same incarnations", t, func() {
		decision, incarnations := decideBootstrap("c1", "boot", "d", 2, answers, nil) // the first such round
		So(decision, ShouldEqual, undecided)
		decision, _ = decideBootstrap("c1", "boot", "d", 2, answers, map[string]string{"c2": "an earlier process"})
		So(decision, ShouldEqual, undecided)
		decision, _ = decideBootstrap("c1", "boot", "d", 2, answers, incarnations)
		So(decision, ShouldEqual, mayBootstrap)
	})
}

// TestOpenBootstrap_formsFleet checks that the seeds of an open fleet bootstrap it under their own names as IDs, and
// that all other nodes join it. The seeds start together and must not wait for each other forever.
func TestOpenBootstrap_formsFleet(t *testing.T) {
	withOpenFleet(t, 5, func(fleet *testFleet) {
		took := fleet.elapsed(func() {
			fleet.startAll()
			fleet.waitVoters("c1", "c2", "c3", "c4", "c5")
		})
		Printf("\nfive voters after %s", took)
		So(took, ShouldBeLessThan, 4*time.Second)
		for _, n := range []string{"c1", "c2", "c3"} {
			So(fleet.nodes[n].Status().Raft.ID, ShouldEqual, n) // bootstrapped, not joined
		}
		So(fleet.submitJobs("a", 100), ShouldBeEmpty)
		fleet.waitInSync()

		joined := fleet.elapsed(func() {
			fleet.startFresh("c6")
			fleet.waitVoters("c1", "c2", "c3", "c4", "c5", "c6")
		})
		Printf("\na new node is a voter after %s", joined)
		So(joined, ShouldBeLessThan, time.Second)
		fleet.waitInSync()

		leader, addresses := fleet.nodes["c6"].Members()
		So(leader, ShouldEqual, fleet.leader().settings.Addr)
		So(addresses, ShouldHaveLength, 6)
	})
}

// TestOpenBootstrap_waitsForAllSeeds checks that no fleet is bootstrapped while a seed does not answer: that seed may
// belong to a fleet that exists.
func TestOpenBootstrap_waitsForAllSeeds(t *testing.T) {
	withOpenFleet(t, 5, func(fleet *testFleet) {
		for _, n := range []string{"c1", "c2", "c4", "c5"} { // c3 starts later
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

// TestOpenBootstrap_neverWhenDisallowed checks that nodes with Settings.Bootstrap false never bootstrap a fleet, as a
// node that lost its folder would form a second one beside its own.
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
	// One seed has lost its folder: the others must not bootstrap without it.
	withOpenFleet(t, 3, func(fleet *testFleet) {
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

func TestDecideOpenBootstrap_onlyWithSameSeeds(t *testing.T) {
	s := &Store{incarnation: "boot"}
	s.settings.Name, s.settings.Addr = "c1", "c1"
	s.settings.Members = []config.Member{{ID: "c1", Addr: "c1"}, {ID: "c2", Addr: "c2"}, {ID: "c3", Addr: "c3"}}
	fresh := internalapi.DiscoverAnswer{Fresh: true, Incarnation: "p", Digest: s.digest()}
	otherSeeds := internalapi.DiscoverAnswer{Fresh: true, Incarnation: "p", Digest: "other"}
	committed := internalapi.DiscoverAnswer{Commit: 9}
	listing := func(digest string) internalapi.DiscoverAnswer {
		listed := map[string]string{"c1": "boot"}
		return internalapi.DiscoverAnswer{Commit: 9, Digest: digest, BootstrapIncarnations: listed}
	}
	mayNotBootstrap := internalapi.DiscoverAnswer{Digest: "other"} // its folder is empty
	hasVoted := internalapi.DiscoverAnswer{Commit: 1, Digest: s.digest()}
	for _, c := range []struct {
		when    string
		answers []internalapi.DiscoverAnswer // of the seeds c2 and c3, and of c4, which is not a seed
		want    bootstrapDecision
	}{
		{"all seeds are fresh", []internalapi.DiscoverAnswer{fresh, fresh}, mayBootstrap},
		{"the seeds differ", []internalapi.DiscoverAnswer{fresh, otherSeeds}, settingsDiffer},
		{"a seed has commits", []internalapi.DiscoverAnswer{fresh, committed}, fleetExists}, // whatever its seeds are
		{"a seed has commits and the seeds differ", []internalapi.DiscoverAnswer{otherSeeds, committed}, fleetExists},
		{"a node that is not a seed has commits", []internalapi.DiscoverAnswer{fresh, fresh, committed}, fleetExists},
		{"a seed may not bootstrap", []internalapi.DiscoverAnswer{fresh, mayNotBootstrap}, undecided},
		{"a seed has voted", []internalapi.DiscoverAnswer{fresh, hasVoted}, undecided},
		{"a seed lists this process", []internalapi.DiscoverAnswer{fresh, listing(s.digest())}, mayBootstrap},
		{"a seed with other seeds lists it", []internalapi.DiscoverAnswer{fresh, listing("other")}, fleetExists},
	} {
		Convey("When "+c.when+", a node of an open fleet with an empty folder decides as expected", t, func() {
			answers := map[string]internalapi.DiscoverAnswer{}
			for i, a := range c.answers {
				answers[fmt.Sprint("c", i+2)] = a
			}
			decision, _ := s.decideOpenBootstrap(answers, map[string]string{"c2": "p", "c3": "p"})
			So(decision, ShouldEqual, c.want)
		})
	}
	Convey("After the first round in which all seeds are fresh, the decision is still open", t, func() {
		answers := map[string]internalapi.DiscoverAnswer{"c2": fresh, "c3": fresh}
		decision, _ := s.decideOpenBootstrap(answers, nil)
		So(decision, ShouldEqual, undecided)
	})
}

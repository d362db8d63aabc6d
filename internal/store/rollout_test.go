package store

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/internalapi"
	"crosstide/internal/signature"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

// newOperators returns a new key for each operator name.
func newOperators(t *testing.T, names ...string) []signature.Key {
	t.Helper()
	keys := make([]signature.Key, len(names))
	for i, name := range names {
		var err error
		if keys[i], err = signature.New(name); err != nil {
			t.Fatal(err)
		}
	}
	return keys
}

// putBundle proposes a bundle as the successor of version base and signs it as ada and as ben, which activates it.
func (fleet *testFleet) putBundle(at *Store, keys []signature.Key, base uint64, text string) {
	propose := func(c command.Command) {
		var err error
		fleet.call(func(ctx context.Context) { _, err = at.ProposeOrForward(ctx, c) })
		So(err, ShouldBeNil)
	}
	id, digest := fmt.Sprint("o", base), signature.Digest([]byte(text))
	propose(&command.PutBundle{Order: id, Base: base, By: "ada", Body: []byte(text),
		Sig: keys[0].Sign(signature.BundlePut(id, base, digest))})
	for i, by := range []string{"ada", "ben"} {
		propose(&command.SignBundle{Order: id + by, Version: base + 1, Digest: digest, By: by,
			Sig: keys[i].Sign(signature.Bundle(base+1, digest))})
	}
}

// bundles returns, for each of c1, c2 and c3, its bundle version followed by its text of the given version.
func (fleet *testFleet) bundles(version uint64) (bundles []string) {
	for _, name := range []string{"c1", "c2", "c3"} {
		fleet.nodes[name].View(func(s *state.State) {
			bundles = append(bundles, fmt.Sprint(s.Bundle.Version, string(s.Revision(version).Body)))
		})
	}
	return bundles
}

// areAllAtBundle reports whether all members are running and have the bundle at the given version.
func (fleet *testFleet) areAllAtBundle(version uint64) bool {
	nodes := 0
	for _, s := range fleet.nodes {
		s.View(func(st *state.State) {
			if st.Bundle.Version == version {
				nodes++
			}
		})
	}
	return nodes == len(fleet.settings.Members)
}

// followOnce calls Follow at a node as data-plane node d1, which reports its bundle version in the call.
func (fleet *testFleet) followOnce(name string, version uint64) {
	call := internalapi.FollowCall{Node: "d1", Vector: map[string]uint64{}, Bundle: version}
	fleet.call(func(ctx context.Context) { _, _ = fleet.nodes[name].Follow(ctx, call) })
}

// TestRollout_reportsBundleVersions checks that each member stores a bundle byte for byte, over snapshots and a power
// loss of all members, and reports the newest known version of every node, although each follower calls one member at a
// time.
func TestRollout_reportsBundleVersions(t *testing.T) {
	keys := newOperators(t, "ada", "ben")
	withFleet(t, 30, func(fleet *testFleet) {
		lead := fleet.leader()
		fleet.until("the operators' keys", func() bool {
			installed := 0
			lead.View(func(s *state.State) { installed = len(s.Operators) })
			return installed == 2
		})
		text := ""
		for base := uint64(1); base < 40; base++ { // enough commands for several snapshots
			text = fmt.Sprintf("{\"queues\": {\"q%d\":{}} }\t\n", base)
			fleet.putBundle(lead, keys, base, text)
		}

		// Every node has the bundle byte for byte, also after all of them lost power at once.
		allAt40 := func() bool { return fleet.areAllAtBundle(40) }
		fleet.until("all at 40", allAt40)
		wanted := fmt.Sprint(40, text)
		So(fleet.bundles(40), ShouldResemble, []string{wanted, wanted, wanted})
		for _, m := range fleet.settings.Members {
			fleet.kill(m.ID)
		}
		for _, m := range fleet.settings.Members {
			fleet.start(m.ID)
		}
		fleet.until("all at 40 again", allAt40)
		So(fleet.bundles(40), ShouldResemble, []string{wanted, wanted, wanted})

		// Every member reports the bundle versions of all followers, as of each follower's newest call.
		fleet.followOnce("c1", 39)
		fleet.followOnce("c2", 40)
		var nodes []internalapi.NodeBundle
		var silent []string
		fleet.kill("c2")
		fleet.call(func(ctx context.Context) { nodes, silent = fleet.nodes["c3"].Rollout(ctx) })
		versions := map[string]uint64{}
		for _, n := range nodes {
			versions[n.Kind+" "+n.Node] = n.Version
		}
		So(versions, ShouldResemble, map[string]uint64{"cplane c1": 40, "cplane c3": 40, "dplane d1": 39})
		So(silent, ShouldResemble, []string{"c2"})
		fleet.start("c2")
		fleet.until("c2 again", allAt40)
		fleet.clock.Advance(time.Second) // so that the next call has a later time and counts as the newest
		fleet.followOnce("c2", 40)
		fleet.call(func(ctx context.Context) { nodes, silent = fleet.nodes["c1"].Rollout(ctx) })
		So([]any{nodes[3].Node, nodes[3].Version, len(silent)}, ShouldResemble, []any{"d1", uint64(40), 0})
	}, keys...)
}

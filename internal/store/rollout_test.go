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

func TestRollout_reportsBundleVersions(t *testing.T) {
	keys := make([]signature.Key, 2)
	for i, name := range []string{"ada", "ben"} {
		var err error
		if keys[i], err = signature.New(name); err != nil {
			t.Fatal(err)
		}
	}
	withFleet(t, 30, func(fleet *testFleet) {
		lead := fleet.leader()
		fleet.until("the operators' keys", func() bool {
			n := 0
			lead.View(func(s *state.State) { n = len(s.Operators) })
			return n == 2
		})
		order := func(c command.Command) {
			var err error
			fleet.call(func(ctx context.Context) { _, err = lead.ProposeOrForward(ctx, c) })
			So(err, ShouldBeNil)
		}
		text := ""
		for v := uint64(1); v < 40; v++ { // over several snapshots
			text = fmt.Sprintf("{\"queues\": {\"q%d\":{}} }\t\n", v)
			id, digest := fmt.Sprint("o", v), signature.Digest([]byte(text))
			order(&command.PutBundle{Order: id, Base: v, By: "ada", Body: []byte(text), Sig: keys[0].Sign(signature.Put(id, v, digest))})
			for i, by := range []string{"ada", "ben"} {
				order(&command.SignBundle{Order: id + by, Version: v + 1, Digest: digest, By: by, Sig: keys[i].Sign(signature.Bundle(v+1, digest))})
			}
		}

		// Every node has it, and so have they after the loss of power at all of them: byte for byte.
		shown := func() []string {
			var out []string
			for _, name := range []string{"c1", "c2", "c3"} {
				fleet.nodes[name].View(func(s *state.State) { out = append(out, fmt.Sprint(s.Bundle.Version, string(s.Revision(40).Body))) })
			}
			return out
		}
		level := func() bool {
			n := 0
			for _, s := range fleet.nodes {
				s.View(func(st *state.State) {
					if st.Bundle.Version == 40 {
						n++
					}
				})
			}
			return n == len(fleet.settings.Members)
		}
		fleet.until("all at 40", level)
		wanted := fmt.Sprint(40, text)
		So(shown(), ShouldResemble, []string{wanted, wanted, wanted})
		for _, m := range fleet.settings.Members {
			fleet.kill(m.ID)
		}
		for _, m := range fleet.settings.Members {
			fleet.start(m.ID)
		}
		fleet.until("all at 40 again", level)
		So(shown(), ShouldResemble, []string{wanted, wanted, wanted})

		// What followers say of their bundle is known at every member, the newest word first.
		for i, name := range []string{"c1", "c2"} {
			fleet.call(func(ctx context.Context) {
				_, _ = fleet.nodes[name].Follow(ctx, internalapi.FollowCall{Node: "d1", Vector: map[string]uint64{}, Bundle: uint64(39 + i)})
			})
		}
		var nodes []internalapi.NodeBundle
		var silent []string
		fleet.kill("c2")
		fleet.call(func(ctx context.Context) { nodes, silent = fleet.nodes["c3"].Rollout(ctx) })
		got := map[string]uint64{}
		for _, n := range nodes {
			got[n.Kind+" "+n.Node] = n.Version
		}
		So(got, ShouldResemble, map[string]uint64{"cplane c1": 40, "cplane c3": 40, "dplane d1": 39})
		So(silent, ShouldResemble, []string{"c2"})
		fleet.start("c2")
		fleet.until("c2 again", level)
		fleet.clock.Advance(time.Second) // a newer word is one at a later time
		fleet.call(func(ctx context.Context) {
			_, _ = fleet.nodes["c2"].Follow(ctx, internalapi.FollowCall{Node: "d1", Vector: map[string]uint64{}, Bundle: 40})
		})
		fleet.call(func(ctx context.Context) { nodes, silent = fleet.nodes["c1"].Rollout(ctx) })
		So([]any{nodes[3].Node, nodes[3].Version, len(silent)}, ShouldResemble, []any{"d1", uint64(40), 0})
	}, keys...)
}

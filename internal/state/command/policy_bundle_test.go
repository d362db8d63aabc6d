package command

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/bundle"
	"crosstide/internal/errs"
	"crosstide/internal/signature"
	"crosstide/internal/state"
)

func TestBundle_intoForce(t *testing.T) {
	Convey("A draft is in force after two operators have signed it, and keeps its exact bytes", t, func() {
		fixture := newOperatorsFixture()
		notified := 0
		fixture.st.OnEvent = func(event state.Event) {
			if event.Kind == state.EventPlacementChanged {
				notified++
			}
		}
		text := fmt.Sprintf(zonedBundle, "z1")
		first, err := fixture.do(fixture.put("o1", "ada", 1, text))
		So(err, ShouldBeNil)
		_, err = fixture.do(fixture.sign("o2", "ben", 2))
		So(err, ShouldBeNil)
		So([]any{fixture.st.Bundle.Version, fixture.st.Head().Phase, notified}, ShouldResemble,
			[]any{uint64(1), state.RevisionSigned, 0})
		_, err = fixture.do(fixture.sign("o3", "ada", 2))
		So(err, ShouldBeNil)
		So([]any{fixture.st.Bundle.Version, fixture.st.Head().Phase, fixture.st.Revision(1).Phase, notified},
			ShouldResemble, []any{uint64(2), state.RevisionInForce, state.RevisionReplaced, 1})
		So(fixture.st.Bundle.Queues["default"].Zones, ShouldResemble, []string{"z1"})

		data, err := fixture.st.Encode()
		So(err, ShouldBeNil)
		back, err := state.Decode(data)
		So(err, ShouldBeNil)
		So(string(back.Head().Body), ShouldEqual, text)
		So(back.Bundle, ShouldResemble, fixture.st.Bundle)
		again, err := back.Encode()
		So(err, ShouldBeNil)
		So(string(again), ShouldEqual, string(data))

		// The same order, repeated on the decoded state, gets the first answer.
		fixture.st = back
		same, err := fixture.do(fixture.put("o1", "ada", 1, text))
		So(err, ShouldBeNil)
		So(fmt.Sprintf("%s", same), ShouldEqual, fmt.Sprintf("%s", first))
		_, err = fixture.do(fixture.put("o1", "ada", 2, text))
		So(errs.KindOf(err), ShouldEqual, errs.Conflict)
		So(len(fixture.st.Revisions), ShouldEqual, 2)
	})
}

func TestBundle_badSignatures(t *testing.T) {
	Convey("An order without the required signature is rejected and changes nothing", t, func() {
		fixture := newOperatorsFixture()
		_, err := fixture.do(fixture.put("o1", "ada", 1, fmt.Sprintf(zonedBundle, "z1")))
		So(err, ShouldBeNil)
		_, err = fixture.do(fixture.sign("o2", "ada", 2))
		So(err, ShouldBeNil)
		before, err := fixture.st.Encode()
		So(err, ShouldBeNil)
		index := fixture.st.Index
		wrongSigner, wrongDigest := fixture.sign("o9", "ben", 2), fixture.sign("o9", "ben", 2)
		wrongSigner.Sig = fixture.keys["ada"].Sign(signature.Bundle(2, wrongSigner.Digest))
		wrongDigest.Digest = bundle.Digest([]byte("x"))
		wrongDigest.Sig = fixture.keys["ben"].Sign(signature.Bundle(2, wrongDigest.Digest))
		wrongBody := fixture.put("o9", "ben", 2, fmt.Sprintf(zonedBundle, "z2"))
		wrongBody.Body = []byte(fmt.Sprintf(zonedBundle, "z3"))
		emptyZonesPatch := fixture.patch("o9", "ben", 2, `{"queues":{"default":{"placement":{"zones":[]}}}}`)
		operators := map[string]string{"eve": fixture.keys["eve"].Public(), "ada": fixture.keys["ada"].Public()}
		for i, test := range []struct {
			order Command
			kind  errs.Kind
		}{
			{fixture.sign("o9", "ada", 2), errs.Forbidden}, // ada has already signed it
			{fixture.sign("o9", "eve", 2), errs.Forbidden},
			{wrongSigner, errs.Forbidden},
			{wrongDigest, errs.Invalid},
			{wrongBody, errs.Forbidden},
			{fixture.put("o9", "eve", 2, fmt.Sprintf(zonedBundle, "z2")), errs.Forbidden},
			{fixture.put("o9", "ben", 2, `{"queues":{"q":{"zone":1}}}`), errs.Invalid},
			{emptyZonesPatch, errs.Invalid}, // a valid patch, but its result is not a valid bundle
			{fixture.put("o9", "ben", 3, fmt.Sprintf(zonedBundle, "z2")), errs.Conflict},
			{fixture.sign("o9", "ben", 3), errs.Unknown},
			{fixture.sign("o9", "ben", 1), errs.Conflict},
			{&SetOperators{Operators: operators}, errs.Conflict},
		} {
			_, err := fixture.do(test.order)
			So(fmt.Sprint(i, errs.KindOf(err)), ShouldEqual, fmt.Sprint(i, test.kind))
		}
		fixture.st.Index = index
		fixture.st.At = time.Unix(int64(index-1), 0).UTC()
		after, err := fixture.st.Encode()
		So(err, ShouldBeNil)
		So(string(after), ShouldEqual, string(before))
	})
}

func TestBundle_patch(t *testing.T) {
	Convey("A patch changes the newest version and must be signed like a bundle", t, func() {
		fixture := newOperatorsFixture()
		fixture.putInForce(fmt.Sprintf(zonedBundle, "z1"))
		_, err := fixture.do(fixture.patch("o1", "ben", 2, `{"queues":{"scan":{"urgent":true}},"limits":{"scan":4}}`))
		So(err, ShouldBeNil)
		So(fixture.st.Bundle.Version, ShouldEqual, 2)
		for _, by := range []string{"ben", "ada"} {
			_, err = fixture.do(fixture.sign("s"+by, by, 3))
			So(err, ShouldBeNil)
		}
		So(fixture.st.Bundle.Queues["default"].Zones, ShouldResemble, []string{"z1"})
		So([]any{
			fixture.st.Bundle.Version, fixture.st.Bundle.Queues["scan"].Urgent, fixture.st.Bundle.Limits["scan"],
		}, ShouldResemble, []any{uint64(3), true, 4})
	})
}

func TestBundle_races(t *testing.T) {
	Convey("Of drafts against one base, in any order, the first is accepted and the others conflict", t, func() {
		for _, sequence := range [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
			fixture := newOperatorsFixture()
			orders := []Command{
				fixture.put("oa", "ada", 1, fmt.Sprintf(zonedBundle, "z1")),
				fixture.put("ob", "ben", 1, fmt.Sprintf(zonedBundle, "z1")),
				fixture.patch("oc", "ben", 1, `{"limits":{"scan":1}}`),
			}
			var accepted []int
			for round := range 2 { // each order is sent twice
				for _, i := range sequence {
					_, err := fixture.do(orders[i])
					if err == nil {
						accepted = append(accepted, i)
						continue
					}
					So(errs.KindOf(err), ShouldEqual, errs.Conflict)
					So(err.Error(), ShouldContainSubstring, "conflicting change")
				}
				So(accepted, ShouldResemble, slices.Repeat([]int{sequence[0]}, round+1))
			}
			So(fixture.st.Head().Version, ShouldEqual, 2)
		}
	})
}

func TestBundle_draftReplaced(t *testing.T) {
	Convey("A draft that was replaced by a newer one cannot be signed", t, func() {
		for _, signed := range []bool{false, true} {
			fixture := newOperatorsFixture()
			_, err := fixture.do(fixture.put("o1", "ada", 1, fmt.Sprintf(zonedBundle, "z1")))
			So(err, ShouldBeNil)
			if signed {
				_, err = fixture.do(fixture.sign("o2", "ada", 2))
				So(err, ShouldBeNil)
			}
			_, err = fixture.do(fixture.put("o3", "ben", 2, fmt.Sprintf(zonedBundle, "z2")))
			So(err, ShouldBeNil)
			_, err = fixture.do(fixture.sign("o4", "ben", 2))
			So(errs.KindOf(err), ShouldEqual, errs.Conflict)
			So([]any{fixture.st.Bundle.Version, fixture.st.Revision(2).Phase}, ShouldResemble,
				[]any{uint64(1), state.RevisionReplaced})
		}
	})
}

func TestBundle_bounds(t *testing.T) {
	Convey("Old bodies are dropped, except those of the version in force and of the newest version", t, func() {
		fixture := newOperatorsFixture()
		for i := range state.MaxEnforcedBodies + 6 {
			fixture.putInForce(fmt.Sprintf(zonedBundle, fmt.Sprintf("z%d", i)))
		}
		inForce := fixture.st.Bundle.Version
		for i := range state.MaxDraftBodies + 6 {
			_, err := fixture.do(fixture.put(
				fmt.Sprintf("d%d", i), "ben", fixture.st.Head().Version, fmt.Sprintf(zonedBundle, "d"),
			))
			So(err, ShouldBeNil)
		}
		bodies := 0
		for _, r := range fixture.st.Revisions {
			if r.Body != nil {
				bodies++
			}
		}
		So(bodies, ShouldEqual, state.MaxEnforcedBodies+state.MaxDraftBodies+2)
		So(fixture.st.Revision(2).Body, ShouldBeNil)
		So(fixture.st.Revision(inForce).Body, ShouldNotBeNil)
		So(fixture.st.Head().Body, ShouldNotBeNil)
	})
}

func TestBundle_operators(t *testing.T) {
	Convey("The operators of a bundle replace the previous ones when it is put in force", t, func() {
		fixture := newOperatorsFixture()
		fixture.putInForce(fmt.Sprintf(
			`{"queues":{"default":{}},"operators":[{"name":"eve","key":%q},{"name":"ada","key":%q}]}`,
			fixture.keys["eve"].Public(), fixture.keys["ada"].Public()))
		_, err := fixture.do(fixture.put("n1", "ben", 2, fmt.Sprintf(zonedBundle, "z1")))
		So(errs.KindOf(err), ShouldEqual, errs.Forbidden)
		_, err = fixture.do(fixture.put("n1", "eve", 2, fmt.Sprintf(zonedBundle, "z1")))
		So(err, ShouldBeNil)
	})
}

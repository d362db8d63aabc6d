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
		o := newOperatorsFixture()
		notified := 0
		o.st.OnEvent = func(event state.Event) {
			if event.Kind == state.EventPlacementChanged {
				notified++
			}
		}
		text := fmt.Sprintf(zonedBundle, "z1")
		first, err := o.do(o.put("o1", "ada", 1, text))
		So(err, ShouldBeNil)
		_, err = o.do(o.sign("o2", "ben", 2))
		So(err, ShouldBeNil)
		So([]any{o.st.Bundle.Version, o.st.Head().Phase, notified}, ShouldResemble,
			[]any{uint64(1), state.RevisionSigned, 0})
		_, err = o.do(o.sign("o3", "ada", 2))
		So(err, ShouldBeNil)
		So([]any{o.st.Bundle.Version, o.st.Head().Phase, o.st.Revision(1).Phase, notified}, ShouldResemble,
			[]any{uint64(2), state.RevisionInForce, state.RevisionReplaced, 1})
		So(o.st.Bundle.Queues["default"].Zones, ShouldResemble, []string{"z1"})

		data, err := o.st.Encode()
		So(err, ShouldBeNil)
		back, err := state.Decode(data)
		So(err, ShouldBeNil)
		So(string(back.Head().Body), ShouldEqual, text)
		So(back.Bundle, ShouldResemble, o.st.Bundle)
		again, err := back.Encode()
		So(err, ShouldBeNil)
		So(string(again), ShouldEqual, string(data))

		// The same order, repeated on the decoded state, gets the first answer.
		o.st = back
		same, err := o.do(o.put("o1", "ada", 1, text))
		So(err, ShouldBeNil)
		So(fmt.Sprintf("%s", same), ShouldEqual, fmt.Sprintf("%s", first))
		_, err = o.do(o.put("o1", "ada", 2, text))
		So(errs.KindOf(err), ShouldEqual, errs.Conflict)
		So(len(o.st.Revisions), ShouldEqual, 2)
	})
}

func TestBundle_badSignatures(t *testing.T) {
	Convey("An order without the required signature is rejected and changes nothing", t, func() {
		o := newOperatorsFixture()
		_, err := o.do(o.put("o1", "ada", 1, fmt.Sprintf(zonedBundle, "z1")))
		So(err, ShouldBeNil)
		_, err = o.do(o.sign("o2", "ada", 2))
		So(err, ShouldBeNil)
		before, err := o.st.Encode()
		So(err, ShouldBeNil)
		index := o.st.Index
		wrongSigner, wrongDigest := o.sign("o9", "ben", 2), o.sign("o9", "ben", 2)
		wrongSigner.Sig = o.keys["ada"].Sign(signature.Bundle(2, wrongSigner.Digest))
		wrongDigest.Digest = bundle.Digest([]byte("x"))
		wrongDigest.Sig = o.keys["ben"].Sign(signature.Bundle(2, wrongDigest.Digest))
		wrongBody := o.put("o9", "ben", 2, fmt.Sprintf(zonedBundle, "z2"))
		wrongBody.Body = []byte(fmt.Sprintf(zonedBundle, "z3"))
		emptyZonesPatch := o.patch("o9", "ben", 2, `{"queues":{"default":{"placement":{"zones":[]}}}}`)
		operators := map[string]string{"eve": o.keys["eve"].Public(), "ada": o.keys["ada"].Public()}
		for i, test := range []struct {
			order Command
			kind  errs.Kind
		}{
			{o.sign("o9", "ada", 2), errs.Forbidden}, // ada has already signed it
			{o.sign("o9", "eve", 2), errs.Forbidden},
			{wrongSigner, errs.Forbidden},
			{wrongDigest, errs.Invalid},
			{wrongBody, errs.Forbidden},
			{o.put("o9", "eve", 2, fmt.Sprintf(zonedBundle, "z2")), errs.Forbidden},
			{o.put("o9", "ben", 2, `{"queues":{"q":{"zone":1}}}`), errs.Invalid},
			{emptyZonesPatch, errs.Invalid}, // a valid patch, but its result is not a valid bundle
			{o.put("o9", "ben", 3, fmt.Sprintf(zonedBundle, "z2")), errs.Conflict},
			{o.sign("o9", "ben", 3), errs.Unknown},
			{o.sign("o9", "ben", 1), errs.Conflict},
			{&SetOperators{Operators: operators}, errs.Conflict},
		} {
			_, err := o.do(test.order)
			So(fmt.Sprint(i, errs.KindOf(err)), ShouldEqual, fmt.Sprint(i, test.kind))
		}
		o.st.Index = index
		o.st.At = time.Unix(int64(index-1), 0).UTC()
		after, err := o.st.Encode()
		So(err, ShouldBeNil)
		So(string(after), ShouldEqual, string(before))
	})
}

func TestBundle_patch(t *testing.T) {
	Convey("A patch changes the newest version and must be signed like a bundle", t, func() {
		o := newOperatorsFixture()
		o.putInForce(fmt.Sprintf(zonedBundle, "z1"))
		_, err := o.do(o.patch("o1", "ben", 2, `{"queues":{"scan":{"urgent":true}},"limits":{"scan":4}}`))
		So(err, ShouldBeNil)
		So(o.st.Bundle.Version, ShouldEqual, 2)
		for _, by := range []string{"ben", "ada"} {
			_, err = o.do(o.sign("s"+by, by, 3))
			So(err, ShouldBeNil)
		}
		So(o.st.Bundle.Queues["default"].Zones, ShouldResemble, []string{"z1"})
		So([]any{o.st.Bundle.Version, o.st.Bundle.Queues["scan"].Urgent, o.st.Bundle.Limits["scan"]}, ShouldResemble,
			[]any{uint64(3), true, 4})
	})
}

func TestBundle_races(t *testing.T) {
	Convey("Of drafts against one base, in any order, the first is accepted and the others conflict", t, func() {
		for _, sequence := range [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
			o := newOperatorsFixture()
			orders := []Command{
				o.put("oa", "ada", 1, fmt.Sprintf(zonedBundle, "z1")),
				o.put("ob", "ben", 1, fmt.Sprintf(zonedBundle, "z1")),
				o.patch("oc", "ben", 1, `{"limits":{"scan":1}}`),
			}
			var accepted []int
			for round := range 2 { // each order is sent twice
				for _, i := range sequence {
					_, err := o.do(orders[i])
					if err == nil {
						accepted = append(accepted, i)
						continue
					}
					So(errs.KindOf(err), ShouldEqual, errs.Conflict)
					So(err.Error(), ShouldContainSubstring, "someone else was first")
				}
				So(accepted, ShouldResemble, slices.Repeat([]int{sequence[0]}, round+1))
			}
			So(o.st.Head().Version, ShouldEqual, 2)
		}
	})
}

func TestBundle_draftReplaced(t *testing.T) {
	Convey("A draft that was replaced by a newer one cannot be signed", t, func() {
		for _, signed := range []bool{false, true} {
			o := newOperatorsFixture()
			_, err := o.do(o.put("o1", "ada", 1, fmt.Sprintf(zonedBundle, "z1")))
			So(err, ShouldBeNil)
			if signed {
				_, err = o.do(o.sign("o2", "ada", 2))
				So(err, ShouldBeNil)
			}
			_, err = o.do(o.put("o3", "ben", 2, fmt.Sprintf(zonedBundle, "z2")))
			So(err, ShouldBeNil)
			_, err = o.do(o.sign("o4", "ben", 2))
			So(errs.KindOf(err), ShouldEqual, errs.Conflict)
			So([]any{o.st.Bundle.Version, o.st.Revision(2).Phase}, ShouldResemble,
				[]any{uint64(1), state.RevisionReplaced})
		}
	})
}

func TestBundle_bounds(t *testing.T) {
	Convey("Old bodies are dropped, except those of the version in force and of the newest version", t, func() {
		o := newOperatorsFixture()
		for i := range state.KeepBodies + 6 {
			o.putInForce(fmt.Sprintf(zonedBundle, fmt.Sprintf("z%d", i)))
		}
		inForce := o.st.Bundle.Version
		for i := range state.KeepDrafts + 6 {
			_, err := o.do(o.put(fmt.Sprintf("d%d", i), "ben", o.st.Head().Version, fmt.Sprintf(zonedBundle, "d")))
			So(err, ShouldBeNil)
		}
		bodies := 0
		for _, r := range o.st.Revisions {
			if r.Body != nil {
				bodies++
			}
		}
		So(bodies, ShouldEqual, state.KeepBodies+state.KeepDrafts+2)
		So(o.st.Revision(2).Body, ShouldBeNil)
		So(o.st.Revision(inForce).Body, ShouldNotBeNil)
		So(o.st.Head().Body, ShouldNotBeNil)
	})
}

func TestBundle_operators(t *testing.T) {
	Convey("The operators of a bundle replace the previous ones when it is put in force", t, func() {
		o := newOperatorsFixture()
		o.putInForce(fmt.Sprintf(
			`{"queues":{"default":{}},"operators":[{"name":"eve","key":%q},{"name":"ada","key":%q}]}`,
			o.keys["eve"].Public(), o.keys["ada"].Public()))
		_, err := o.do(o.put("n1", "ben", 2, fmt.Sprintf(zonedBundle, "z1")))
		So(errs.KindOf(err), ShouldEqual, errs.Forbidden)
		_, err = o.do(o.put("n1", "eve", 2, fmt.Sprintf(zonedBundle, "z1")))
		So(err, ShouldBeNil)
	})
}

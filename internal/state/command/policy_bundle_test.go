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

// operatorsFixture is a store of one with two operators, and a third who is none.
type operatorsFixture struct {
	st   *state.State
	keys map[string]signature.Key
}

func newOperatorsFixture() *operatorsFixture {
	o := &operatorsFixture{st: state.New(), keys: map[string]signature.Key{}}
	public := map[string]string{}
	for _, name := range []string{"ada", "ben", "eve"} {
		key, err := signature.New(name)
		So(err, ShouldBeNil)
		if o.keys[name] = key; name != "eve" {
			public[name] = key.Public()
		}
	}
	_, err := o.do(&SetOperators{Operators: public})
	So(err, ShouldBeNil)
	return o
}

func (o *operatorsFixture) do(c Command) (any, error) {
	data, err := Encode(time.Unix(int64(o.st.Index), 0).UTC(), c)
	So(err, ShouldBeNil)
	return Apply(o.st, o.st.Index+1, 1, data)
}

func (o *operatorsFixture) put(order, by string, base uint64, body string) *PutBundle {
	return &PutBundle{Order: order, Base: base, By: by, Body: []byte(body), Sig: o.keys[by].Sign(signature.Put(order, base, bundle.Digest([]byte(body))))}
}

func (o *operatorsFixture) patch(order, by string, base uint64, patch string) *PatchBundle {
	return &PatchBundle{Order: order, Base: base, By: by, Patch: []byte(patch), Sig: o.keys[by].Sign(signature.Patch(order, base, bundle.Digest([]byte(patch))))}
}

func (o *operatorsFixture) sign(order, by string, version uint64) *SignBundle {
	digest := ""
	if r := o.st.Revision(version); r != nil {
		digest = r.Digest
	}
	return &SignBundle{Order: order, Version: version, Digest: digest, By: by, Sig: o.keys[by].Sign(signature.Bundle(version, digest))}
}

func (o *operatorsFixture) zone(order, by, zone string, out bool) *EvacuateZone {
	text := signature.Evacuate(order, zone)
	if !out {
		text = signature.Lift(zone, o.st.Evacuated[zone])
	}
	return &EvacuateZone{Order: order, Zone: zone, Out: out, By: by, Sig: o.keys[by].Sign(text)}
}

// force puts a text in force and gives its version.
func (o *operatorsFixture) force(body string) uint64 {
	base := o.st.Head().Version
	for i, c := range []func() Command{
		func() Command { return o.put(fmt.Sprintf("p%d", base), "ada", base, body) },
		func() Command { return o.sign(fmt.Sprintf("a%d", base), "ada", base+1) },
		func() Command { return o.sign(fmt.Sprintf("b%d", base), "ben", base+1) },
	} {
		_, err := o.do(c())
		So(fmt.Sprint(i, err), ShouldEqual, fmt.Sprint(i, nil))
	}
	So(o.st.Bundle.Version, ShouldEqual, base+1)
	return base + 1
}

const zonedBundle = ` {"queues": {"default":{"placement":{"zones":["%s"]}}} }` + "\n\n"

func kinds(err error) errs.Kind { return errs.KindOf(err) }

func TestRevisions(t *testing.T) {
	Convey("A version goes from draft over one signature into force, and its exact bytes stay", t, func() {
		o := newOperatorsFixture()
		notified := 0
		o.st.OnEvent = func(n state.Event) {
			if n.Kind == state.EventPlacementChanged {
				notified++
			}
		}
		text := fmt.Sprintf(zonedBundle, "z1")
		first, err := o.do(o.put("o1", "ada", 1, text))
		So(err, ShouldBeNil)
		_, err = o.do(o.sign("o2", "ben", 2))
		So(err, ShouldBeNil)
		So([]any{o.st.Bundle.Version, o.st.Head().Phase, notified}, ShouldResemble, []any{uint64(1), state.RevisionSigned, 0})
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

		// The same order again, after all that, and on the state that came from disk: the first answer.
		o.st = back
		same, err := o.do(o.put("o1", "ada", 1, text))
		So(err, ShouldBeNil)
		So(fmt.Sprintf("%s", same), ShouldEqual, fmt.Sprintf("%s", first))
		_, err = o.do(o.put("o1", "ada", 2, text))
		So(kinds(err), ShouldEqual, errs.Conflict)
		So(len(o.st.Revisions), ShouldEqual, 2)
	})

	Convey("What is not signed as it should be is refused, and changes nothing", t, func() {
		o := newOperatorsFixture()
		_, err := o.do(o.put("o1", "ada", 1, fmt.Sprintf(zonedBundle, "z1")))
		So(err, ShouldBeNil)
		_, err = o.do(o.sign("o2", "ada", 2))
		So(err, ShouldBeNil)
		before, err := o.st.Encode()
		So(err, ShouldBeNil)
		index := o.st.Index
		other, wrong := o.sign("o9", "ben", 2), o.sign("o9", "ben", 2)
		other.Sig = o.keys["ada"].Sign(signature.Bundle(2, other.Digest))
		wrong.Digest = bundle.Digest([]byte("x"))
		wrong.Sig = o.keys["ben"].Sign(signature.Bundle(2, wrong.Digest))
		stolen := o.put("o9", "ben", 2, fmt.Sprintf(zonedBundle, "z2"))
		stolen.Body = []byte(fmt.Sprintf(zonedBundle, "z3"))
		for i, c := range []struct {
			order Command
			kind  errs.Kind
		}{
			{o.sign("o9", "ada", 2), errs.Forbidden}, // twice the same operator
			{o.sign("o9", "eve", 2), errs.Forbidden},
			{other, errs.Forbidden},
			{wrong, errs.Invalid},
			{stolen, errs.Forbidden},
			{o.put("o9", "eve", 2, fmt.Sprintf(zonedBundle, "z2")), errs.Forbidden},
			{o.put("o9", "ben", 2, `{"queues":{"q":{"zone":1}}}`), errs.Invalid},
			{o.patch("o9", "ben", 2, `{"queues":{"default":{"placement":{"zones":[]}}}}`), errs.Invalid}, // fine alone, wrong as a whole
			{o.put("o9", "ben", 3, fmt.Sprintf(zonedBundle, "z2")), errs.Conflict},
			{o.sign("o9", "ben", 3), errs.Unknown},
			{o.sign("o9", "ben", 1), errs.Conflict},
			{&SetOperators{Operators: map[string]string{"eve": o.keys["eve"].Public(), "ada": o.keys["ada"].Public()}}, errs.Conflict},
		} {
			_, err := o.do(c.order)
			So(fmt.Sprint(i, kinds(err)), ShouldEqual, fmt.Sprint(i, c.kind))
		}
		o.st.Index = index
		o.st.At = time.Unix(int64(index-1), 0).UTC()
		after, err := o.st.Encode()
		So(err, ShouldBeNil)
		So(string(after), ShouldEqual, string(before))
	})

	Convey("A patch changes the newest version, and is signed like a bundle", t, func() {
		o := newOperatorsFixture()
		o.force(fmt.Sprintf(zonedBundle, "z1"))
		_, err := o.do(o.patch("o1", "ben", 2, `{"queues":{"scan":{"urgent":true}},"limits":{"scan":4}}`))
		So(err, ShouldBeNil)
		So(o.st.Bundle.Version, ShouldEqual, 2)
		for _, by := range []string{"ben", "ada"} {
			_, err = o.do(o.sign("s"+by, by, 3))
			So(err, ShouldBeNil)
		}
		So(o.st.Bundle.Queues["default"].Zones, ShouldResemble, []string{"z1"})
		So([]any{o.st.Bundle.Version, o.st.Bundle.Queues["scan"].Urgent, o.st.Bundle.Limits["scan"]}, ShouldResemble, []any{uint64(3), true, 4})
	})

	Convey("Of orders that race on one version, in every order, one gets a yes and the others a clear conflict", t, func() {
		for _, turn := range [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
			o := newOperatorsFixture()
			orders := []Command{o.put("oa", "ada", 1, fmt.Sprintf(zonedBundle, "z1")), o.put("ob", "ben", 1, fmt.Sprintf(zonedBundle, "z1")),
				o.patch("oc", "ben", 1, `{"limits":{"scan":1}}`)}
			var yes []int
			for round := range 2 { // each is sent twice
				for _, i := range turn {
					_, err := o.do(orders[i])
					switch {
					case err == nil:
						yes = append(yes, i)
					default:
						So(kinds(err), ShouldEqual, errs.Conflict)
						So(err.Error(), ShouldContainSubstring, "someone else was first")
					}
				}
				So(yes, ShouldResemble, slices.Repeat([]int{turn[0]}, round+1))
			}
			So(o.st.Head().Version, ShouldEqual, 2)
		}
	})

	Convey("A draft written over by a newer one cannot be signed any more", t, func() {
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
			So(kinds(err), ShouldEqual, errs.Conflict)
			So([]any{o.st.Bundle.Version, o.st.Revision(2).Phase}, ShouldResemble, []any{uint64(1), state.RevisionReplaced})
		}
	})

	Convey("The history is bounded, but never by the version in force or the newest", t, func() {
		o := newOperatorsFixture()
		for i := range state.KeepBodies + 6 {
			o.force(fmt.Sprintf(zonedBundle, fmt.Sprintf("z%d", i)))
		}
		force := o.st.Bundle.Version
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
		So([]any{o.st.Revision(2).Body == nil, o.st.Revision(force).Body == nil, o.st.Head().Body == nil}, ShouldResemble, []any{true, false, false})
	})

	Convey("A bundle in force may name other operators, and those sign from then on", t, func() {
		o := newOperatorsFixture()
		o.force(fmt.Sprintf(`{"queues":{"default":{}},"operators":[{"name":"eve","key":%q},{"name":"ada","key":%q}]}`,
			o.keys["eve"].Public(), o.keys["ada"].Public()))
		_, err := o.do(o.put("n1", "ben", 2, fmt.Sprintf(zonedBundle, "z1")))
		So(kinds(err), ShouldEqual, errs.Forbidden)
		_, err = o.do(o.put("n1", "eve", 2, fmt.Sprintf(zonedBundle, "z1")))
		So(err, ShouldBeNil)
	})
}

func TestZones(t *testing.T) {
	Convey("One operator evacuates, two lift; without operators anyone does", t, func() {
		o := newOperatorsFixture()
		unsigned := &EvacuateZone{Order: "o0", Zone: "z1", Out: true}
		_, err := o.do(unsigned)
		So(kinds(err), ShouldEqual, errs.Forbidden)
		_, err = o.do(o.zone("o1", "ada", "z1", true))
		So(err, ShouldBeNil)
		old := o.zone("o6", "ben", "z1", false)
		for _, c := range []struct {
			order Command
			kind  errs.Kind
			out   bool
		}{{o.zone("o2", "ada", "z1", false), "", true}, {o.zone("o3", "ada", "z1", false), errs.Forbidden, true},
			{o.zone("o2", "ada", "z1", false), "", true}, {o.zone("o4", "eve", "z1", false), errs.Forbidden, true},
			{o.zone("o5", "ben", "z1", false), "", false}, {o.zone("o7", "ben", "z1", false), errs.Unknown, false},
			{o.zone("o8", "ben", "z1", true), "", true}, {old, errs.Forbidden, true}} { // old was for the first evacuation
			_, err := o.do(c.order)
			So(kinds(err), ShouldEqual, c.kind)
			_, out := o.st.Evacuated["z1"]
			So(out, ShouldEqual, c.out)
		}
		free := &operatorsFixture{st: state.New()}
		for _, c := range []Command{unsigned, &EvacuateZone{Order: "o1", Zone: "z1"}} {
			_, err := free.do(c)
			So(err, ShouldBeNil)
		}
		So(free.st.Evacuated, ShouldBeEmpty)
	})
}

func TestPlacementPolicies(t *testing.T) {
	Convey("What a bundle says is what Fits, holds, retries and the job's view go by", t, func() {
		o := newOperatorsFixture()
		o.force(`{"queues":{"default":{"placement":{"near":[{"label":"data","value":"s","within":"rack"}]},"hold":"9s","retries":1}},"retries":7}`)
		for _, m := range []state.Worker{{Name: "m1", Zone: "z1", Rack: "r1"}, {Name: "m2", Zone: "z1", Rack: "r1", Labels: map[string]string{"data": "s"}},
			{Name: "m3", Zone: "z2", Rack: "r1"}} {
			_, err := o.do(&Announce{Worker: m})
			So(err, ShouldBeNil)
			o.st.Workers[m.Name].Incarnation = "b"
		}
		spec := &state.Spec{Queue: "default", Steps: []state.StepSpec{{Type: "t"}}}
		fits := func(name string) string { return o.st.PlacementRefusal(spec, &spec.Steps[0], o.st.Workers[name]) }
		So([]string{fits("m1"), fits("m2"), fits("m3")}, ShouldResemble, []string{"", "", "near"})
		b := &o.st.Bundle
		So([]any{b.LeaseTTLFor("default", 20*time.Second), b.LeaseTTLFor("x", 20*time.Second), b.RetriesFor("default", 5), b.RetriesFor("x", 9)},
			ShouldResemble, []any{9 * time.Second, 20 * time.Second, 1, 7})
		_, err := o.do(&CloseWorker{Order: "c1", Worker: "m2", Retire: true})
		So(err, ShouldBeNil)
		So(fits("m1"), ShouldEqual, "near")
		So(o.st.WaitReason(spec), ShouldEqual, "")
		v := o.force(`{"queues":{"other":{}}}`)
		So([]string{fits("m1"), o.st.WaitReason(spec)}, ShouldResemble, []string{"queue", fmt.Sprintf("no queue default in bundle %d", v)})
	})
}

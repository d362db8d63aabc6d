package command

import (
	"fmt"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/bundle"
	"crosstide/internal/signature"
	"crosstide/internal/state"
)

// operatorsFixture is a state with the operators ada and ben, and the keys of both and of eve, who is not an operator.
type operatorsFixture struct {
	st   *state.State
	keys map[string]signature.Key
}

func newOperatorsFixture() *operatorsFixture {
	fixture := &operatorsFixture{st: state.New(), keys: map[string]signature.Key{}}
	public := map[string]string{}
	for _, name := range []string{"ada", "ben", "eve"} {
		key, err := signature.New(name)
		So(err, ShouldBeNil)
		if fixture.keys[name] = key; name != "eve" {
			public[name] = key.Public()
		}
	}
	_, err := fixture.do(&SetOperators{Operators: public})
	So(err, ShouldBeNil)
	return fixture
}

func (o *operatorsFixture) do(c Command) (any, error) {
	data, err := Encode(time.Unix(int64(o.st.Index), 0).UTC(), c)
	So(err, ShouldBeNil)
	return Apply(o.st, o.st.Index+1, 1, data)
}

func (o *operatorsFixture) put(order, by string, base uint64, body string) *PutBundle {
	text := signature.BundlePut(order, base, bundle.Digest([]byte(body)))
	return &PutBundle{Order: order, Base: base, By: by, Body: []byte(body), Sig: o.keys[by].Sign(text)}
}

func (o *operatorsFixture) patch(order, by string, base uint64, patch string) *PatchBundle {
	text := signature.BundlePatch(order, base, bundle.Digest([]byte(patch)))
	return &PatchBundle{Order: order, Base: base, By: by, Patch: []byte(patch), Sig: o.keys[by].Sign(text)}
}

func (o *operatorsFixture) sign(order, by string, version uint64) *SignBundle {
	digest := ""
	if r := o.st.Revision(version); r != nil {
		digest = r.Digest
	}
	text := signature.Bundle(version, digest)
	return &SignBundle{Order: order, Version: version, Digest: digest, By: by, Sig: o.keys[by].Sign(text)}
}

func (o *operatorsFixture) zone(order, by, zone string, isStart bool) *EvacuateZone {
	text := signature.Evacuate(order, zone)
	if !isStart {
		text = signature.Lift(zone, o.st.Evacuated[zone])
	}
	return &EvacuateZone{Order: order, Zone: zone, Start: isStart, By: by, Sig: o.keys[by].Sign(text)}
}

// putInForce writes a version with the text body, has both operators sign it, and returns its number.
func (o *operatorsFixture) putInForce(body string) uint64 {
	base := o.st.Head().Version
	for i, order := range []func() Command{
		func() Command { return o.put(fmt.Sprintf("p%d", base), "ada", base, body) },
		func() Command { return o.sign(fmt.Sprintf("a%d", base), "ada", base+1) },
		func() Command { return o.sign(fmt.Sprintf("b%d", base), "ben", base+1) },
	} {
		_, err := o.do(order())
		So(fmt.Sprint(i, err), ShouldEqual, fmt.Sprint(i, nil))
	}
	So(o.st.Bundle.Version, ShouldEqual, base+1)
	return base + 1
}

// zonedBundle is the format of a bundle that allows one zone. A stored version must keep its unusual spacing.
const zonedBundle = ` {"queues": {"default":{"placement":{"zones":["%s"]}}} }` + "\n\n"

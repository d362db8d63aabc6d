package bundle

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
	"crosstide/internal/state"
)

// fullBundle has every field except operators and parties.
const fullBundle = `{"queues":{"scan":{"types":["scan","route"],"teams":["parcel"],"labels":{"disk":"ssd"},
"urgent":true,"hold":"10s","retries":2,"placement":{"minions":["m2","m1"],"zones":["z1"],"racks":["r1"],
"near":[{"label":"data","value":"scans","within":"rack"}]}}},
"limits":{"scan":40},"weights":{"parcel":3},"retries":5,"backoff":{"min":"1s","max":"1m"},"hold":"30s"}`

func TestParse(t *testing.T) {
	Convey("Every field is parsed, and a new state has the parsed state.InitialBundle", t, func() {
		b, err := Parse([]byte(fullBundle))
		So(err, ShouldBeNil)
		two, five := 2, 5
		So(b, ShouldResemble, state.Bundle{
			Queues: map[string]state.Queue{"scan": {
				Types: []string{"route", "scan"}, Teams: []string{"parcel"}, Labels: map[string]string{"disk": "ssd"},
				Workers: []string{"m1", "m2"}, Zones: []string{"z1"}, Racks: []string{"r1"}, Urgent: true,
				Near:     []state.Near{{Label: "data", Value: "scans", Scope: "rack"}},
				LeaseTTL: 10 * time.Second, Retries: &two,
			}},
			Limits: map[string]int{"scan": 40}, Weights: map[string]int{"parcel": 3}, Retries: &five,
			LeaseTTL: 30 * time.Second, Backoff: state.Backoff{Min: time.Second, Max: time.Minute},
		})
		initial, err := Parse([]byte(state.InitialBundle))
		So(err, ShouldBeNil)
		initial.Version = 1
		So(state.New().Bundle, ShouldResemble, initial)
		So(state.New().Head().Digest, ShouldEqual, Digest([]byte(state.InitialBundle)))
	})
	Convey("All validation errors are reported at once, with their paths", t, func() {
		_, err := Parse([]byte(`{"queues":{"a b":{},"q":{"zones":["z1"],"types":[],"hold":"1ms","placement":{
			"racks":["r 1",7],"near":[{"label":"x","within":"room"}]}}},"limits":{"scan":-1},"weights":{"t":0},
			"backoff":{"min":"2s","max":"1s"},"operators":[{"name":"o","key":"QQ=="}],"limit":{}}`))
		So(errs.KindOf(err), ShouldEqual, errs.Invalid)
		lines := strings.Split(errs.Of(err).Message, "\n")
		So(lines[0], ShouldEqual, "14 mistakes in the bundle:")
		for i, want := range []string{
			"queues.a b: must be a name",
			"queues.q.types: must not be empty",
			"queues.q.hold: must be from 5s",
			"queues.q.placement.racks[0]: must be a name",
			"queues.q.placement.racks[1]: must be a string, is 7",
			"queues.q.placement.near[0].value: must be given",
			"queues.q.placement.near[0].within: must be one of rack, zone",
			"queues.q.zones: is not a known field",
			"limits.scan: must be from 0",
			"weights.t: must be from 1",
			"backoff.max: must not be less than min",
			"operators[0].key: must be the base64 of 32 bytes",
		} {
			So(lines[i+1], ShouldStartWith, want)
		}
		So(errs.Of(err).Message, ShouldEndWith, "limit: is not a known field")
	})
	Convey("A field under its former name is refused with its current name", t, func() {
		_, err := Parse([]byte(`{"queues":{"q":{"charter":{"zones":["z1"]}}}}`))
		So(errs.KindOf(err), ShouldEqual, errs.Invalid)
		So(errs.Of(err).Message, ShouldEndWith, "queues.q.charter: is now named placement")
	})
	Convey("An invalid or too large text is refused", t, func() {
		for _, text := range []string{
			``, `[]`, `{}`, `{"queues":{}}`, `{"queues":{"q":{},"q":{}}}`,
			"{\"queues\":{\"q\":{\"teams\":[\"\xff\"]}}}", `{"queues":{"q":{}},"operators":[]}`,
		} {
			_, err := Parse([]byte(text))
			So(text+string(errs.KindOf(err)), ShouldEqual, text+string(errs.Invalid))
		}
		_, err := Parse(make([]byte, MaxBytes+1))
		So(errs.KindOf(err), ShouldEqual, errs.TooLarge)
	})
}

func TestMerge(t *testing.T) {
	Convey("A merge patch sets, replaces and removes fields, and Diff lists the changed paths", t, func() {
		patch := `{"queues":{"scan":{"placement":{"zones":["z2"],"racks":null},"teams":null},"new":{}},"limits":null}`
		next, err := Merge([]byte(fullBundle), []byte(patch))
		So(err, ShouldBeNil)
		b, err := Parse(next)
		So(err, ShouldBeNil)
		So([]any{b.Queues["scan"].Zones, b.Queues["scan"].Racks, b.Queues["scan"].Teams, len(b.Queues), b.Limits},
			ShouldResemble, []any{[]string{"z2"}, []string(nil), []string(nil), 2, map[string]int(nil)})
		changes, err := Diff([]byte(fullBundle), next)
		So(err, ShouldBeNil)
		So(changes, ShouldResemble, []Change{
			{"limits", `{"scan":40}`, ""},
			{"queues.new", "", "{}"},
			{"queues.scan.placement.racks", `["r1"]`, ""},
			{"queues.scan.placement.zones", `["z1"]`, `["z2"]`},
			{"queues.scan.teams", `["parcel"]`, ""},
		})
	})
	Convey("A patch that is not a JSON object, or has a duplicate name, is refused", t, func() {
		for _, patch := range []string{`{`, `[]`, `{"limits":{"a":1,"a":2}}`} {
			_, err := Merge([]byte(fullBundle), []byte(patch))
			So(errs.KindOf(err), ShouldEqual, errs.Invalid)
		}
	})
}

func TestParse_parties(t *testing.T) {
	Convey("The bundle maps each team and queue to at most one party", t, func() {
		b, err := Parse([]byte(`{"queues":{"q":{},"r":{}},"parties":{
			"acme":{"teams":["a"],"queues":["q"],"price":{"core":10,"gpu":500},"reserve":"30s"},
			"blue":{"teams":["b"],"price":{"core":1},"warn":"1h"}}}`))
		So(err, ShouldBeNil)
		for _, test := range []struct{ queue, team, party string }{
			{"q", "b", "acme"}, {"r", "b", "blue"}, {"r", "a", "acme"}, {"r", "c", ""},
		} {
			So(b.PartyOf(test.queue, test.team), ShouldEqual, test.party)
		}
		So(b.Parties["acme"].Window(), ShouldEqual, 30*time.Second)
		So(b.Parties["blue"].Window(), ShouldEqual, state.DefaultReserve)
		So(b.Parties["blue"].WarnBefore(), ShouldEqual, time.Hour)
		_, err = Parse([]byte(`{"queues":{"q":{}},"parties":{"acme":{"teams":["a"],"queues":["z"],"price":{"core":-1}},
			"blue":{"teams":["a"],"price":{}},"cold":{"teams":[],"price":{"core":1},"reserve":"1ms"}}}`))
		So(errs.KindOf(err), ShouldEqual, errs.Invalid)
		for _, want := range []string{
			"5 mistakes", `unknown queue "z"`, "price.core",
			`parties.blue.teams: "a" is already paid for by "acme"`, "cold.teams", "cold.reserve",
		} {
			So(err.Error(), ShouldContainSubstring, want)
		}
	})
}

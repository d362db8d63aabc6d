package clientapi

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
	"crosstide/internal/state"
)

const head = `{"key":"k","team":"depot","steps":`

// step returns the JSON of a job with one step; more is appended to the fields of the step.
func step(more string) string { return head + `[{"name":"a","type":"scan"` + more + `}]}` }

func TestParse(t *testing.T) {
	Convey("A job with only the required fields has the defaults", t, func() {
		spec, _, err := Parse([]byte(step("")))
		So(err, ShouldBeNil)
		So(spec, ShouldResemble, state.Spec{Key: "k", Team: "depot", Queue: "default",
			Steps: []state.StepSpec{{Name: "a", Type: "scan", Tasks: 1, Cores: 1, Retries: 3}}})
	})
	Convey("An invalid body is an error that names the first invalid field", t, func() {
		many := func(n int, item string) string { return strings.TrimSuffix(strings.Repeat(item+",", n), ",") }
		for _, c := range []struct {
			body  string
			kind  errs.Kind
			field string
			text  string // part of the message
		}{
			{``, errs.Malformed, "", "JSON"},
			{"{\n \"key\": nope}", errs.Malformed, "", "line 2, column 10"},
			{"{\"key\":\"\xff\"}", errs.Malformed, "", "UTF-8"},
			{step(`,"tasks":NaN`), errs.Malformed, "", "line 1"},
			{step(`,"run":` + strings.Repeat("[", 400) + strings.Repeat("]", 400)), errs.Malformed, "", "depth"},
			{`[]`, errs.Malformed, "", "must be an object"},
			{`{}`, errs.Invalid, "key", "steps: is missing"},
			{`{"key":"a b","team":"t","steps":[{"name":"a","type":"s"}]}`, errs.Invalid, "key", "must be 1 to 128"},
			{`{"key":7,"team":"t","steps":[{"name":"a","type":"s"}]}`, errs.Malformed, "key", "must be a string"},
			{strings.Replace(step(""), `"key":"k"`, `"key":"k","ke\u0079":"l"`, 1), errs.Invalid, "key", "twice"},
			{strings.Replace(step(""), `"key"`, `"colour":1,"key"`, 1), errs.Invalid, "colour", "is not a known field"},
			{head + `[]}`, errs.Invalid, "steps", "1 to 100"},
			{head + `[` + many(101, `{}`) + `]}`, errs.Invalid, "steps", "has 101"},
			{head + `[1]}`, errs.Malformed, "steps[0]", "must be an object"},
			{head + `[{"name":"a"}]}`, errs.Invalid, "steps[0].type", "missing"},
			{step(`,"tasks":0`), errs.Invalid, "steps[0].tasks", "must be 1 to 10000, is 0"},
			{step(`,"tasks":10001`), errs.Invalid, "steps[0].tasks", "10001"},
			{step(`,"tasks":1.5`), errs.Malformed, "steps[0].tasks", "whole number"},
			{step(`,"tasks":99999999999999999999`), errs.Malformed, "steps[0].tasks", "whole number"},
			{step(`,"cores":-1`), errs.Invalid, "steps[0].cores", "is -1"},
			{step(`,"gpus":1025`), errs.Invalid, "steps[0].gpus", "0 to 1024"},
			{step(`,"retries":101`), errs.Invalid, "steps[0].retries", "0 to 100"},
			{step(`,"retries":"3"`), errs.Malformed, "steps[0].retries", "is string"},
			{step(`,"gang":true,"tasks":65`), errs.Invalid, "steps[0].gang", "at most 64"},
			{step(`,"standing":1`), errs.Malformed, "steps[0].standing", "true or false"},
			{step(`,"labels":{"gpu":true}`), errs.Malformed, "steps[0].labels.gpu", "must be a string"},
			{step(`,"labels":{"a":"b","a":"c"}`), errs.Invalid, "steps[0].labels.a", "twice"},
			{step(`,"run":{"a":[{"b":1,"b":2}]}`), errs.Invalid, "steps[0].run.a[0].b", "twice"},
			{step(`,"run":"` + strings.Repeat("x", MaxRunBytes) + `"`), errs.Invalid, "steps[0].run", "65536"},
			{step(`,"after":["b"]`), errs.Invalid, "steps[0].after[0]", `no step is named "b"`},
			{step(`,"after":["a"]`), errs.Invalid, "steps[0].after[0]", "a after a"},
			{head + `[{"name":"z","type":"s","after":["a"]},{"name":"a","type":"s","after":["b"]},
				{"name":"b","type":"s","after":["a"]}]}`,
				errs.Invalid, "steps[2].after[0]", "a after b after a"},
			{head + `[{"name":"a","type":"s"},{"name":"a","type":"s"}]}`,
				errs.Invalid, "steps[1].name", "already the name of steps[0]"},
			{head + `[{"name":"a","type":"s","tasks":10000},{"name":"b","type":"s","tasks":10000},{"name":"c","type":"s"}]}`,
				errs.Invalid, "steps", "20001"},
			{head + `[` + many(30, `{"name":"","type":"s"}`) + `]}`, errs.Invalid, "steps[0].name", "and 10 more"},
		} {
			_, _, err := Parse([]byte(c.body))
			f := errs.Of(err)
			So(f, ShouldNotBeNil)
			So([]string{string(f.Kind), f.Field}, ShouldResemble, []string{string(c.kind), c.field})
			So(f.Message, ShouldContainSubstring, c.text)
		}
	})
	Convey("The digest differs between jobs, and does not depend on how a job's JSON is written", t, func() {
		digestOf := func(body string) string {
			_, digest, err := Parse([]byte(body))
			So(err, ShouldBeNil)
			return digest
		}
		digest := digestOf(step(`,"run":{"ms":100,"ok":true,"n":1.50},"labels":{"x":"1","y":"2"}`))
		So(len(digest), ShouldEqual, 64)
		So(digestOf(` {"steps":[{"run": {"ok":true,"n":1.50, "ms":100}, "labels":{"y":"2","x":"1"}, "tasks":1,
			"type":"scan","name":"\u0061"}],"queue":"default","team":"depot","key":"k"}`), ShouldEqual, digest)
		So(digestOf(step(`,"run":{"ms":101,"ok":true,"n":1.50},"labels":{"x":"1","y":"2"}`)), ShouldNotEqual, digest)
		So(digestOf(step(`,"retries":0`)), ShouldNotEqual, digestOf(step("")))
	})
}

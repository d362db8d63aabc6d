package jobsapi

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
	"crosstide/internal/jobs"
	"crosstide/internal/rpc"
)

func TestParsePut(t *testing.T) {
	Convey("A whole configuration is parsed, and omitted fields of a queue get their defaults", t, func() {
		change, err := parsePut([]byte(`{"base":3,"services":[{"name":"s","guards_room":true}],"queues":[
			{"name":"a","service":"s","priority":2,"attempts":5,"stretch":1.5,"target":"30s","timeout":"1h"},
			{"name":"b","service":"s","timeout":"1m"}]}`))
		So(err, ShouldBeNil)
		So([]any{change.Base, change.Version, change.Replace, len(change.Digest)}, ShouldResemble,
			[]any{uint64(3), uint64(4), true, 64})
		a, b := change.Queues[0], change.Queues[1]
		So(string(a.Document), ShouldEqual, `{"name":"a","service":"s","priority":2,"attempts":5,"stretch":1.5,`+
			`"target":"30s","timeout":"1h0m0s"}`)
		a.Document, b.Document = nil, nil
		So(a, ShouldResemble, jobs.Queue{Name: "a", Prefix: "/a/", Service: "s", Priority: 2, MaxAttempts: 5,
			LatencyFactor: 1.5, LatencyTarget: 30 * time.Second, Timeout: time.Hour})
		So(b, ShouldResemble, jobs.Queue{Name: "b", Prefix: "/b/", Service: "s", MaxAttempts: 1, LatencyFactor: 1,
			Timeout: time.Minute})
		So([]any{change.Services[0].Name, change.Services[0].ChecksCapacity}, ShouldResemble, []any{"s", true})
	})
	Convey("An invalid body is rejected with the name of its field", t, func() {
		queue := func(fields string) string {
			return `{"base":0,"services":[],"queues":[{"name":"a","service":"s","timeout":"1m"` + fields + `}]}`
		}
		checkCases(func(body []byte) error { _, err := parsePut(body); return errs.Pass(err, "put") }, []parseCase{
			{queue(""), "", ""},
			{`x`, errs.Malformed, ""},
			{`{"queues":[],"services":[]}`, errs.Invalid, "base"},
			{`{"base":-1,"queues":[],"services":[]}`, errs.Invalid, "base"},
			{`{"base":"1","queues":[],"services":[]}`, errs.Invalid, "base"},
			{`{"base":1,"services":[]}`, errs.Invalid, "queues"},
			{`{"base":1,"queues":[]}`, errs.Invalid, "services"},
			{`{"base":1,"queues":{},"services":[]}`, errs.Invalid, "queues"},
			{`{"base":1,"queues":[],"services":[],"version":2}`, errs.Invalid, "version"},
			{`{"base":1,"queues":[{}],"services":[]}`, errs.Invalid, "queues[0].name"},
			{queue(`,"priority":-1`), errs.Invalid, "queues[0].priority"},
			{queue(`,"attempts":0`), errs.Invalid, "queues[0].attempts"},
			{queue(`,"stretch":"2"`), errs.Invalid, "queues[0].stretch"},
			{queue(`,"stretch":-2`), errs.Invalid, "queues[0].stretch"},
			{queue(`,"target":5`), errs.Invalid, "queues[0].target"},
			{queue(`,"host":"h"`), errs.Invalid, "queues[0].host"},
			{`{"base":1,"queues":[{"name":"a","service":"s","timeout":"0s"}],"services":[]}`, errs.Invalid, "queues[0].timeout"},
			{`{"base":1,"queues":[{"name":"a b","service":"s","timeout":"1s"}],"services":[]}`, errs.Invalid, "queues[0].name"},
			{`{"base":1,"queues":[],"services":[{"name":"s"},{"name":"s"}]}`, errs.Invalid, "services[1].name"},
			{`{"base":1,"queues":[],"services":[{"name":"s","guards_room":1}]}`, errs.Invalid, "services[0].guards_room"},
			{`{"base":1,"queues":[],"services":[{}]}`, errs.Invalid, "services[0].name"},
		})
	})
}

func TestParsePatch(t *testing.T) {
	Convey("Items to put and names to remove are parsed", t, func() {
		change, err := parsePatch([]byte(`{"base":3,"put":{"services":[{"name":"s"}]},` +
			`"remove":{"queues":["a"],"services":["t"]}}`))
		So(err, ShouldBeNil)
		So([]any{change.Base, change.Version, change.Replace}, ShouldResemble, []any{uint64(3), uint64(4), false})
		So([]any{change.Services[0].Name, change.RemoveQueues, change.RemoveServices}, ShouldResemble,
			[]any{"s", []string{"a"}, []string{"t"}})
	})
	Convey("The digest differs between bodies, and between the same bytes split at different places", t, func() {
		change, _ := parsePatch([]byte(`{"base":3,"remove":{"queues":["a"]}}`))
		again, _ := parsePatch([]byte(`{"base":3,"remove":{"queues":["a"]}}`))
		other, _ := parsePatch([]byte(`{"base":3,"remove":{"queues":["b"]}}`))
		So(change.Digest, ShouldEqual, again.Digest)
		So(change.Digest, ShouldNotEqual, other.Digest)
		So(rpc.Digest([]byte("a"), []byte("b")), ShouldNotEqual, rpc.Digest([]byte("ab")))
	})
	Convey("An invalid body is rejected with the name of its field", t, func() {
		checkCases(func(body []byte) error { _, err := parsePatch(body); return errs.Pass(err, "patch") }, []parseCase{
			{`{"base":1,"remove":{"queues":["a"]}}`, "", ""},
			{`{"base":1}`, errs.Invalid, "put"},
			{`{"base":1,"put":{},"remove":{}}`, errs.Invalid, "put"},
			{`{"remove":{"queues":["a"]}}`, errs.Invalid, "base"},
			{`{"base":1,"remove":{"queues":"a"}}`, errs.Invalid, "remove.queues"},
			{`{"base":1,"remove":{"queues":[""]}}`, errs.Invalid, "remove.queues[0]"},
			{`{"base":1,"remove":{"zones":["a"]}}`, errs.Invalid, "remove.zones"},
			{`{"base":1,"put":{"queues":[{"name":"a"}]}}`, errs.Invalid, "put.queues[0].service"},
			{`{"base":1,"put":{"limits":{}}}`, errs.Invalid, "put.limits"},
			{`{"base":1,"queues":[]}`, errs.Invalid, "put"},
		})
	})
}

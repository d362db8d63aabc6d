package jobsapi

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
	"crosstide/internal/jobs"
)

// parseCase is a body, and the kind and field of the error for it. kind is empty if the body must be accepted.
type parseCase struct {
	body  string
	kind  errs.Kind
	field string
}

// checkCases checks that parse rejects the body of each case with the case's kind and field, or accepts it if the
// kind is empty.
func checkCases(parse func(body []byte) error, cases []parseCase) {
	for _, c := range cases {
		err := parse([]byte(c.body))
		field := ""
		if err != nil {
			field = errs.Of(err).Field
		}
		So([]any{c.body, errs.KindOf(err), field}, ShouldResemble, []any{c.body, c.kind, c.field})
	}
}

// job returns the JSON of a valid job with one step; fields is appended to its fields.
func job(fields string) string { return `{"id":"j","queue":"q","steps":[{}]` + fields + `}` }

// steps returns the JSON of a job with the given JSON as its field steps.
func steps(steps string) string { return `{"id":"j","queue":"q","steps":` + steps + `}` }

func TestParseJob(t *testing.T) {
	Convey("Every field of a job is parsed", t, func() {
		spec, digest, err := ParseJob([]byte(`{"id":"j-1","queue":"nightly","payload":"p",
			"times":{"first":"2026-12-02T08:00:00Z","every":"1h","rounds":3},
			"steps":[{"tasks":2,"milli_cpu":500,"memory_mb":64,"gpus":1,"estimate":"3s","label":"ssd","near":"r1",
				"most_per_worker":1,"checkpoints":true},
				{"tasks":4,"after":[0],"gang":true,"one_rack":true},{"after":[0,1],"speculative":true},{"lasting":true}]}`))
		So(err, ShouldBeNil)
		So(len(digest), ShouldEqual, 64)
		So(spec, ShouldResemble, jobs.Spec{ID: "j-1", Queue: "nightly", Payload: "p", Rounds: 3, Interval: time.Hour,
			FirstRun: time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC),
			Steps: []jobs.Step{
				{Count: 2, Needs: jobs.Resources{MilliCPU: 500, MemoryMB: 64, GPUs: 1}, Estimate: 3 * time.Second,
					Label: "ssd", PreferredRack: "r1", MaxPerWorker: 1, Checkpoints: true},
				{Count: 4, After: []int{0}, Gang: true, SameRack: true},
				{Count: 1, After: []int{0, 1}, Speculative: true},
				{Count: 1, LongRunning: true}}})
	})
	Convey("The digest depends on the job, not on how its JSON is written", t, func() {
		_, digest, _ := ParseJob([]byte(`{"id":"j","queue":"q","steps":[{}]}`))
		_, same, _ := ParseJob([]byte(` {"queue":"q", "steps":[{"tasks":1}],"id":"j" }`))
		_, other, _ := ParseJob([]byte(`{"id":"j","queue":"q","steps":[{"tasks":2}]}`))
		So(same, ShouldEqual, digest)
		So(other, ShouldNotEqual, digest)
	})
}

// jobCases are bodies of invalid jobs, and of some valid ones.
var jobCases = []parseCase{
	{job(""), "", ""},
	{"", errs.Malformed, ""},
	{"{", errs.Malformed, ""},
	{"\xff", errs.Malformed, ""},
	{strings.Repeat("[", 1<<20), errs.Malformed, ""},
	{`{"id":NaN}`, errs.Malformed, ""},
	{`[]`, errs.Invalid, ""},
	{job(`,"color":"red"`), errs.Invalid, "color"},
	{job(`,"id":"k"`), errs.Invalid, "id"},
	{`{"queue":"q","steps":[{}]}`, errs.Invalid, "id"},
	{`{"id":"j","steps":[{}]}`, errs.Invalid, "queue"},
	{`{"id":"j","queue":"q"}`, errs.Invalid, "steps"},
	{`{"id":7,"queue":"q","steps":[{}]}`, errs.Invalid, "id"},
	{`{"id":"a/b","queue":"q","steps":[{}]}`, errs.Invalid, "id"},
	{`{"id":"` + strings.Repeat("a", 129) + `","queue":"q","steps":[{}]}`, errs.Invalid, "id"},
	{`{"id":"j","queue":"","steps":[{}]}`, errs.Invalid, "queue"},
	{job(`,"payload":{}`), errs.Invalid, "payload"},
	{job(`,"payload":"` + strings.Repeat("a", maxPayload+1) + `"`), errs.Invalid, "payload"},
	{job(`,"times":{}`), errs.Invalid, "times.first"},
	{job(`,"times":{"first":"today"}`), errs.Invalid, "times.first"},
	{job(`,"times":{"first":"2026-12-02T08:00:00Z"}`), "", ""},
	{job(`,"times":{"first":"2026-12-02T08:00:00Z","rounds":2}`), errs.Invalid, "times.every"},
	{job(`,"times":{"first":"2026-12-02T08:00:00Z","rounds":0}`), errs.Invalid, "times.rounds"},
	{job(`,"times":{"first":"2026-12-02T08:00:00Z","every":"0s"}`), errs.Invalid, "times.every"},
	{job(`,"times":{"first":"2026-12-02T08:00:00Z","every":3600}`), errs.Invalid, "times.every"},
	{job(`,"times":{"first":"2026-12-02T08:00:00Z","until":1}`), errs.Invalid, "times.until"},
	{steps(`[]`), errs.Invalid, "steps"},
	{steps(`{}`), errs.Invalid, "steps"},
	{steps(`[7]`), errs.Invalid, "steps[0]"},
	{steps(`[{"tasks":0}]`), errs.Invalid, "steps[0].tasks"},
	{steps(`[{"tasks":1.5}]`), errs.Invalid, "steps[0].tasks"},
	{steps(`[{"tasks":60000},{"tasks":60000}]`), errs.Invalid, "steps"},
	{steps(`[{"milli_cpu":-1}]`), errs.Invalid, "steps[0].milli_cpu"},
	{steps(`[{"memory_mb":"64"}]`), errs.Invalid, "steps[0].memory_mb"},
	{steps(`[{"gpus":2000000000}]`), errs.Invalid, "steps[0].gpus"},
	{steps(`[{"estimate":"-1s"}]`), errs.Invalid, "steps[0].estimate"},
	{steps(`[{},{"after":[1]}]`), errs.Invalid, "steps[1].after[0]"},
	{steps(`[{},{"after":[-1]}]`), errs.Invalid, "steps[1].after[0]"},
	{steps(`[{},{"after":[0,0]}]`), errs.Invalid, "steps[1].after[1]"},
	{steps(`[{},{"after":0}]`), errs.Invalid, "steps[1].after"},
	{steps(`[{"lasting":true},{"after":[0]}]`), errs.Invalid, "steps[1].after[0]"},
	{steps(`[{"label":["ssd"]}]`), errs.Invalid, "steps[0].label"},
	{steps(`[{"near":"a rack"}]`), errs.Invalid, "steps[0].near"},
	{steps(`[{"most_per_worker":0}]`), errs.Invalid, "steps[0].most_per_worker"},
	{steps(`[{"checkpoints":1}]`), errs.Invalid, "steps[0].checkpoints"},
	{steps(`[{"one_rack":true}]`), errs.Invalid, "steps[0].one_rack"},
	{steps(`[{"speculative":true,"gang":true}]`), errs.Invalid, "steps[0].speculative"},
	{steps(`[{"speculative":true,"lasting":true}]`), errs.Invalid, "steps[0].speculative"},
	{steps(`[{"cores":1}]`), errs.Invalid, "steps[0].cores"},
}

func TestParseJob_refused(t *testing.T) {
	Convey("An invalid body is rejected with the name of its field", t, func() {
		checkCases(func(body []byte) error { _, _, err := ParseJob(body); return errs.Pass(err, "job") }, jobCases)
	})
	Convey("One error lists up to 20 validation errors and the number of others, with the first one's field", t, func() {
		_, _, err := ParseJob([]byte(`{"id":"j","steps":[{"gpus":-1}],"x":1}`))
		So(errs.Of(err).Field, ShouldEqual, "queue")
		So(errs.Of(err).Message, ShouldContainSubstring, "steps[0].gpus")
		So(errs.Of(err).Message, ShouldContainSubstring, "x: is not a known field")
		_, _, err = ParseJob([]byte(`{"x":1,"a":1,"b":1,"c":1,"d":1,"e":1,"f":1,"g":1,"h":1,"i":1,"j":1,` +
			`"k":1,"l":1,"m":1,"n":1,"o":1,"p":1,"q":1,"r":1,"s":1,"t":1}`))
		So(errs.Of(err).Message, ShouldEndWith, "more")
	})
}

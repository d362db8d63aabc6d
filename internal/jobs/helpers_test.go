package jobs

import (
	"encoding/json"
	"flag"
	"fmt"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
)

// init fixes the seed of the property tests, so that each run draws the same cases. -rapid.seed overrides it.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

const testTerm = 3

var noon = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

func testConfig() Configure {
	return Configure{
		Version: 5, Digest: "first",
		Queues: []Queue{
			{Name: "plain", Host: "a.example", Prefix: "/plain/", Service: "open",
				MaxAttempts: 2, Timeout: time.Second},
			{Name: "guarded", Host: "a.example", Prefix: "/guarded/", Service: "guard",
				MaxAttempts: 3, Timeout: time.Second},
		},
		Services: []Service{{Name: "open"}, {Name: "guard", ChecksCapacity: true}},
	}
}

// testWorker returns a worker with two cores; the zone of w1 is zone-1.
func testWorker(id, service string) Worker {
	return Worker{
		ID: id, Address: id + ":1", Service: service, Zone: "zone-" + id[1:2], Labels: []string{"ssd"},
		Capacity: Resources{MilliCPU: 2000, MemoryMB: 1000, GPUs: 1},
	}
}

// testTable returns a table under the newest schema with testConfig, workers w1 and w2 for queue plain, and worker g1 for
// queue guarded.
func testTable() *Table {
	t := testTableBeforeSchemas()
	must(t.UpgradeSchema(UpgradeSchema{Schema: NewestSchema}))
	return t
}

// testTableBeforeSchemas returns testTable as a release without schemas would have it.
func testTableBeforeSchemas() *Table {
	t := NewTable()
	must(t.Configure(testConfig()))
	t.Register(Register{Workers: []Worker{
		testWorker("w1", "open"), testWorker("w2", "open"), testWorker("g1", "guard"),
	}})
	return t
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// oneCore returns a step of count tasks that need one core each.
func oneCore(count int) Step { return Step{Count: count, Needs: Resources{MilliCPU: 1000}} }

func testJob(id string, steps ...Step) Submit {
	spec := Spec{ID: id, Queue: "plain", Payload: "text", Steps: steps}
	return Submit{Spec: spec, Digest: "digest of " + id, At: noon}
}

func (t *Table) mustSubmit(c Submit) *Job {
	_, err := t.Submit(c)
	must(err)
	return t.Jobs[c.Spec.ID]
}

func taskOf(job string, step, index int) TaskRef { return TaskRef{Job: job, Step: step, Index: index} }

func startOf(task TaskRef, number int, worker string) Start {
	return Start{Task: task, Number: number, Worker: worker}
}

func endOf(start Start, reason EndReason) End {
	return End{Key: RunKey{Task: start.Task, Number: start.Number}, Worker: start.Worker, Reason: reason}
}

// start records starts and returns which were recorded.
func (t *Table) start(starts ...Start) []bool {
	started, err := t.Progress(testTerm, Progress{Term: testTerm, At: noon, Starts: starts})
	must(err)
	return started.Recorded
}

func (t *Table) end(ends ...End) {
	_, err := t.Progress(testTerm, Progress{Term: testTerm, At: noon.Add(time.Minute), Ends: ends})
	must(err)
}

func (t *Table) bytes() string {
	data, err := t.Encode()
	must(err)
	return string(data)
}

func (t *Table) decodedCopy() *Table {
	decoded := NewTable()
	must(json.Unmarshal([]byte(t.bytes()), decoded))
	return decoded
}

func shouldBeKind(actual any, expected ...any) string {
	err, _ := actual.(error)
	if errs.Is(err, expected[0].(errs.Kind)) {
		return ""
	}
	return fmt.Sprintf("want an error of kind %v, got %v", expected[0], err)
}

func shouldNameField(actual any, expected ...any) string {
	err, _ := actual.(error)
	if err == nil {
		return "want an error with a field, got nil"
	}
	return ShouldEqual(errs.Of(err).Field, expected[0])
}

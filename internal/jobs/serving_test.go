package jobs

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
)

// servedBy is a change of the configuration after which an accepted job of queue "plain" belongs to a queue.
type servedBy struct {
	name     string
	orders   []Configure // Base and Version are set when the order is applied
	queue    string
	service  string
	byName   string // the queue of a job that was submitted by name, if it is another one
	isServed bool   // a queue of the configuration serves the location
}

// plainQueue returns queue "plain" of testConfig under another name.
func plainQueue(name string) Queue {
	queue := testConfig().Queues[0]
	queue.Name = name
	return queue
}

// atPrefix returns a queue of the service "guard" at a prefix.
func atPrefix(name, prefix string) Queue {
	queue := testConfig().Queues[1]
	queue.Name, queue.Prefix = name, prefix
	return queue
}

// renamed returns an update that replaces a queue by an equal one of another name.
func renamed(from, to string) Configure {
	return Configure{RemoveQueues: []string{from}, Queues: []Queue{plainQueue(to)}}
}

// configurationChanges returns the changes of the configuration that a job of queue "plain" must survive.
func configurationChanges() []servedBy {
	drop := Configure{RemoveQueues: []string{"plain"}}
	guarded := testConfig().Queues[1]
	exchangedPlain, exchangedGuarded := plainQueue("guarded"), guarded
	exchangedGuarded.Name = "plain"
	moved := plainQueue("plain")
	moved.Service = "guard"
	elsewhere := plainQueue("plain")
	elsewhere.Prefix = "/elsewhere/"
	all := testConfig().Services
	return []servedBy{
		{"unchanged", nil, "plain", "open", "", true},
		{"renamed", []Configure{renamed("plain", "new")}, "new", "open", "plain", true},
		{"renamed twice", []Configure{renamed("plain", "new"), renamed("new", "newest")}, "newest", "open", "plain", true},
		{"renamed and back", []Configure{renamed("plain", "new"), renamed("new", "plain")}, "plain", "open", "", true},
		{"renamed by a complete configuration", []Configure{
			{Replace: true, Services: all, Queues: []Queue{plainQueue("new"), guarded}}}, "new", "open", "plain", true},
		{"removed", []Configure{drop}, "plain", "open", "", false},
		{"removed by a complete configuration", []Configure{
			{Replace: true, Services: all, Queues: []Queue{guarded}}}, "plain", "open", "", false},
		{"removed and added under another name", []Configure{drop, {Queues: []Queue{plainQueue("new")}}},
			"new", "open", "plain", true},
		{"removed with its service", []Configure{
			{RemoveQueues: []string{"plain"}, RemoveServices: []string{"open"}}}, "plain", "open", "", false},
		{"directed to another service", []Configure{{Queues: []Queue{moved}}}, "plain", "guard", "", true},
		{"directed to another service and removed", []Configure{{Queues: []Queue{moved}}, drop}, "plain", "guard", "", false},
		{"exchanges its name with another queue", []Configure{{Queues: []Queue{exchangedGuarded, exchangedPlain}}},
			"guarded", "open", "plain", true},
		{"moved to another prefix", []Configure{{Queues: []Queue{elsewhere}}}, "plain", "open", "plain", false},
		{"taken over by a longer prefix", []Configure{{Queues: []Queue{atPrefix("longer", "/plain/j")}}},
			"longer", "guard", "plain", true},
		{"taken over by a shorter prefix", []Configure{
			{Queues: []Queue{atPrefix("shorter", "/pl")}, RemoveQueues: []string{"plain"}}}, "shorter", "guard", "plain", true},
	}
}

// apply applies the orders on top of the configuration in force.
func (c servedBy) apply(t *Table) {
	for i, order := range c.orders {
		order.Base, order.Version = t.Config.Version, t.Config.Version+2
		order.Digest = fmt.Sprint(c.name, i)
		must(t.Configure(order))
	}
}

// locatedJob returns a job submitted to the location that queue "plain" serves.
func locatedJob(id string, steps ...Step) Submit {
	job := testJob(id, steps...)
	job.Spec.Location = &Location{Host: "a.example", Path: "/plain/" + id}
	return job
}

// workerOf returns a worker of a service of testTable.
func workerOf(service string) string { return map[string]string{"open": "w1", "guard": "g1"}[service] }

// TestQueueOf guards against an accepted job that never runs on because its queue was renamed or removed, or because
// another queue took over its path: readers looked the queue up by the name that accepted the job.
func TestQueueOf(t *testing.T) {
	for _, change := range configurationChanges() {
		Convey("If the queue of a job is "+change.name, t, func() {
			table := testTable()
			table.mustSubmit(locatedJob("j", oneCore(1), Step{Count: 1, After: []int{0}}))
			Convey("a job that waits is started where the queue that serves its path directs it", func() {
				change.apply(table)
				for _, each := range []*Table{table.decodedCopy(), table} {
					job := each.Jobs["j"]
					So([]string{each.QueueName(job), each.QueueOf(job).Service}, ShouldResemble,
						[]string{change.queue, change.service})
					for _, worker := range []string{"w1", "g1"} {
						So(each.decodedCopy().start(startOf(taskOf("j", 0, 0), 1, worker)), ShouldResemble,
							[]bool{worker == workerOf(change.service)})
					}
				}
			})
			Convey("a job between two steps is started there, too, and succeeds", func() {
				first := startOf(taskOf("j", 0, 0), 1, "w1")
				So(table.start(first), ShouldResemble, []bool{true})
				change.apply(table)
				table.end(endOf(first, EndDone))
				second := startOf(taskOf("j", 1, 0), 1, workerOf(change.service))
				So(table.start(second), ShouldResemble, []bool{true})
				table.end(endOf(second, EndDone))
				So(table.Jobs["j"].State, ShouldEqual, Succeeded)
				So(table.Jobs["j"].LastQueue, ShouldBeNil)
			})
			Convey("its waiting jobs are counted for the queue that serves them", func() {
				change.apply(table)
				counted := 0
				for _, queue := range table.Config.Queues {
					counted += table.QueuedCount(queue.Name)
				}
				So([]any{counted == 1, table.QueuedCount(change.queue) == 1}, ShouldResemble,
					[]any{change.isServed, change.isServed})
				_, err := table.Cancel(Cancel{ID: "j", At: noon})
				So(err, ShouldBeNil)
				So(table.QueuedCount(change.queue), ShouldEqual, 0)
			})
			Convey("a job fails at its last attempt", func() {
				start := startOf(taskOf("j", 0, 0), 1, "w1")
				So(table.start(start), ShouldResemble, []bool{true})
				table.end(endOf(start, EndFailed))
				change.apply(table)
				attempts := table.QueueOf(table.Jobs["j"]).MaxAttempts
				for number := 2; number <= attempts; number++ {
					So(table.Jobs["j"].State, ShouldEqual, Running)
					start = startOf(taskOf("j", 0, 0), number, workerOf(change.service))
					So(table.start(start), ShouldResemble, []bool{true})
					table.end(endOf(start, EndFailed))
				}
				So(table.Jobs["j"].State, ShouldEqual, Failed)
			})
			Convey("new jobs are accepted there only if a queue serves the path", func() {
				change.apply(table)
				_, err := table.Submit(locatedJob("jnew", oneCore(1)))
				So(err == nil, ShouldEqual, change.isServed)
			})
			Convey("a job that was submitted by name belongs to the queue of that name", func() {
				table.mustSubmit(testJob("named", oneCore(1)))
				change.apply(table)
				job := table.Jobs["named"]
				want := change.queue
				if change.byName != "" {
					want = change.byName
				}
				So(table.QueueName(job), ShouldEqual, want)
				So(table.start(startOf(taskOf("named", 0, 0), 1, workerOf(table.QueueOf(job).Service))), ShouldResemble,
					[]bool{true})
			})
		})
	}
}

// TestQueueOf_longRunning guards against a long-running task that is never restarted after its queue was removed.
func TestQueueOf_longRunning(t *testing.T) {
	Convey("Long-running tasks and gangs of a removed queue are started again", t, func() {
		table := testTable()
		longRunning := oneCore(1)
		longRunning.LongRunning = true
		gang := oneCore(2)
		gang.Gang = true
		table.mustSubmit(locatedJob("long", longRunning))
		table.mustSubmit(locatedJob("gang", gang))
		first := startOf(taskOf("long", 0, 0), 1, "w1")
		So(table.start(first), ShouldResemble, []bool{true})
		must(table.Configure(Configure{Base: 5, Version: 6, RemoveQueues: []string{"plain"}}))
		table.end(endOf(first, EndFailed))
		members := []Start{startOf(taskOf("gang", 0, 0), 1, "w1"), startOf(taskOf("gang", 0, 1), 1, "w2")}
		So(table.start(members...), ShouldResemble, []bool{true, true})
		So(table.start(startOf(first.Task, 2, "w1")), ShouldResemble, []bool{true})
	})
}

// TestSchema guards against two releases that apply one entry differently while a fleet is upgraded.
func TestSchema(t *testing.T) {
	Convey("Before the schema is upgraded, locations are dropped and a job of a removed queue waits", t, func() {
		table := testTableBeforeSchemas()
		job := table.mustSubmit(locatedJob("j", oneCore(1)))
		So(job.Spec.Location, ShouldBeNil)
		must(table.Configure(Configure{Base: 5, Version: 6, RemoveQueues: []string{"plain"}}))
		So([]any{table.QueueOf(job), table.QueueName(job)}, ShouldResemble, []any{(*Queue)(nil), "plain"})
		So(table.start(startOf(taskOf("j", 0, 0), 1, "w1")), ShouldResemble, []bool{false})
		Convey("also after the upgrade, until its queue is added again", func() {
			must(table.UpgradeSchema(UpgradeSchema{Schema: NewestSchema}))
			So(table.start(startOf(taskOf("j", 0, 0), 1, "w1")), ShouldResemble, []bool{false})
			must(table.Configure(Configure{Base: 6, Version: 7, Queues: []Queue{plainQueue("plain")}}))
			So(table.start(startOf(taskOf("j", 0, 0), 1, "w1")), ShouldResemble, []bool{true})
		})
	})
	Convey("A job accepted before the upgrade is served after it, by name or else by its last queue", t, func() {
		table := testTableBeforeSchemas()
		job := table.mustSubmit(locatedJob("j", oneCore(1)))
		must(table.UpgradeSchema(UpgradeSchema{Schema: NewestSchema}))
		renaming := renamed("plain", "new")
		renaming.Base, renaming.Version = 5, 6
		must(table.Configure(renaming))
		So([]string{table.QueueName(job), table.QueueOf(job).Service}, ShouldResemble, []string{"plain", "open"})
		So(table.start(startOf(taskOf("j", 0, 0), 1, "w1")), ShouldResemble, []bool{true})
	})
	Convey("A schema is never lowered, and an unknown one is refused", t, func() {
		table := testTable()
		before := table.bytes()
		So(table.UpgradeSchema(UpgradeSchema{}), ShouldBeNil)
		So(table.UpgradeSchema(UpgradeSchema{Schema: NewestSchema + 1}), shouldBeKind, errs.Invalid)
		So(table.bytes(), ShouldEqual, before)
	})
	Convey("A repeated submission finds its job after the job's queue was renamed", t, func() {
		table := testTable()
		submit := locatedJob("j", oneCore(1))
		table.mustSubmit(submit)
		renaming := renamed("plain", "new")
		renaming.Base, renaming.Version = 5, 6
		must(table.Configure(renaming))
		submit.At = noon.Add(time.Second)
		state, err := table.Submit(submit)
		So([]any{state, err, len(table.Jobs)}, ShouldResemble, []any{Queued, nil, 1})
	})
}

package jobs

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
	"crosstide/internal/testbed/exhaustive"
)

func TestConfigure_invalid(t *testing.T) {
	Convey("A refused configuration returns an error with the invalid field and changes nothing", t, func() {
		table := testTable()
		before := table.bytes()
		withQueue := func(change func(*Queue)) Configure {
			queue := testConfig().Queues[0]
			change(&queue)
			return Configure{Base: 5, Version: 6, Digest: "second", Queues: []Queue{queue}}
		}
		sameName := testConfig()
		sameName.Base, sameName.Version, sameName.Digest, sameName.Replace = 5, 6, "second", true
		sameName.Queues[1].Name = "plain"
		for _, test := range []struct {
			order Configure
			kind  errs.Kind
			field string
		}{
			{Configure{Base: 4, Version: 6}, errs.Stale, "base"},
			{Configure{Base: 6, Version: 7}, errs.Stale, "base"},
			{Configure{Base: 4, Version: 4}, errs.Stale, "base"}, // Base is checked before Version
			{Configure{Base: 5, Version: 5}, errs.Invalid, "version"},
			{withQueue(func(q *Queue) { q.Service = "none" }), errs.Invalid, "queues[0].service"},
			{withQueue(func(q *Queue) { q.Timeout = 0 }), errs.Invalid, "queues[0].timeout"},
			{withQueue(func(q *Queue) { q.Name = "other" }), errs.Invalid, "queues[2].prefix"},
			{withQueue(func(q *Queue) { q.Name, q.Host = "other", "A.example" }), errs.Invalid, "queues[2].prefix"},
			{Configure{Base: 5, Version: 6, RemoveServices: []string{"guard"}}, errs.Invalid, "queues[1].service"},
			{Configure{Base: 5, Version: 6, Replace: true, Queues: testConfig().Queues}, errs.Invalid,
				"queues[0].service"},
			{sameName, errs.Invalid, "queues[1].name"},
		} {
			err := table.Configure(test.order)
			So(err, shouldBeKind, test.kind)
			So(err, shouldNameField, test.field)
			So(table.bytes(), ShouldEqual, before)
		}
	})
}

func TestConfigure_update(t *testing.T) {
	Convey("An update removes, then replaces in place or appends; with Replace it replaces everything", t, func() {
		table := testTable()
		changed := testConfig().Queues[0]
		changed.MaxAttempts = 9
		added := Queue{Name: "added", Host: "b.example", Prefix: "/", Service: "new", Timeout: time.Second}
		old := table.Config
		So(table.Configure(Configure{
			Base: 5, Version: 8, Digest: "second", Queues: []Queue{added, changed}, Services: []Service{{Name: "new"}},
			Limits:       []byte(`{"a":1}`),
			RemoveQueues: []string{"guarded", "none"}, RemoveServices: []string{"guard", "none"},
		}), ShouldBeNil)
		So(table.Config.Version, ShouldEqual, 8)
		So(table.Config.Queues, ShouldResemble, []Queue{changed, added})
		So(table.Config.Services, ShouldResemble, []Service{{Name: "open"}, {Name: "new"}})
		So(old.Queues, ShouldResemble, testConfig().Queues)
		So(table.Configure(Configure{Base: 8, Version: 9}), ShouldBeNil)
		So(string(table.Config.Limits), ShouldEqual, `{"a":1}`)
		So(table.Configure(Configure{
			Base: 9, Version: 12, Replace: true, Queues: []Queue{added}, Services: []Service{{Name: "new"}},
		}), ShouldBeNil)
		So(table.Config, ShouldResemble,
			Config{Version: 12, Queues: []Queue{added}, Services: []Service{{Name: "new"}}})
		Convey("an item that an order removes and adds moves to the end", func() {
			another := Queue{Name: "one", Host: "c", Prefix: "/", Service: "new", Timeout: 1}
			So(table.Configure(Configure{Base: 12, Version: 13, Queues: []Queue{another}}), ShouldBeNil)
			So(table.Configure(Configure{
				Base: 13, Version: 14, RemoveQueues: []string{"added"}, Queues: []Queue{added},
			}), ShouldBeNil)
			So(table.Config.Queues, ShouldResemble, []Queue{another, added})
		})
	})
}

func TestConfigure_sameBase(t *testing.T) {
	Convey("Of several orders with the same base the first is accepted, in any sequence of orders and repeats", t, func() {
		orders := make([]Configure, 6) // three orders, each sent twice
		for i := range orders {
			orders[i] = Configure{Base: 5, Version: uint64(6 + i%3), Digest: fmt.Sprint("order ", i%3)}
		}
		cases := 0
		exhaustive.Permutations(len(orders), func(permutation []int) {
			table := testTable()
			winner := orders[permutation[0]]
			for _, i := range permutation {
				err := table.Configure(orders[i])
				isWinner := orders[i].Digest == winner.Digest
				if isWinner != (err == nil) || !isWinner && !errs.Is(err, errs.Stale) {
					panic(fmt.Sprint("permutation ", permutation, " at ", i, ": ", err))
				}
			}
			if table.Config.Version != winner.Version {
				panic(fmt.Sprint("permutation ", permutation, ": version ", table.Config.Version))
			}
			cases++
		})
		So(cases, ShouldEqual, 720)
	})
}

func TestConfigure_repeated(t *testing.T) {
	Convey("A repetition of one of the newest maxOrders orders succeeds, also on a decoded table", t, func() {
		table := testTable()
		for i := range uint64(maxOrders) {
			So(table.Configure(Configure{Base: 5 + i, Version: 6 + i, Digest: fmt.Sprint(i)}), ShouldBeNil)
		}
		So(table.Orders, ShouldHaveLength, maxOrders)
		for _, each := range []*Table{table, table.decodedCopy()} {
			before := each.bytes()
			So(each.Configure(Configure{Base: 5, Version: 6, Digest: "0"}), ShouldBeNil)
			So(each.Configure(Configure{Base: 99, Version: 1, Digest: "7"}), ShouldBeNil)
			So(each.Configure(testConfig()), shouldBeKind, errs.Stale) // the oldest of 1,025 orders is forgotten
			So(each.bytes(), ShouldEqual, before)
		}
	})
}

func TestConfigure_withoutDigest(t *testing.T) {
	Convey("An order without a digest is never taken for a repetition", t, func() {
		table := testTable()
		So(table.Configure(Configure{Base: 5, Version: 6}), ShouldBeNil)
		So(table.Configure(Configure{Base: 6, Version: 7}), ShouldBeNil)
		So(table.Config.Version, ShouldEqual, 7)
		So(table.Configure(Configure{Base: 6, Version: 7}), shouldBeKind, errs.Stale)
	})
}

package jobs

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestQueueFor(t *testing.T) {
	Convey("QueueFor returns the queue of the host with the longest matching prefix, ignoring the port", t, func() {
		table := NewTable()
		queueAt := func(name, host, prefix string) Queue {
			return Queue{Name: name, Host: host, Prefix: prefix, Service: "s", Timeout: 1}
		}
		must(table.Configure(Configure{Version: 1, Services: []Service{{Name: "s"}}, Queues: []Queue{
			queueAt("long", "a.example", "/x/y/"), queueAt("short", "a.example", "/x/"),
			queueAt("other", "b.example", "/x/y/z/"),
		}}))
		for _, test := range []struct{ host, path, queue string }{
			{"a.example", "/x/y/1", "long"},
			{"a.example:80", "/x/y/z/1", "long"},
			{"A.Example", "/x/1", "short"},
			{"b.example:1", "/x/y/z/", "other"},
			{"b.example", "/x/y/1", ""},
			{"c.example", "/x/", ""},
			{"a.example", "/", ""},
		} {
			name := ""
			if queue := table.QueueFor(test.host, test.path); queue != nil {
				name = queue.Name
			}
			So(name, ShouldEqual, test.queue)
		}
	})
}

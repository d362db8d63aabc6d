package store

import (
	"fmt"

	. "github.com/smartystreets/goconvey/convey"
)

// writeJobsUnderSchema commits what writeJobs does, as a fleet that is upgraded has it, then the schema of the job table
// and jobs that keep their location: one of a queue that is removed afterwards, and one of a queue that is renamed.
func writeJobsUnderSchema(n *storedNode) {
	writeJobs(n)
	n.do("job-schema", `{"schema": 1}`)
	n.do("job-configure", `{"base": 4, "version": 5, "digest": "fourth", "queues": [
		{"name": "gone", "host": "h3", "prefix": "/gone/", "service": "small", "attempts": 2, "stretch": 1, "target": 1, "timeout": 1, "doc": {"id": "gone"}},
		{"name": "before", "host": "h3", "prefix": "/renamed/", "service": "small", "attempts": 2, "stretch": 1, "target": 1, "timeout": 1, "doc": {}}]}`)
	submitTo(n, "u-unserved", "/gone/")
	submitTo(n, "u-renamed", "/renamed/")
	n.do("job-configure", `{"base": 5, "version": 6, "digest": "fifth", "rq": ["gone", "before"], "queues": [
		{"name": "after", "host": "h3", "prefix": "/renamed/", "service": "small", "attempts": 2, "stretch": 1, "target": 1, "timeout": 1, "doc": {}}]}`)
}

// submitTo submits a job of one task to a location.
func submitTo(n *storedNode, id, prefix string) {
	n.do("job-submit", fmt.Sprintf(`{"spec": {"id": %q, "q": "", "at": {"h": "h3", "p": "%s%s"}, "s": [{"n": 1, "r": {"c": 1}}]},
		"digest": "digest of %s", "at": "1970-01-01T00:04:00Z"}`, id, prefix, id, id))
}

// extendJobsUnderSchema starts both jobs where their queues direct them.
func extendJobsUnderSchema(n *storedNode) {
	answer := n.progress(`"starts": [{"t": {"j": "u-unserved"}, "n": 1, "w": "w3"}, {"t": {"j": "u-renamed"}, "n": 1, "w": "w3"}]`)
	So(fmt.Sprint(answer["recorded"]), ShouldEqual, "[true true]")
	job := n.state()["table"].(map[string]any)["jobs"].(map[string]any)["u-unserved"].(map[string]any)
	So(job["last"].(map[string]any)["name"], ShouldEqual, "gone")
}

package jobsapi

import (
	"encoding/json"
	"fmt"
	"time"

	"crosstide/internal/config"
	"crosstide/internal/errs"
	"crosstide/internal/jobs"
	"crosstide/internal/rpc"
)

const (
	maxPriority = 1 << 20
	maxAttempts = 1 << 20
	maxStretch  = 1e6
	maxVersion  = 1 << 53 // JSON parsers that use float64 read integers up to it exactly
)

// Queue is the JSON form of a queue of the configuration. Jobs of queues with priority 0 are scheduled first. A round
// of a job should end within Target plus Stretch times the estimated length of its critical path. Timeout bounds each
// run.
type Queue struct {
	Name     string  `json:"name"`
	Service  string  `json:"service"`
	Priority int     `json:"priority"`
	Attempts int     `json:"attempts"`
	Stretch  float64 `json:"stretch"`
	Target   string  `json:"target"`
	Timeout  string  `json:"timeout"`
}

// Service is the JSON form of a service of the configuration: a kind of worker. ChecksCapacity is set if its workers
// refuse runs that exceed their free capacity.
type Service struct {
	Name           string `json:"name"`
	ChecksCapacity bool   `json:"guards_room"`
}

// Configuration is the JSON form of the configuration in force.
type Configuration struct {
	Version  uint64    `json:"version"`
	Queues   []Queue   `json:"queues"`
	Services []Service `json:"services"`
}

// configurationOf returns the JSON form of a configuration.
func configurationOf(c jobs.Config) Configuration {
	answer := Configuration{Version: c.Version, Queues: []Queue{}, Services: []Service{}}
	for _, q := range c.Queues {
		answer.Queues = append(answer.Queues, queueOf(q))
	}
	for _, s := range c.Services {
		answer.Services = append(answer.Services, Service{Name: s.Name, ChecksCapacity: s.ChecksCapacity})
	}
	return answer
}

func queueOf(q jobs.Queue) Queue {
	return Queue{
		Name: q.Name, Service: q.Service, Priority: q.Priority, Attempts: q.MaxAttempts, Stretch: q.LatencyFactor,
		Target: q.LatencyTarget.String(), Timeout: q.Timeout.String(),
	}
}

// parsePut parses the body of PUT /v2/config: a whole configuration, and in base the version that it replaces.
func parsePut(body []byte) (jobs.Configure, error) {
	change := jobs.Configure{Replace: true}
	err := parse(body, func(r *config.Reader) {
		r.Require("base", "queues", "services")
		readBase(r, &change)
		readQueuesAndServices(r, &change)
	})
	if err != nil {
		return jobs.Configure{}, errs.Pass(err, "configuration")
	}
	change, err = completeChange(change, body)
	return change, errs.Pass(err, "configuration")
}

// parsePatch parses the body of PATCH /v2/config: items to add or replace, names to remove, and in base the version
// that is changed.
func parsePatch(body []byte) (jobs.Configure, error) {
	var change jobs.Configure
	err := parse(body, func(r *config.Reader) {
		r.Require("base")
		readBase(r, &change)
		r.Object("put", func(r *config.Reader) { readQueuesAndServices(r, &change) })
		r.Object("remove", func(r *config.Reader) {
			r.Strings("queues", &change.RemoveQueues, checkName)
			r.Strings("services", &change.RemoveServices, checkName)
		})
		if len(change.Queues)+len(change.Services)+len(change.RemoveQueues)+len(change.RemoveServices) == 0 {
			r.Reject("put", "put or remove must have at least one item")
		}
	})
	if err != nil {
		return jobs.Configure{}, errs.Pass(err, "configuration")
	}
	change, err = completeChange(change, body)
	return change, errs.Pass(err, "configuration")
}

// completeChange returns change with its version (base plus 1), its digest and the document of each item. The digest
// covers body and whether the change replaces the whole configuration.
func completeChange(change jobs.Configure, body []byte) (jobs.Configure, error) {
	change.Version = change.Base + 1
	change.Digest = rpc.Digest(fmt.Appendf(nil, "replace %t", change.Replace), body)
	for i := range change.Queues {
		q := &change.Queues[i]
		if err := encodeDocument(&q.Document, queueOf(*q)); err != nil {
			return jobs.Configure{}, errs.Pass(err, "queue")
		}
	}
	for i := range change.Services {
		s := &change.Services[i]
		if err := encodeDocument(&s.Document, Service{Name: s.Name, ChecksCapacity: s.ChecksCapacity}); err != nil {
			return jobs.Configure{}, errs.Pass(err, "service")
		}
	}
	return change, nil
}

// encodeDocument sets *to to the JSON text of item. Errors: errs.Internal.
func encodeDocument(to *json.RawMessage, item any) error {
	data, err := json.Marshal(item)
	*to = data
	return errs.Wrap(err, errs.Internal, "encode a configuration item")
}

func readBase(r *config.Reader, change *jobs.Configure) {
	base := 0
	r.Int("base", &base, 0, maxVersion)
	change.Base = uint64(base)
}

func readQueuesAndServices(r *config.Reader, change *jobs.Configure) {
	config.List(r, "queues", &change.Queues, readQueue)
	config.List(r, "services", &change.Services, readService)
	checkUniqueNames(r, "queues", change.Queues, func(q jobs.Queue) string { return q.Name })
	checkUniqueNames(r, "services", change.Services, func(s jobs.Service) string { return s.Name })
}

func readQueue(r *config.Reader, q *jobs.Queue) {
	q.MaxAttempts, q.LatencyFactor = 1, 1
	r.Require("name", "service", "timeout")
	r.String("name", &q.Name, checkName)
	r.String("service", &q.Service, checkName)
	r.Int("priority", &q.Priority, 0, maxPriority)
	r.Int("attempts", &q.MaxAttempts, 1, maxAttempts)
	r.Float("stretch", &q.LatencyFactor, 0, maxStretch)
	r.Duration("target", &q.LatencyTarget, 0, maxDuration)
	r.Duration("timeout", &q.Timeout, time.Millisecond, maxDuration)
	q.Prefix = "/" + q.Name + "/" // the job table requires a distinct prefix for each queue
}

func readService(r *config.Reader, s *jobs.Service) {
	r.Require("name")
	r.String("name", &s.Name, checkName)
	r.Bool("guards_room", &s.ChecksCapacity)
}

// checkUniqueNames rejects items that have the name of an earlier item.
func checkUniqueNames[T any](r *config.Reader, list string, items []T, nameOf func(T) string) {
	seen := map[string]bool{}
	for i, item := range items {
		name := nameOf(item)
		if seen[name] {
			r.Reject(fmt.Sprintf("%s[%d].name", list, i), "%q is given twice", name)
		}
		seen[name] = true
	}
}

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
	maxVersion  = 1 << 53 // whole numbers up to it are exact in every reader of JSON
)

// Queue is a queue of the configuration on the wire. A queue of priority 0 goes first. A job should be over within
// Target and Stretch times the estimate of its longest chain of steps; Timeout bounds a run.
type Queue struct {
	Name     string  `json:"name"`
	Service  string  `json:"service"`
	Priority int     `json:"priority"`
	Attempts int     `json:"attempts"`
	Stretch  float64 `json:"stretch"`
	Target   string  `json:"target"`
	Timeout  string  `json:"timeout"`
}

// Service is a service of the configuration on the wire: a kind of worker. RejectsOverload: its workers refuse what does not
// fit, so that the scheduler need not.
type Service struct {
	Name            string `json:"name"`
	RejectsOverload bool   `json:"guards_room"`
}

// Configuration is the configuration in force on the wire.
type Configuration struct {
	Version  uint64    `json:"version"`
	Queues   []Queue   `json:"queues"`
	Services []Service `json:"services"`
}

// configurationOf gives a configuration as it stands on the wire.
func configurationOf(c jobs.Config) Configuration {
	out := Configuration{Version: c.Version, Queues: []Queue{}, Services: []Service{}}
	for _, q := range c.Queues {
		out.Queues = append(out.Queues, queueOf(q))
	}
	for _, s := range c.Services {
		out.Services = append(out.Services, Service{Name: s.Name, RejectsOverload: s.ChecksCapacity})
	}
	return out
}

func queueOf(q jobs.Queue) Queue {
	return Queue{Name: q.Name, Service: q.Service, Priority: q.Priority, Attempts: q.MaxAttempts, Stretch: q.Stretch,
		Target: q.Target.String(), Timeout: q.Timeout.String()}
}

// parsePut reads the body of PUT /v2/config: the whole configuration on top of version base.
func parsePut(body []byte) (jobs.Configure, error) {
	order := jobs.Configure{Replace: true}
	err := parse(body, func(r *config.Reader) {
		r.Require("base", "queues", "services")
		readBase(r, &order)
		readItems(r, &order)
	})
	if err != nil {
		return jobs.Configure{}, errs.Pass(err, "configuration")
	}
	order, err = completeOrder(order, body)
	return order, errs.Pass(err, "configuration")
}

// parsePatch reads the body of PATCH /v2/config: items to put and names to remove, on top of version base.
func parsePatch(body []byte) (jobs.Configure, error) {
	var order jobs.Configure
	err := parse(body, func(r *config.Reader) {
		r.Require("base")
		readBase(r, &order)
		r.Object("put", func(r *config.Reader) { readItems(r, &order) })
		r.Object("remove", func(r *config.Reader) {
			r.Strings("queues", &order.RemoveQueues, checkName)
			r.Strings("services", &order.RemoveServices, checkName)
		})
		if len(order.Queues)+len(order.Services)+len(order.RemoveQueues)+len(order.RemoveServices) == 0 {
			r.Reject("put", "must be given, or remove")
		}
	})
	if err != nil {
		return jobs.Configure{}, errs.Pass(err, "configuration")
	}
	order, err = completeOrder(order, body)
	return order, errs.Pass(err, "configuration")
}

// completeOrder gives an order its version, which is the one after its base, its digest and its items' documents.
func completeOrder(order jobs.Configure, body []byte) (jobs.Configure, error) {
	order.Version = order.Base + 1
	order.Digest = rpc.Digest(fmt.Appendf(nil, "replace %t", order.Replace), body)
	for i := range order.Queues {
		q := &order.Queues[i]
		if err := document(&q.Document, queueOf(*q)); err != nil {
			return jobs.Configure{}, errs.Pass(err, "queue")
		}
	}
	for i := range order.Services {
		s := &order.Services[i]
		if err := document(&s.Document, Service{Name: s.Name, RejectsOverload: s.ChecksCapacity}); err != nil {
			return jobs.Configure{}, errs.Pass(err, "service")
		}
	}
	return order, nil
}

func document(to *json.RawMessage, item any) error {
	data, err := json.Marshal(item)
	*to = data
	return errs.Wrap(err, errs.Internal, "encode an item")
}

func readBase(r *config.Reader, order *jobs.Configure) {
	base := 0
	r.Int("base", &base, 0, maxVersion)
	order.Base = uint64(base)
}

func readItems(r *config.Reader, order *jobs.Configure) {
	config.List(r, "queues", &order.Queues, readQueue)
	config.List(r, "services", &order.Services, readService)
	checkOnce(r, "queues", order.Queues, func(q jobs.Queue) string { return q.Name })
	checkOnce(r, "services", order.Services, func(s jobs.Service) string { return s.Name })
}

func readQueue(r *config.Reader, q *jobs.Queue) {
	q.MaxAttempts, q.Stretch = 1, 1
	r.Require("name", "service", "timeout")
	r.String("name", &q.Name, checkName)
	r.String("service", &q.Service, checkName)
	r.Int("priority", &q.Priority, 0, maxPriority)
	r.Int("attempts", &q.MaxAttempts, 1, maxAttempts)
	r.Float("stretch", &q.Stretch, 0, maxStretch)
	r.Duration("target", &q.Target, 0, maxDuration)
	r.Duration("timeout", &q.Timeout, time.Millisecond, maxDuration)
	q.Prefix = "/" + q.Name + "/" // the table wants each queue at a place of its own
}

func readService(r *config.Reader, s *jobs.Service) {
	r.Require("name")
	r.String("name", &s.Name, checkName)
	r.Bool("guards_room", &s.ChecksCapacity)
}

func checkOnce[T any](r *config.Reader, list string, items []T, name func(T) string) {
	seen := map[string]bool{}
	for i, one := range items {
		if seen[name(one)] {
			r.Reject(fmt.Sprintf("%s[%d].name", list, i), "%q is given twice", name(one))
		}
		seen[name(one)] = true
	}
}

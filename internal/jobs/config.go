package jobs

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"crosstide/internal/errs"
)

// Config is the operators' configuration in force.
type Config struct {
	Version  uint64          `json:"version"`
	Queues   []Queue         `json:"queues,omitempty"`   // in the order they were sent
	Services []Service       `json:"services,omitempty"` // in the order they were sent
	Limits   json.RawMessage `json:"limits,omitempty"`   // as the operator sent them; the table does not read them
}

// Queue is one queue of the configuration.
type Queue struct {
	Name        string `json:"name"`
	Host        string `json:"host"`               // with Prefix: where clients find it
	Prefix      string `json:"prefix"`             // of the path of a call
	Service     string `json:"service"`            // whose workers serve it
	Priority    int    `json:"priority,omitempty"` // 0 goes first
	MaxAttempts int    `json:"attempts"`           // of a task, after which its job has failed

	// Stretch and Target are the latency objective of a job's round: Stretch times the estimate of its critical path,
	// plus Target. A long-running task has Target alone, to its start.
	Stretch float64       `json:"stretch"`
	Target  time.Duration `json:"target"`

	Timeout  time.Duration   `json:"timeout"` // above 0
	Document json.RawMessage `json:"doc"`     // the item as the operator sent it
}

// Service is one service of the configuration: a kind of worker.
type Service struct {
	Name           string          `json:"name"`
	ChecksCapacity bool            `json:"guards,omitempty"` // its workers refuse what does not fit, the table does not
	Document       json.RawMessage `json:"doc"`              // the item as the operator sent it
}

// Queue finds a queue by name; nil if there is none.
func (c *Config) Queue(name string) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}

// Service finds a service by name; nil if there is none.
func (c *Config) Service(name string) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// queueAddress is where clients find a queue.
type queueAddress struct{ host, prefix string }

// validate refuses a configuration that cannot be in force. Failure: Invalid; the field names the queue by its position
// in the whole configuration.
func (c *Config) validate() error {
	names, addresses := map[string]bool{}, map[queueAddress]string{}
	for i, q := range c.Queues {
		address := queueAddress{host: strings.ToLower(q.Host), prefix: q.Prefix}
		var err error
		switch {
		case c.Service(q.Service) == nil:
			err = invalidQueue(i, "service", "queue %q: no service %q", q.Name, q.Service)
		case names[q.Name]:
			err = invalidQueue(i, "name", "two queues are called %q", q.Name)
		case addresses[address] != "":
			err = invalidQueue(i, "prefix", "queue %q is at %s%s too", addresses[address], q.Host, q.Prefix)
		case q.Timeout <= 0:
			err = invalidQueue(i, "timeout", "queue %q: must be above 0, is %s", q.Name, q.Timeout)
		}
		if err != nil {
			return errs.Pass(err, "queues")
		}
		names[q.Name], addresses[address] = true, q.Name
	}
	return nil
}

func invalidQueue(i int, field, format string, args ...any) error {
	return errs.Field(errs.Invalid, fmt.Sprintf("queues[%d].%s", i, field), format, args...)
}

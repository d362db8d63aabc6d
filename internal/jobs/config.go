package jobs

import (
	"fmt"
	"strings"

	"crosstide/internal/errs"
)

// Queue returns a queue by name; nil if there is none.
func (c *Config) Queue(name string) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}

// Service returns a service by name; nil if there is none.
func (c *Config) Service(name string) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// queueAddress identifies a queue to clients.
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

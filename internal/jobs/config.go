package jobs

import (
	"fmt"
	"strings"

	"crosstide/internal/errs"
)

// Queue returns the queue with a name, or nil.
func (c *Config) Queue(name string) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}

// Service returns the service with a name, or nil.
func (c *Config) Service(name string) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// queueAddress is the address by which clients call a queue. It is unique.
type queueAddress struct{ host, prefix string }

// validate checks the queues of a configuration. Failure: Invalid; the error's field identifies the queue by its
// position in the complete configuration.
func (c *Config) validate() error {
	names, addresses := map[string]bool{}, map[queueAddress]string{}
	for i, q := range c.Queues {
		address := queueAddress{host: strings.ToLower(q.Host), prefix: q.Prefix}
		var err error
		switch {
		case c.Service(q.Service) == nil:
			err = invalidQueue(i, "service", "queue %q: unknown service %q", q.Name, q.Service)
		case names[q.Name]:
			err = invalidQueue(i, "name", "duplicate queue name %q", q.Name)
		case addresses[address] != "":
			err = invalidQueue(i, "prefix", "queue %q has the same address %s%s", addresses[address], q.Host, q.Prefix)
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

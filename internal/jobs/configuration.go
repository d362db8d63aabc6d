package jobs

import (
	"fmt"
	"slices"
	"strings"

	"crosstide/internal/errs"
)

// Configure puts another configuration in force. An order that was taken before is answered alike, whatever is in
// force by now. Failures: Stale: another version than Base is in force; Invalid with the field. A refused order changes
// nothing.
func (t *Table) Configure(c Configure) error {
	if _, taken := t.orders[c.Digest]; taken {
		return nil
	}
	if c.Base != t.Config.Version {
		return errs.Field(errs.Stale, "base", "version %d is in force, not %d", t.Config.Version, c.Base)
	}
	if c.Version <= t.Config.Version {
		return errs.Field(errs.Invalid, "version", "must be above %d, is %d", t.Config.Version, c.Version)
	}
	next := t.Config.withChange(c)
	if err := next.validate(); err != nil {
		return errs.Pass(err, "configuration %d", c.Version)
	}
	t.Config = next
	t.rememberOrder(c.Digest)
	t.notify(ConfigChanged, "")
	return nil
}

// rememberOrder keeps the digest of an order that was taken. An order without one is not known again.
func (t *Table) rememberOrder(digest string) {
	if digest == "" {
		return
	}
	t.Orders = append(t.Orders, digest)
	t.orders[digest] = struct{}{}
	if excess := len(t.Orders) - MaxOrders; excess > 0 {
		for _, old := range t.Orders[:excess] {
			delete(t.orders, old)
		}
		t.Orders = slices.Clone(t.Orders[excess:])
	}
}

// withChange gives the configuration that an order asks for. The old one stays as it was.
func (c *Config) withChange(order Configure) Config {
	if order.Replace {
		return Config{Version: order.Version, Queues: order.Queues, Services: order.Services, Limits: order.Limits}
	}
	next := Config{
		Version:  order.Version,
		Queues:   merged(c.Queues, order.RemoveQueues, order.Queues, func(q Queue) string { return q.Name }),
		Services: merged(c.Services, order.RemoveServices, order.Services, func(s Service) string { return s.Name }),
		Limits:   c.Limits,
	}
	if order.Limits != nil {
		next.Limits = order.Limits
	}
	return next
}

// merged gives a new list: old without those removed, and with each item of put in the place of the one of its name or
// at the end.
func merged[T any](old []T, remove []string, put []T, name func(T) string) []T {
	next := make([]T, 0, len(old)+len(put))
	for _, item := range old {
		if !slices.Contains(remove, name(item)) {
			next = append(next, item)
		}
	}
	for _, item := range put {
		at := slices.IndexFunc(next, func(other T) bool { return name(other) == name(item) })
		if at < 0 {
			next = append(next, item)
		} else {
			next[at] = item
		}
	}
	return next
}

// queueAddress is where clients find a queue.
type queueAddress struct{ host, prefix string }

// validate refuses a configuration that cannot be in force. Failure: Invalid; the field names the queue by its place in the
// whole configuration.
func (c *Config) validate() error {
	names, places := map[string]bool{}, map[queueAddress]string{}
	for i, q := range c.Queues {
		at := queueAddress{host: strings.ToLower(q.Host), prefix: q.Prefix}
		var err error
		switch {
		case c.Service(q.Service) == nil:
			err = invalidQueue(i, "service", "queue %q: no service %q", q.Name, q.Service)
		case names[q.Name]:
			err = invalidQueue(i, "name", "two queues are called %q", q.Name)
		case places[at] != "":
			err = invalidQueue(i, "prefix", "queue %q is at %s%s too", places[at], q.Host, q.Prefix)
		case q.Timeout <= 0:
			err = invalidQueue(i, "timeout", "queue %q: must be above 0, is %s", q.Name, q.Timeout)
		}
		if err != nil {
			return errs.Pass(err, "queues")
		}
		names[q.Name], places[at] = true, q.Name
	}
	return nil
}

func invalidQueue(i int, field, format string, args ...any) error {
	return errs.Field(errs.Invalid, fmt.Sprintf("queues[%d].%s", i, field), format, args...)
}

// Evacuate starts or withdraws the evacuation of a zone; said again it changes nothing.
func (t *Table) Evacuate(c Evacuate) error {
	if t.Evacuated[c.Zone] == c.Start {
		return nil
	}
	if c.Start {
		t.Evacuated[c.Zone] = true
	} else {
		delete(t.Evacuated, c.Zone)
	}
	t.notify(ZonesChanged, c.Zone)
	return nil
}

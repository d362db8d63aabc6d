package jobs

import (
	"slices"

	"crosstide/internal/errs"
)

// maxOrders is how many digests of configuration orders are remembered, the newest.
const maxOrders = 1024

// Configure puts another configuration in force. A repeated order succeeds and changes nothing, also when a later one
// is in force. Failures: Stale (another version than Base is in force), Invalid with the field. A refused order changes
// nothing.
func (t *Table) Configure(c Configure) error {
	if _, repeated := t.indexes.orders[c.Digest]; repeated {
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

// rememberOrder records the digest of an accepted order. An order without a digest is not recognized when repeated.
func (t *Table) rememberOrder(digest string) {
	if digest == "" {
		return
	}
	t.Orders = append(t.Orders, digest)
	t.indexes.orders[digest] = struct{}{}
	if excess := len(t.Orders) - maxOrders; excess > 0 {
		for _, old := range t.Orders[:excess] {
			delete(t.indexes.orders, old)
		}
		t.Orders = slices.Clone(t.Orders[excess:])
	}
}

// withChange returns the configuration that an order asks for. c stays as it was.
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

// merged returns a new list: old without the removed items, in which each item of put replaces the one of its name or
// is appended.
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

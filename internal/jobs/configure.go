package jobs

import (
	"slices"

	"crosstide/internal/errs"
)

// maxOrders is the number of digests of configuration orders that are remembered; the oldest are dropped first.
const maxOrders = 1024

// Configure puts a new configuration in force. A repeated order succeeds without a change, even if a later
// configuration is in force by then. Failures: Stale (the version in force is not Base), Invalid with the field. After
// a failure the table is unchanged.
func (t *Table) Configure(c Configure) error {
	if _, repeated := t.indexes.orders[c.Digest]; repeated {
		return nil
	}
	if c.Base != t.Config.Version {
		return errs.Field(errs.Stale, "base", "version %d is in force, the order is based on %d",
			t.Config.Version, c.Base)
	}
	if c.Version <= t.Config.Version {
		return errs.Field(errs.Invalid, "version", "must be above %d, is %d", t.Config.Version, c.Version)
	}
	next := t.Config.withChange(c)
	if err := next.validate(); err != nil {
		return errs.Pass(err, "configuration %d", c.Version)
	}
	t.Config = next
	t.reassignQueues()
	t.rememberOrder(c.Digest)
	t.notify(ConfigChanged, "")
	return nil
}

// rememberOrder records the digest of an accepted order. A repetition of an order without a digest is not recognized.
func (t *Table) rememberOrder(digest string) {
	if digest == "" {
		return
	}
	t.Orders = append(t.Orders, digest)
	t.indexes.orders[digest] = struct{}{}
	if excess := len(t.Orders) - maxOrders; excess > 0 {
		for _, oldest := range t.Orders[:excess] {
			delete(t.indexes.orders, oldest)
		}
		t.Orders = slices.Clone(t.Orders[excess:])
	}
}

// withChange returns the configuration that results from applying an order to c. It does not modify c.
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

// merged returns a copy of old without the items named in remove. Each item of put replaces the item of the same name,
// or is appended if no item has its name.
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

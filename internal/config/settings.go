package config

import (
	"os"
	"time"

	"crosstide/internal/errs"
)

// Bounds of what may be set. They are wide: they catch a wrong unit, not an odd choice.
const (
	minDuration  = time.Millisecond
	maxDuration  = time.Hour
	maxRetention = 10 * 365 * 24 * time.Hour
	maxCount     = 1 << 30

	maxSeeds = 3
)

// Common has the settings of all daemons. Each comment begins with the setting's name.
type Common struct {
	Name     string        // name: of this node, required
	Zone     string        // zone, required
	Region   string        // region, required
	Addr     string        // addr: IP:port to listen at, required
	Seeds    []string      // seeds: 1 to 3 addresses of nodes to ask for the others; none are needed beside core
	LogLevel string        // log_level: debug, info, warn or error; default info
	Grace    time.Duration // grace: time for running calls at shutdown; default 5s

	Via map[string]string // via: an address in it is dialed at the other one; for tests with faulty links
}

func defaultCommon() Common { return Common{LogLevel: "info", Grace: 5 * time.Second} }

func (c *Common) read(r *Reader) {
	r.Require("name", "zone", "region", "addr")
	r.String("name", &c.Name, NotEmpty)
	r.String("zone", &c.Zone, NotEmpty)
	r.String("region", &c.Region, NotEmpty)
	r.Addr("addr", &c.Addr)
	r.Strings("seeds", &c.Seeds, Address)
	if len(c.Seeds) > maxSeeds {
		r.Reject("seeds", "must be 1 to 3 addresses, are %d", len(c.Seeds))
	}
	r.String("log_level", &c.LogLevel, OneOf("debug", "info", "warn", "error"))
	r.Duration("grace", &c.Grace, 0, maxDuration)
	r.Map("via", &c.Via, Address)
}

// load reads a settings file with into, see Parse.
func load(path string, into func(r *Reader)) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errs.Wrap(err, errs.Settings, "read the settings")
	}
	return errs.Pass(Parse(data, into), "%s", path)
}

// checkSettings runs into with a Reader that checks the present values of its targets, see Reader.
func checkSettings(into func(r *Reader)) error {
	var invalid ValidationErrors
	into(&Reader{invalid: &invalid, seen: map[string]bool{}})
	return errs.Wrap(invalid.orNil(), errs.Settings, "%s in the settings", invalid.count())
}

// checkUnique rejects each item with the key of an earlier one; "" is no key.
func checkUnique[T any](r *Reader, list, field string, items []T, key func(T) string) {
	first := map[string]int{}
	for i, item := range items {
		k := key(item)
		if j, twice := first[k]; twice && k != "" {
			r.Reject(itemPath(list, i)+"."+field, "must differ from %s, both are %q", itemPath(list, j), k)
			continue
		}
		first[k] = i
	}
}

package config

import (
	"os"
	"time"

	"crosstide/internal/errs"
)

// Bounds of settings. They are wide, to reject values in a wrong unit but not unusual ones.
const (
	minDuration  = time.Millisecond
	maxDuration  = time.Hour
	maxRetention = 10 * 365 * 24 * time.Hour
	maxCount     = 1 << 30

	maxSeeds = 3
)

// Common holds the settings that all daemons have. Each field's comment begins with the setting's name.
type Common struct {
	Name     string        // name: name of this node; required
	Zone     string        // zone: zone of this node; required
	Region   string        // region: region of this node; required
	Addr     string        // addr: IP:port to listen on; required
	Seeds    []string      // seeds: 1 to 3 addresses of nodes that know the others; optional if core is given
	LogLevel string        // log_level: debug, info, warn or error; default info
	Grace    time.Duration // grace: time for calls in flight at shutdown; default 5s

	Via map[string]string // via: replaces a dialed address (key) by another (value); for tests with faulty links
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
		r.Reject("seeds", "must be 1 to 3 addresses, got %d", len(c.Seeds))
	}
	r.String("log_level", &c.LogLevel, OneOf("debug", "info", "warn", "error"))
	r.Duration("grace", &c.Grace, 0, maxDuration)
	r.Map("via", &c.Via, Address)
}

// load reads a settings file and parses it with into; see Parse.
func load(path string, into func(r *Reader)) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errs.Wrap(err, errs.Settings, "read the settings")
	}
	return errs.Pass(Parse(data, into), "%s", path)
}

// checkSettings calls into with a Reader that validates the present values of the targets; see Reader.
func checkSettings(into func(r *Reader)) error {
	var invalid ValidationErrors
	into(&Reader{invalid: &invalid, seen: map[string]bool{}})
	return errs.Wrap(invalid.orNil(), errs.Settings, "%s in the settings", invalid.count())
}

// checkUnique rejects each item whose key, its value of field, equals that of an earlier item. Empty keys may repeat.
func checkUnique[T any](r *Reader, list, field string, items []T, key func(T) string) {
	first := map[string]int{}
	for i, item := range items {
		k := key(item)
		if j, repeated := first[k]; repeated && k != "" {
			r.Reject(itemPath(list, i)+"."+field, "must differ from %s, both are %q", itemPath(list, j), k)
			continue
		}
		first[k] = i
	}
}

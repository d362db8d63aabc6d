package config

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/valyala/fastjson"
)

// String reads a string that must satisfy every rule.
func (r *Reader) String(field string, to *string, rules ...Rule) {
	if v := r.get(field); v != nil {
		r.readString(field, v, to, rules)
	} else if r.checking() {
		r.checkRules(field, *to, rules)
	}
}

func (r *Reader) readString(field string, v *fastjson.Value, to *string, rules []Rule) {
	b, err := v.StringBytes()
	if err != nil {
		r.Reject(field, "must be a string, is %s", excerpt(v))
		return
	}
	if r.checkRules(field, string(b), rules) {
		*to = string(b)
	}
}

// checkRules rejects a value with the message of the first rule that it violates, and reports whether it is valid.
func (r *Reader) checkRules(field, value string, rules []Rule) bool {
	for _, rule := range rules {
		if message := rule(value); message != "" {
			r.Reject(field, "%s", message)
			return false
		}
	}
	return true
}

// Addr reads an IP:port.
func (r *Reader) Addr(field string, to *string) { r.String(field, to, Address) }

// Duration reads a duration such as "3s" or "1h30m" from least to most.
func (r *Reader) Duration(field string, to *time.Duration, least, most time.Duration) {
	d := *to
	if v := r.get(field); v != nil {
		b, err := v.StringBytes()
		if err == nil {
			d, err = time.ParseDuration(string(b))
		}
		if err != nil {
			r.Reject(field, "must be a duration like \"3s\", is %s", excerpt(v))
			return
		}
	} else if !r.checking() {
		return
	}
	if d < least || d > most {
		r.Reject(field, "must be from %s to %s, is %s", least, most, d)
		return
	}
	*to = d
}

// Int reads an integer from least to most.
func (r *Reader) Int(field string, to *int, least, most int) {
	n := *to
	if v := r.get(field); v != nil {
		var err error
		if n, err = v.Int(); err != nil {
			r.Reject(field, "must be a whole number, is %s", excerpt(v))
			return
		}
	} else if !r.checking() {
		return
	}
	if n < least || n > most {
		r.Reject(field, "must be from %d to %d, is %d", least, most, n)
		return
	}
	*to = n
}

// Bool reads true or false.
func (r *Reader) Bool(field string, to *bool) {
	v := r.get(field)
	if v == nil {
		return
	}
	b, err := v.Bool()
	if err != nil {
		r.Reject(field, "must be true or false, is %s", excerpt(v))
		return
	}
	*to = b
}

// Strings reads an array of strings that must satisfy every rule. If one is invalid, the target is unchanged.
func (r *Reader) Strings(field string, to *[]string, rules ...Rule) {
	if r.checking() {
		for i, item := range *to {
			r.checkRules(itemPath(field, i), item, rules)
		}
		return
	}
	errorsBefore := len(*r.invalid)
	var list []string
	given := r.readItems(field, func(at string, v *fastjson.Value) {
		var item string
		r.readString(at, v, &item, rules)
		list = append(list, item)
	})
	if given && len(*r.invalid) == errorsBefore {
		*to = list
	}
}

// Map reads an object whose values are strings. Its keys and values must satisfy every rule. If one is invalid, the
// target is unchanged.
func (r *Reader) Map(field string, to *map[string]string, rules ...Rule) {
	values, errorsBefore := *to, len(*r.invalid)
	if v := r.get(field); v != nil {
		values = map[string]string{}
		readObject(r.join(field), v, r.invalid, func(r *Reader) {
			r.obj.Visit(func(key []byte, v *fastjson.Value) {
				var value string
				r.seen[string(key)] = true
				r.readString(string(key), v, &value, rules)
				values[string(key)] = value
			})
		})
	}
	for _, key := range slices.Sorted(maps.Keys(values)) {
		if r.checkRules(field, key, rules) && r.checking() {
			r.checkRules(field+"."+key, values[key], rules)
		}
	}
	if len(*r.invalid) == errorsBefore {
		*to = values
	}
}

// Float reads a finite number from least to most.
func (r *Reader) Float(field string, to *float64, least, most float64) {
	x := *to
	if v := r.get(field); v != nil {
		var err error
		if x, err = v.Float64(); err != nil {
			r.Reject(field, "must be a number, is %s", excerpt(v))
			return
		}
	} else if !r.checking() {
		return
	}
	if math.IsNaN(x) || x < least || x > most {
		r.Reject(field, "must be from %g to %g, is %g", least, most, x)
		return
	}
	*to = x
}

// Time reads a time in RFC 3339 format, such as "2026-12-02T08:00:00Z".
func (r *Reader) Time(field string, to *time.Time) {
	v := r.get(field)
	if v == nil {
		return
	}
	b, err := v.StringBytes()
	if err == nil {
		var at time.Time
		if at, err = time.Parse(time.RFC3339Nano, string(b)); err == nil {
			*to = at.UTC()
			return
		}
	}
	r.Reject(field, "must be a time like \"2026-12-02T08:00:00Z\", is %s", excerpt(v))
}

// Ints reads an array of integers from least to most. If one is invalid, the target is unchanged.
func (r *Reader) Ints(field string, to *[]int, least, most int) {
	v := r.get(field)
	if v == nil {
		return
	}
	list, err := v.Array()
	if err != nil {
		r.Reject(field, "must be an array, is %s", excerpt(v))
		return
	}
	numbers, valid := make([]int, 0, len(list)), true
	for i, item := range list {
		n, err := item.Int()
		if err != nil {
			r.Reject(itemPath(field, i), "must be a whole number, is %s", excerpt(item))
		} else if n < least || n > most {
			r.Reject(itemPath(field, i), "must be from %d to %d, is %d", least, most, n)
		}
		valid = valid && err == nil && n >= least && n <= most
		numbers = append(numbers, n)
	}
	if valid {
		*to = numbers
	}
}

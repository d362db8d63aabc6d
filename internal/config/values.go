package config

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/valyala/fastjson"
)

// String reads a string that every rule allows.
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
		r.Reject(field, "must be a string, is %s", text(v))
		return
	}
	if r.checkRules(field, string(b), rules) {
		*to = string(b)
	}
}

func (r *Reader) checkRules(field, value string, rules []Rule) bool {
	for _, rule := range rules {
		if wrong := rule(value); wrong != "" {
			r.Reject(field, "%s", wrong)
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
			r.Reject(field, "must be a duration like \"3s\", is %s", text(v))
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

// Int reads a whole number from least to most.
func (r *Reader) Int(field string, to *int, least, most int) {
	n := *to
	if v := r.get(field); v != nil {
		var err error
		if n, err = v.Int(); err != nil {
			r.Reject(field, "must be a whole number, is %s", text(v))
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
		r.Reject(field, "must be true or false, is %s", text(v))
		return
	}
	*to = b
}

// Strings reads an array of strings that every rule allows; if one is wrong, the target stays as it is.
func (r *Reader) Strings(field string, to *[]string, rules ...Rule) {
	if r.checking() {
		for i, one := range *to {
			r.checkRules(itemPath(field, i), one, rules)
		}
		return
	}
	had := len(*r.invalid)
	var list []string
	there := r.readItems(field, func(at string, v *fastjson.Value) {
		var one string
		r.readString(at, v, &one, rules)
		list = append(list, one)
	})
	if there && len(*r.invalid) == had {
		*to = list
	}
}

// Map reads an object of strings; every rule must allow its keys and values.
func (r *Reader) Map(field string, to *map[string]string, rules ...Rule) {
	out, had := *to, len(*r.invalid)
	if v := r.get(field); v != nil {
		out = map[string]string{}
		readObject(r.join(field), v, r.invalid, func(r *Reader) {
			r.obj.Visit(func(key []byte, v *fastjson.Value) {
				var one string
				r.seen[string(key)] = true
				r.readString(string(key), v, &one, rules)
				out[string(key)] = one
			})
		})
	}
	for _, key := range slices.Sorted(maps.Keys(out)) {
		if r.checkRules(field, key, rules) && r.checking() {
			r.checkRules(field+"."+key, out[key], rules)
		}
	}
	if len(*r.invalid) == had {
		*to = out
	}
}

// Float reads a finite number from least to most.
func (r *Reader) Float(field string, to *float64, least, most float64) {
	x := *to
	if v := r.get(field); v != nil {
		var err error
		if x, err = v.Float64(); err != nil {
			r.Reject(field, "must be a number, is %s", text(v))
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

// Time reads a time of day such as "2026-12-02T08:00:00Z", as RFC 3339 has it.
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
	r.Reject(field, "must be a time like \"2026-12-02T08:00:00Z\", is %s", text(v))
}

// Ints reads an array of whole numbers from least to most; if one is wrong, the target stays as it is.
func (r *Reader) Ints(field string, to *[]int, least, most int) {
	v := r.get(field)
	if v == nil {
		return
	}
	list, err := v.Array()
	if err != nil {
		r.Reject(field, "must be an array, is %s", text(v))
		return
	}
	out, well := make([]int, 0, len(list)), true
	for i, one := range list {
		n, err := one.Int()
		if err != nil {
			r.Reject(fmt.Sprintf("%s[%d]", field, i), "must be a whole number, is %s", text(one))
		} else if n < least || n > most {
			r.Reject(fmt.Sprintf("%s[%d]", field, i), "must be from %d to %d, is %d", least, most, n)
		}
		well = well && err == nil && n >= least && n <= most
		out = append(out, n)
	}
	if well {
		*to = out
	}
}

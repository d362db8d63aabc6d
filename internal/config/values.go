package config

import (
	"fmt"
	"math"
	"time"
)

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

// Ints reads an array of whole numbers from least to most; a mistake in one leaves the target as it is.
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

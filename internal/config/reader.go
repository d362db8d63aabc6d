// Package config reads the settings of the daemons: JSON, every value checked, all mistakes reported at once.
package config

import (
	"encoding/base64"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fastjson"

	"crosstide/internal/errs"
)

// ValidationError is one thing that is wrong in a settings file. Field is its path, such as members[2].addr.
type ValidationError struct{ Field, Message string }

// ValidationErrors is all that is wrong in one file, in the order in which it was found.
type ValidationErrors []ValidationError

// Error returns one line per mistake, "field: message".
func (m ValidationErrors) Error() string {
	lines := make([]string, len(m))
	for i, one := range m {
		lines[i] = strings.TrimPrefix(one.Field+": "+one.Message, ": ")
	}
	return strings.Join(lines, "\n")
}

// Rule checks a value and returns what it must be, or "" when it is valid.
type Rule func(value string) string

// NotEmpty refuses the empty string.
func NotEmpty(value string) string {
	if value == "" {
		return "must not be empty"
	}
	return ""
}

// OneOf allows the listed values.
func OneOf(values ...string) Rule {
	return func(value string) string {
		if slices.Contains(values, value) {
			return ""
		}
		return fmt.Sprintf("must be one of %s, is %q", strings.Join(values, ", "), value)
	}
}

// Address allows IP:port with a port from 1 to 65535.
func Address(value string) string {
	if a, err := netip.ParseAddrPort(value); err != nil || a.Port() == 0 {
		return fmt.Sprintf("must be an address like \"10.0.0.7:7000\", is %q", value)
	}
	return ""
}

// Base64 allows the standard base64 of n bytes.
func Base64(n int) Rule {
	return func(value string) string {
		if b, err := base64.StdEncoding.DecodeString(value); err != nil || len(b) != n {
			return fmt.Sprintf("must be the base64 of %d bytes, is %q", n, value)
		}
		return ""
	}
}

// Reader reads the fields of one JSON object. A field that is not there leaves its target, and so the default in
// it, as it is. What is wrong is collected, and a wrong field leaves its target too.
//
// A reader without an object checks the targets themselves by the same rules, see check.
type Reader struct {
	path    string
	obj     *fastjson.Object
	seen    map[string]bool
	invalid *ValidationErrors
}

// checkTargets runs into on a reader that judges the values already in the targets.
func checkTargets(out *ValidationErrors, into func(r *Reader)) {
	into(&Reader{invalid: out, seen: map[string]bool{}})
}

func (r *Reader) checking() bool { return r.obj == nil }

// Parse reads data by into. Fields that into did not ask for and fields given twice are mistakes too. The error is
// nil or a errs.Settings whose text lists all mistakes; errors.As finds the Mistakes in it. Example:
//
//	lease := 3 * time.Second
//	err := config.Parse(data, func(r *config.Reader) {
//		r.Object("sched", func(r *config.Reader) { r.Duration("lease", &lease, time.Second, time.Minute) })
//	}) // sched.lease: must be a duration like "3s", is "3 monkeys"
func Parse(data []byte, into func(r *Reader)) error {
	var parser fastjson.Parser // its values live as long as it does
	v, err := parser.ParseBytes(data)
	if err != nil {
		return errs.Wrap(ValidationErrors{{"", "must be JSON: " + err.Error()}}, errs.Settings, "1 mistake in the settings")
	}
	var out ValidationErrors
	readObject("", v, &out, into)
	return errs.Wrap(out.orNil(), errs.Settings, "%s in the settings", out.count())
}

// orNil is m as an error, nil if there are none.
func (m ValidationErrors) orNil() error {
	if len(m) == 0 {
		return nil
	}
	return m
}

func (m ValidationErrors) count() string {
	if len(m) == 1 {
		return "1 mistake"
	}
	return fmt.Sprintf("%d mistakes", len(m))
}

func readObject(path string, v *fastjson.Value, out *ValidationErrors, into func(r *Reader)) {
	obj, err := v.Object()
	if err != nil {
		*out = append(*out, ValidationError{path, "must be an object, is " + text(v)})
		return
	}
	r := &Reader{path: path, obj: obj, seen: map[string]bool{}, invalid: out}
	into(r)
	times := map[string]int{}
	obj.Visit(func(key []byte, _ *fastjson.Value) {
		name := string(key)
		times[name]++
		switch {
		case times[name] == 2:
			r.Reject(name, "is given more than once")
		case times[name] == 1 && !r.seen[name]:
			r.Reject(name, "is not a known field")
		}
	})
}

// text shows a value in a message, cut short if need be.
func text(v *fastjson.Value) string {
	s := v.String()
	if r := []rune(s); len(r) > 60 {
		s = string(r[:60]) + "…"
	}
	return s
}

// Reject collects a mistake at field of this object; field "" is the object itself. Only the first mistake of a
// field is reported.
func (r *Reader) Reject(field, format string, args ...any) {
	path := r.join(field)
	if slices.ContainsFunc(*r.invalid, func(m ValidationError) bool { return m.Field == path }) {
		return
	}
	*r.invalid = append(*r.invalid, ValidationError{path, fmt.Sprintf(format, args...)})
}

func (r *Reader) join(field string) string {
	if r.path == "" || field == "" {
		return r.path + field
	}
	return r.path + "." + field
}

func (r *Reader) get(field string) *fastjson.Value {
	r.seen[field] = true
	if r.checking() {
		return nil
	}
	return r.obj.Get(field)
}

// Has reports whether a field is given; a reader without an object has none.
func (r *Reader) Has(field string) bool { return !r.checking() && r.obj.Get(field) != nil }

// Names returns the names of this object's fields in the order of the text, for objects whose names the
// operator chooses. A name given twice is there twice, and a mistake.
func (r *Reader) Names() []string {
	var out []string
	if !r.checking() {
		r.obj.Visit(func(key []byte, _ *fastjson.Value) { out = append(out, string(key)) })
	}
	return out
}

// Renamed makes a field under its former name a mistake whose text gives the name it has now.
func (r *Reader) Renamed(old, now string) {
	if r.Has(old) {
		r.Reject(old, "is now named %s", now)
	}
}

// Require makes the absence of fields a mistake.
func (r *Reader) Require(fields ...string) {
	for _, field := range fields {
		if r.get(field) == nil && !r.checking() {
			r.Reject(field, "must be given")
		}
	}
}

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

// Strings reads an array of strings that every rule allows; a mistake in one leaves the target as it is.
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

// Object reads a nested object.
func (r *Reader) Object(field string, into func(r *Reader)) {
	if v := r.get(field); v != nil {
		readObject(r.join(field), v, r.invalid, into)
	} else if r.checking() {
		into(&Reader{path: r.join(field), invalid: r.invalid, seen: map[string]bool{}})
	}
}

// List reads an array of objects into a slice of T.
func List[T any](r *Reader, field string, to *[]T, into func(r *Reader, one *T)) {
	if r.checking() {
		for i := range *to {
			into(&Reader{path: r.join(itemPath(field, i)), invalid: r.invalid, seen: map[string]bool{}}, &(*to)[i])
		}
		return
	}
	var list []T
	r.Each(field, func(_ int, r *Reader) {
		var one T
		into(r, &one)
		list = append(list, one)
	})
	if r.get(field) != nil {
		*to = list
	}
}

// Each reads an array of objects, into(0..) for each.
func (r *Reader) Each(field string, into func(i int, r *Reader)) {
	i := 0
	r.readItems(field, func(at string, v *fastjson.Value) {
		readObject(r.join(at), v, r.invalid, func(r *Reader) { into(i, r) })
		i++
	})
}

func (r *Reader) readItems(field string, each func(at string, v *fastjson.Value)) bool {
	v := r.get(field)
	if v == nil {
		return false
	}
	list, err := v.Array()
	if err != nil {
		r.Reject(field, "must be an array, is %s", text(v))
		return false
	}
	for i, one := range list {
		each(itemPath(field, i), one)
	}
	return true
}

func itemPath(field string, i int) string { return field + "[" + strconv.Itoa(i) + "]" }

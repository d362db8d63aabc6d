// Package config reads the daemons' settings, which are JSON files. It validates every value and reports all
// validation errors at once.
//
// Each kind of daemon has a struct with its settings and the functions Default, Load and Check. The struct's method
// read names each setting once, with its bounds: Load applies it to a file, Check to values that flags have changed.
// Operators use the names of the settings in their files, so those never change, even if a field is renamed.
//
// Other packages use Parse and Reader for JSON that operators write and that needs the same validation: policy bundles
// and the configurations of the jobs deployment.
package config

import (
	"fmt"
	"slices"
	"strconv"

	"github.com/valyala/fastjson"

	"crosstide/internal/errs"
)

// Reader reads the fields of one JSON object. If a field is missing or invalid, its target keeps its value, which is
// the default. Validation errors are collected and Parse reports them together.
//
// A Reader without an object validates the present values of the targets by the same rules; see checkSettings.
type Reader struct {
	path    string            // path of the object; "" is the whole file
	obj     *fastjson.Object  // nil: validate the targets
	seen    map[string]bool   // fields that were read or required
	invalid *ValidationErrors // shared by the readers of one file
}

// checking reports whether the Reader has no object, and so validates the targets.
func (r *Reader) checking() bool { return r.obj == nil }

// Parse calls into to read data, a JSON object. Fields that into does not read and repeated fields are errors too.
// Parse returns nil or an errs.Settings whose text lists all errors; errors.As finds the ValidationErrors. Example:
//
//	lease := 3 * time.Second
//	err := config.Parse(data, func(r *config.Reader) {
//		r.Object("sched", func(r *config.Reader) { r.Duration("lease", &lease, time.Second, time.Minute) })
//	}) // sched.lease: must be a duration like "3s", is "3 monkeys"
func Parse(data []byte, into func(r *Reader)) error {
	var parser fastjson.Parser // v is valid only until the parser is used again
	v, err := parser.ParseBytes(data)
	if err != nil {
		invalid := ValidationErrors{{"", "must be JSON: " + err.Error()}}
		return errs.Wrap(invalid, errs.Settings, "1 mistake in the settings")
	}
	var invalid ValidationErrors
	readObject("", v, &invalid, into)
	return errs.Wrap(invalid.orNil(), errs.Settings, "%s in the settings", invalid.count())
}

func readObject(path string, v *fastjson.Value, invalid *ValidationErrors, into func(r *Reader)) {
	obj, err := v.Object()
	if err != nil {
		*invalid = append(*invalid, ValidationError{path, "must be an object, is " + excerpt(v)})
		return
	}
	r := &Reader{path: path, obj: obj, seen: map[string]bool{}, invalid: invalid}
	into(r)
	occurrences := map[string]int{}
	obj.Visit(func(key []byte, _ *fastjson.Value) {
		name := string(key)
		occurrences[name]++
		switch {
		case occurrences[name] == 2:
			r.Reject(name, "is given more than once")
		case occurrences[name] == 1 && !r.seen[name]:
			r.Reject(name, "is not a known field")
		}
	})
}

// maxExcerpt is the maximum length of a value in a message, in characters.
const maxExcerpt = 60

// excerpt returns the JSON text of v for a message, cut off after maxExcerpt characters.
func excerpt(v *fastjson.Value) string {
	s := v.String()
	if r := []rune(s); len(r) > maxExcerpt {
		s = string(r[:maxExcerpt]) + "…"
	}
	return s
}

// Reject records a validation error for a field of this object; "" is the object itself. Only the first error for a
// field is kept.
func (r *Reader) Reject(field, format string, args ...any) {
	path := r.join(field)
	if slices.ContainsFunc(*r.invalid, func(m ValidationError) bool { return m.Field == path }) {
		return
	}
	*r.invalid = append(*r.invalid, ValidationError{path, fmt.Sprintf(format, args...)})
}

// join returns the path of a field of this object.
func (r *Reader) join(field string) string {
	if r.path == "" || field == "" {
		return r.path + field
	}
	return r.path + "." + field
}

// get returns the value of a field and marks the field as read. It returns nil if the field is missing or the Reader
// has no object.
func (r *Reader) get(field string) *fastjson.Value {
	r.seen[field] = true
	if r.checking() {
		return nil
	}
	return r.obj.Get(field)
}

// Has reports whether a field is given, without marking it as read. A Reader without an object has no fields.
func (r *Reader) Has(field string) bool { return !r.checking() && r.obj.Get(field) != nil }

// Names returns the names of this object's fields in the order of the text. It is for objects whose field names the
// operator chooses. A repeated name is listed each time, and is an error.
func (r *Reader) Names() []string {
	var names []string
	if !r.checking() {
		r.obj.Visit(func(key []byte, _ *fastjson.Value) { names = append(names, string(key)) })
	}
	return names
}

// Renamed rejects a field that is given under its old name; the message has the new name.
func (r *Reader) Renamed(old, now string) {
	if r.Has(old) {
		r.Reject(old, "is now named %s", now)
	}
}

// Require rejects each of the fields that is missing.
func (r *Reader) Require(fields ...string) {
	for _, field := range fields {
		if r.get(field) == nil && !r.checking() {
			r.Reject(field, "must be given")
		}
	}
}

// Object calls into to read a nested object.
func (r *Reader) Object(field string, into func(r *Reader)) {
	if v := r.get(field); v != nil {
		readObject(r.join(field), v, r.invalid, into)
	} else if r.checking() {
		into(&Reader{path: r.join(field), invalid: r.invalid, seen: map[string]bool{}})
	}
}

// List reads an array of objects into a slice of T.
func List[T any](r *Reader, field string, to *[]T, into func(r *Reader, item *T)) {
	if r.checking() {
		for i := range *to {
			into(&Reader{path: r.join(itemPath(field, i)), invalid: r.invalid, seen: map[string]bool{}}, &(*to)[i])
		}
		return
	}
	var list []T
	r.Each(field, func(_ int, r *Reader) {
		var item T
		into(r, &item)
		list = append(list, item)
	})
	if r.get(field) != nil {
		*to = list
	}
}

// Each calls into for each object of an array, with its index and its Reader.
func (r *Reader) Each(field string, into func(i int, r *Reader)) {
	i := 0
	r.readItems(field, func(at string, v *fastjson.Value) {
		readObject(r.join(at), v, r.invalid, func(r *Reader) { into(i, r) })
		i++
	})
}

// readItems calls each with the path and the value of every item of an array. It returns false if the field is missing
// or not an array.
func (r *Reader) readItems(field string, each func(at string, v *fastjson.Value)) bool {
	v := r.get(field)
	if v == nil {
		return false
	}
	list, err := v.Array()
	if err != nil {
		r.Reject(field, "must be an array, is %s", excerpt(v))
		return false
	}
	for i, item := range list {
		each(itemPath(field, i), item)
	}
	return true
}

func itemPath(field string, i int) string { return field + "[" + strconv.Itoa(i) + "]" }

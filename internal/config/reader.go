// Package config reads the settings of the daemons: JSON, every value checked, all validation errors reported at
// once.
//
// For each kind of daemon there is a struct with its settings, and Default, Load and Check for it. Its method read
// names each setting once, with its bounds; Load runs it on a file, Check on values that flags have changed. The
// names of settings are what operators have in their files: they never change, whatever the fields are named.
//
// Other packages use Parse and Reader for JSON of operators that must be as strict: policy bundles, jobs'
// configurations.
package config

import (
	"fmt"
	"slices"
	"strconv"

	"github.com/valyala/fastjson"

	"crosstide/internal/errs"
)

// Reader reads the fields of one JSON object. A field that is missing or invalid leaves its target unchanged, and so
// the default in it. Invalid fields are collected, and reported together by Parse.
//
// A Reader without an object checks the values that the targets have by the same rules; see checkSettings.
type Reader struct {
	path    string            // of the object; "" for the file
	obj     *fastjson.Object  // nil: check the targets
	seen    map[string]bool   // fields that were read or required
	invalid *ValidationErrors // shared by the readers of one file
}

func (r *Reader) checking() bool { return r.obj == nil }

// Parse reads data, a JSON object, with into. Fields that into does not read and fields given twice are errors too. The
// result is nil or an errs.Settings whose text lists all; errors.As finds the ValidationErrors in it. Example:
//
//	lease := 3 * time.Second
//	err := config.Parse(data, func(r *config.Reader) {
//		r.Object("sched", func(r *config.Reader) { r.Duration("lease", &lease, time.Second, time.Minute) })
//	}) // sched.lease: must be a duration like "3s", is "3 monkeys"
func Parse(data []byte, into func(r *Reader)) error {
	var parser fastjson.Parser // its values live as long as it does
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

// maxExcerpt bounds a value in a message, in characters.
const maxExcerpt = 60

// excerpt returns a value as it is shown in a message.
func excerpt(v *fastjson.Value) string {
	s := v.String()
	if r := []rune(s); len(r) > maxExcerpt {
		s = string(r[:maxExcerpt]) + "…"
	}
	return s
}

// Reject records a validation error at a field of this object; "" is the object itself. Only the first error at a field
// is kept.
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

// Has reports whether a field is given. It does not count as read. A Reader without an object has no fields.
func (r *Reader) Has(field string) bool { return !r.checking() && r.obj.Get(field) != nil }

// Names returns the names of this object's fields in the order of the text, for objects whose field names the operator
// chooses. A name given twice is listed twice, and is an error.
func (r *Reader) Names() []string {
	var names []string
	if !r.checking() {
		r.obj.Visit(func(key []byte, _ *fastjson.Value) { names = append(names, string(key)) })
	}
	return names
}

// Renamed rejects a field that is given under its former name, and reports the present one.
func (r *Reader) Renamed(old, now string) {
	if r.Has(old) {
		r.Reject(old, "is now named %s", now)
	}
}

// Require rejects each of the fields that is not given.
func (r *Reader) Require(fields ...string) {
	for _, field := range fields {
		if r.get(field) == nil && !r.checking() {
			r.Reject(field, "must be given")
		}
	}
}

// Object reads a nested object with into.
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

// Each reads an array of objects: it calls into with the index of each and its Reader.
func (r *Reader) Each(field string, into func(i int, r *Reader)) {
	i := 0
	r.readItems(field, func(at string, v *fastjson.Value) {
		readObject(r.join(at), v, r.invalid, func(r *Reader) { into(i, r) })
		i++
	})
}

// readItems calls each with the path and the value of every item of an array, and reports whether there is an array.
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

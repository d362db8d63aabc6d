package clientapi

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/valyala/fastjson"

	"crosstide/internal/errs"
)

// fieldReader reads the value v of a field; field is its path, such as steps[0].name.
type fieldReader func(field string, v *fastjson.Value)

// object passes each field of the object v to its reader in fields. It rejects unknown and repeated fields, and
// required fields that are missing.
func (r *reader) object(path string, v *fastjson.Value, fields map[string]fieldReader, required ...string) {
	o, err := v.Object()
	if err != nil {
		r.reject(errs.Malformed, path, "must be an object, is %s", v.Type())
		return
	}
	seen := map[string]bool{}
	o.Visit(func(raw []byte, v *fastjson.Value) {
		name := string(raw)
		field := join(path, name)
		switch read := fields[name]; {
		case read == nil:
			r.reject(errs.Invalid, field, "is not a known field")
		case seen[name]:
			r.reject(errs.Invalid, field, "is given twice")
		default:
			seen[name] = true
			read(field, v)
		}
	})
	for _, name := range required {
		if !seen[name] {
			r.reject(errs.Invalid, join(path, name), "is missing")
		}
	}
}

// maxQuotedName bounds an invalid name in a field's path, in bytes.
const maxQuotedName = 64

// join returns the path of a field. A name that nameForm does not match is truncated and quoted.
func join(path, name string) string {
	if !nameForm.MatchString(name) {
		name = strconv.QuoteToASCII(name[:min(len(name), maxQuotedName)])
	}
	if path == "" {
		return name
	}
	return path + "." + name
}

// array reads an array of least to most entries. It returns nil if v is rejected.
func (r *reader) array(field string, v *fastjson.Value, least, most int) []*fastjson.Value {
	list, err := v.Array()
	if err != nil {
		r.reject(errs.Malformed, field, "must be an array, is %s", v.Type())
		return nil
	}
	if len(list) < least || len(list) > most {
		r.reject(errs.Invalid, field, "must have %d to %d entries, has %d", least, most, len(list))
		return nil
	}
	return list
}

// name reads a string that nameForm matches. It returns "" if v is rejected.
func (r *reader) name(field string, v *fastjson.Value) string {
	raw, err := v.StringBytes()
	if err != nil {
		r.reject(errs.Malformed, field, "must be a string, is %s", v.Type())
		return ""
	}
	if !nameForm.Match(raw) {
		r.reject(errs.Invalid, field, nameRule)
		return ""
	}
	return string(raw)
}

// names reads an array of names, each of which may occur only once.
func (r *reader) names(field string, v *fastjson.Value) []string {
	var names []string
	seen := map[string]bool{}
	for i, v := range r.array(field, v, 0, MaxSteps) {
		at := fmt.Sprintf("%s[%d]", field, i)
		name := r.name(at, v)
		if name != "" && seen[name] {
			r.reject(errs.Invalid, at, "%q is given twice", name)
		}
		seen[name] = true
		names = append(names, name)
	}
	return names
}

// number reads a whole number from least to most. It returns 0 if v is rejected.
func (r *reader) number(field string, v *fastjson.Value, least, most int) int {
	if v.Type() != fastjson.TypeNumber {
		r.reject(errs.Malformed, field, "must be a whole number, is %s", v.Type())
		return 0
	}
	n, err := v.Int64()
	switch {
	case err != nil:
		r.reject(errs.Malformed, field, "must be a whole number from %d to %d", least, most)
		return 0
	case n < int64(least) || n > int64(most):
		r.reject(errs.Invalid, field, "must be %d to %d, is %d", least, most, n)
		return 0
	}
	return int(n)
}

func (r *reader) boolean(field string, v *fastjson.Value) bool {
	b, err := v.Bool()
	if err != nil {
		r.reject(errs.Malformed, field, "must be true or false, is %s", v.Type())
	}
	return b
}

// labels reads an object of at most MaxLabels names with their values.
func (r *reader) labels(field string, v *fastjson.Value) map[string]string {
	o, err := v.Object()
	if err != nil {
		r.reject(errs.Malformed, field, "must be an object, is %s", v.Type())
		return nil
	}
	if o.Len() > MaxLabels {
		r.reject(errs.Invalid, field, "must have at most %d entries, has %d", MaxLabels, o.Len())
		return nil
	}
	labels := map[string]string{}
	o.Visit(func(raw []byte, v *fastjson.Value) {
		name := string(raw)
		at := join(field, name)
		_, isDuplicate := labels[name]
		switch {
		case !nameForm.MatchString(name):
			r.reject(errs.Invalid, at, "the label's name "+nameRule)
		case isDuplicate:
			r.reject(errs.Invalid, at, "is given twice")
		default:
			labels[name] = r.name(at, v)
		}
	})
	return labels
}

// run reads the field run, which may be any JSON, and returns it in the canonical form over which the digest is
// computed: without white space, with sorted fields, and with numbers as they were written.
func (r *reader) run(field string, v *fastjson.Value) json.RawMessage {
	r.rejectDuplicates(field, v)
	decoder := json.NewDecoder(bytes.NewReader(v.MarshalTo(nil)))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		r.reject(errs.Malformed, field, "%s", err)
		return nil
	}
	raw, err := json.Marshal(value)
	if err != nil {
		r.reject(errs.Malformed, field, "%s", err)
		return nil
	}
	if len(raw) > MaxRunBytes {
		r.reject(errs.Invalid, field, "must be at most %d bytes, is %d", MaxRunBytes, len(raw))
		return nil
	}
	return raw
}

// rejectDuplicates rejects duplicate fields at any depth.
func (r *reader) rejectDuplicates(path string, v *fastjson.Value) {
	switch v.Type() {
	case fastjson.TypeArray:
		for i, v := range v.GetArray() {
			r.rejectDuplicates(fmt.Sprintf("%s[%d]", path, i), v)
		}
	case fastjson.TypeObject:
		seen := map[string]bool{}
		v.GetObject().Visit(func(raw []byte, v *fastjson.Value) {
			name := string(raw)
			if seen[name] {
				r.reject(errs.Invalid, join(path, name), "is given twice")
			}
			seen[name] = true
			r.rejectDuplicates(join(path, name), v)
		})
	}
}

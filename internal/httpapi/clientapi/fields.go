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

// object passes each field of v to its reader. It rejects unknown and repeated fields, and those of required that are
// missing.
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
			r.reject(errs.Invalid, field, "there is no such field")
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

// join returns the path of a field. A name that is not of nameForm is quoted and truncated.
func join(path, name string) string {
	if !nameForm.MatchString(name) {
		name = strconv.QuoteToASCII(name[:min(len(name), maxQuotedName)])
	}
	if path == "" {
		return name
	}
	return path + "." + name
}

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

func (r *reader) names(field string, v *fastjson.Value) []string {
	var names []string
	seen := map[string]bool{}
	for i, v := range r.array(field, v, 0, MaxSteps) {
		at := fmt.Sprintf("%s[%d]", field, i)
		name := r.name(at, v)
		if name != "" && seen[name] {
			r.reject(errs.Invalid, at, "names %q twice", name)
		}
		seen[name] = true
		names = append(names, name)
	}
	return names
}

func (r *reader) number(field string, v *fastjson.Value, least, most int) int {
	if v.Type() != fastjson.TypeNumber {
		r.reject(errs.Malformed, field, "must be a whole number, is %s", v.Type())
		return 0
	}
	n, err := v.Int64()
	switch {
	case err != nil:
		r.reject(errs.Malformed, field, "must be a whole number of %d to %d", least, most)
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
		_, twice := labels[name]
		switch {
		case !nameForm.MatchString(name):
			r.reject(errs.Invalid, at, "the label's name "+nameRule)
		case twice:
			r.reject(errs.Invalid, at, "is given twice")
		default:
			labels[name] = r.name(at, v)
		}
	})
	return labels
}

// run returns any JSON in canonical form, for the digest: no white space, fields sorted, numbers as they were written.
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
	if len(raw) > MaxRun {
		r.reject(errs.Invalid, field, "must be at most %d bytes, is %d", MaxRun, len(raw))
		return nil
	}
	return raw
}

// rejectDuplicates rejects fields that are given twice, at any depth.
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

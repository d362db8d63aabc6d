package bundle

import (
	"bytes"
	"encoding/json"

	"github.com/valyala/fastjson"

	"crosstide/internal/errs"
)

// Merge changes a bundle's text by a JSON merge patch (RFC 7396): objects are merged, null removes, all else replaces.
// The result is indented by two spaces; names keep their order, and new ones come last. It is not checked as a bundle:
// that is Parse's. Failures: Invalid, TooLarge. Example:
//
//	next, err := bundle.Merge(body, []byte(`{"limits":{"scan":40}}`))
func Merge(base, patch []byte) ([]byte, error) {
	if len(patch) > MaxBytes {
		return nil, errs.New(errs.TooLarge, "the patch has %d bytes, at most %d", len(patch), MaxBytes)
	}
	var left, right fastjson.Parser
	to, err := left.ParseBytes(base)
	if err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "the base must be JSON")
	}
	from, err := right.ParseBytes(patch)
	if err != nil {
		return nil, errs.New(errs.Invalid, "1 mistake in the patch:\nmust be JSON: %v", err)
	}
	if from.Type() != fastjson.TypeObject {
		return nil, errs.New(errs.Invalid, "1 mistake in the patch:\nmust be an object, is %s", from.Type())
	}
	if path := duplicatePath("", from); path != "" {
		return nil, errs.Field(errs.Invalid, path, "1 mistake in the patch:\n%s: is given more than once", path)
	}
	var text bytes.Buffer
	if err := json.Indent(&text, mergeValues(to, from).MarshalTo(nil), "", "  "); err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "the result")
	}
	text.WriteByte('\n')
	return text.Bytes(), nil
}

// mergeValues applies the merge patch from to a value, which may be nil, and returns the result.
func mergeValues(to, from *fastjson.Value) *fastjson.Value {
	if from.Type() != fastjson.TypeObject {
		return from
	}
	if to == nil || to.Type() != fastjson.TypeObject {
		to = fastjson.MustParse("{}")
	}
	from.GetObject().Visit(func(key []byte, v *fastjson.Value) {
		name := string(key)
		if v.Type() == fastjson.TypeNull {
			to.Del(name)
			return
		}
		to.Set(name, mergeValues(to.Get(name), v))
	})
	return to
}

// duplicatePath returns the path of a name that an object in v has more than once.
func duplicatePath(path string, v *fastjson.Value) (found string) {
	if v.Type() != fastjson.TypeObject {
		return ""
	}
	seen := map[string]bool{}
	v.GetObject().Visit(func(key []byte, v *fastjson.Value) {
		at := joinPath(path, string(key))
		if seen[string(key)] && found == "" {
			found = at
		}
		seen[string(key)] = true
		if deep := duplicatePath(at, v); found == "" {
			found = deep
		}
	})
	return found
}

package bundle

import (
	"bytes"
	"encoding/json"

	"github.com/valyala/fastjson"

	"crosstide/internal/errs"
)

// Merge applies a JSON merge patch (RFC 7396) to the text of a bundle: objects are merged, null removes a field, any
// other value replaces it. The result is indented by two spaces; fields keep their order, and new fields come last. The
// result is not validated as a bundle; Parse does that. Failures: Invalid, TooLarge. Example:
//
//	next, err := bundle.Merge(body, []byte(`{"limits":{"scan":40}}`))
func Merge(base, patch []byte) ([]byte, error) {
	if len(patch) > MaxBytes {
		return nil, errs.New(errs.TooLarge, "the patch has %d bytes, at most %d", len(patch), MaxBytes)
	}
	var left, right fastjson.Parser
	baseValue, err := left.ParseBytes(base)
	if err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "invalid JSON in the base")
	}
	patchValue, err := right.ParseBytes(patch)
	if err != nil {
		return nil, errs.New(errs.Invalid, "1 mistake in the patch:\nmust be JSON: %v", err)
	}
	if patchValue.Type() != fastjson.TypeObject {
		return nil, errs.New(errs.Invalid, "1 mistake in the patch:\nmust be an object, is %s", patchValue.Type())
	}
	if path := duplicatePath("", patchValue); path != "" {
		return nil, errs.Field(errs.Invalid, path, "1 mistake in the patch:\n%s: is given more than once", path)
	}
	var text bytes.Buffer
	if err := json.Indent(&text, mergeValues(baseValue, patchValue).MarshalTo(nil), "", "  "); err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "indent the merged bundle")
	}
	text.WriteByte('\n')
	return text.Bytes(), nil
}

// mergeValues applies a merge patch to target, which may be nil, and returns the result.
func mergeValues(target, patch *fastjson.Value) *fastjson.Value {
	if patch.Type() != fastjson.TypeObject {
		return patch
	}
	if target == nil || target.Type() != fastjson.TypeObject {
		target = fastjson.MustParse("{}")
	}
	patch.GetObject().Visit(func(key []byte, v *fastjson.Value) {
		name := string(key)
		if v.Type() == fastjson.TypeNull {
			target.Del(name)
			return
		}
		target.Set(name, mergeValues(target.Get(name), v))
	})
	return target
}

// duplicatePath returns the path of the first duplicate name in an object in v, or "" if all names are unique.
func duplicatePath(path string, v *fastjson.Value) (duplicate string) {
	if v.Type() != fastjson.TypeObject {
		return ""
	}
	seen := map[string]bool{}
	v.GetObject().Visit(func(key []byte, v *fastjson.Value) {
		memberPath := joinPath(path, string(key))
		if seen[string(key)] && duplicate == "" {
			duplicate = memberPath
		}
		seen[string(key)] = true
		if nested := duplicatePath(memberPath, v); duplicate == "" {
			duplicate = nested
		}
	})
	return duplicate
}

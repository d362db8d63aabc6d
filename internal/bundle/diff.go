package bundle

import (
	"bytes"
	"slices"
	"strconv"

	"github.com/valyala/fastjson"

	"crosstide/internal/errs"
)

// Change is one difference of two bundles: From or To is "" where there is nothing, else JSON.
type Change struct {
	Path string `json:"path"`
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
}

// Diff returns what differs between two texts, by what they say and not by their spelling, in order of paths.
// Failure: Invalid.
func Diff(from, to []byte) ([]Change, error) {
	var left, right fastjson.Parser
	a, err := left.ParseBytes(from)
	if err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "the first must be JSON")
	}
	b, err := right.ParseBytes(to)
	if err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "the second must be JSON")
	}
	var out []Change
	appendChanges("", a, b, &out)
	slices.SortStableFunc(out, func(a, b Change) int { return bytes.Compare([]byte(a.Path), []byte(b.Path)) })
	return out, nil
}

// appendChanges adds to out what differs below path. a or b is nil where there is nothing.
func appendChanges(path string, a, b *fastjson.Value, out *[]Change) {
	if a != nil && b != nil && a.Type() == fastjson.TypeObject && b.Type() == fastjson.TypeObject {
		a.GetObject().Visit(func(key []byte, v *fastjson.Value) {
			appendChanges(joinPath(path, string(key)), v, b.GetObject().Get(string(key)), out)
		})
		b.GetObject().Visit(func(key []byte, v *fastjson.Value) {
			if a.GetObject().Get(string(key)) == nil {
				appendChanges(joinPath(path, string(key)), nil, v, out)
			}
		})
		return
	}
	if from, to := jsonText(a), jsonText(b); from != to {
		*out = append(*out, Change{path, from, to})
	}
}

func jsonText(v *fastjson.Value) string {
	if v == nil {
		return ""
	}
	return string(v.MarshalTo(nil))
}

// joinPath appends a name to a path, quoted if it is no plain name.
func joinPath(path, name string) string {
	if !namePattern.MatchString(name) {
		name = strconv.Quote(name)
	}
	if path == "" {
		return name
	}
	return path + "." + name
}

package bundle

import (
	"bytes"
	"slices"
	"strconv"

	"github.com/valyala/fastjson"

	"crosstide/internal/errs"
)

// Change is one difference between two bundles. From and To are JSON, or "" where the path does not exist.
type Change struct {
	Path string `json:"path"`
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
}

// Diff returns the differences between the values of two JSON texts, sorted by path. It ignores differences in
// formatting. Failure: Invalid.
func Diff(from, to []byte) ([]Change, error) {
	var left, right fastjson.Parser
	a, err := left.ParseBytes(from)
	if err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "invalid JSON in the first text")
	}
	b, err := right.ParseBytes(to)
	if err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "invalid JSON in the second text")
	}
	var changes []Change
	appendChanges("", a, b, &changes)
	slices.SortStableFunc(changes, func(a, b Change) int { return bytes.Compare([]byte(a.Path), []byte(b.Path)) })
	return changes, nil
}

// appendChanges appends the differences between two values at path. One of them may be nil: the path does not exist in
// that text.
func appendChanges(path string, a, b *fastjson.Value, changes *[]Change) {
	if a != nil && b != nil && a.Type() == fastjson.TypeObject && b.Type() == fastjson.TypeObject {
		a.GetObject().Visit(func(key []byte, v *fastjson.Value) {
			appendChanges(joinPath(path, string(key)), v, b.GetObject().Get(string(key)), changes)
		})
		b.GetObject().Visit(func(key []byte, v *fastjson.Value) {
			if a.GetObject().Get(string(key)) == nil {
				appendChanges(joinPath(path, string(key)), nil, v, changes)
			}
		})
		return
	}
	if from, to := jsonText(a), jsonText(b); from != to {
		*changes = append(*changes, Change{path, from, to})
	}
}

func jsonText(v *fastjson.Value) string {
	if v == nil {
		return ""
	}
	return string(v.MarshalTo(nil))
}

// joinPath appends a name to a path. A name that validateName rejects is quoted.
func joinPath(path, name string) string {
	if !namePattern.MatchString(name) {
		name = strconv.Quote(name)
	}
	if path == "" {
		return name
	}
	return path + "." + name
}

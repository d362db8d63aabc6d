package main

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"strings"
	"unicode"
)

// wireText has the paths, headers and the variable of the users' pages that the rig uses, by the rig's own names for
// them. Only the folder platform may have them in its sources.
//
//go:embed wire.json
var wireText []byte

var words = func() map[string]string {
	table := map[string]string{}
	if err := json.Unmarshal(wireText, &table); err != nil {
		panic("wire.json: " + err.Error())
	}
	return table
}()

// toWire returns the name on the pages for a field's name in this rig: clockMs has an underscore there.
func toWire(name string) string {
	var b strings.Builder
	for _, r := range name {
		if unicode.IsUpper(r) {
			b.WriteByte('_')
		}
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}

// fromWire is the reverse of toWire.
func fromWire(name string) string {
	parts := strings.Split(name, "_")
	for i := 1; i < len(parts); i++ {
		if parts[i] != "" {
			parts[i] = strings.ToUpper(parts[i][:1]) + parts[i][1:]
		}
	}
	return strings.Join(parts, "")
}

// renamed returns decoded JSON with all names of fields renamed.
func renamed(v any, rename func(string) string) any {
	switch v := v.(type) {
	case map[string]any:
		result := make(map[string]any, len(v))
		for name, value := range v {
			result[rename(name)] = renamed(value, rename)
		}
		return result
	case []any:
		for i := range v {
			v[i] = renamed(v[i], rename)
		}
	}
	return v
}

// convert renames the fields of a JSON text. It returns an error for a text that is not JSON.
func convert(text []byte, rename func(string) string) ([]byte, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var v any
	err := decoder.Decode(&v)
	if err == nil {
		text, err = json.Marshal(renamed(v, rename))
	}
	if err != nil {
		return nil, errNotJSON
	}
	return text, nil
}

// notJSON is the error of a text that can't be decoded.
type notJSON struct{}

// Error implements error.
func (notJSON) Error() string { return "not JSON of the expected form" }

var errNotJSON = notJSON{}

// encode returns v as JSON with the names on the pages.
func encode(v any) []byte {
	text, err := json.Marshal(v)
	check(err, "encode")
	text, err = convert(text, toWire)
	check(err, "encode")
	return text
}

// decode decodes JSON that has the names on the pages.
func decode(text []byte, into any) error {
	text, err := convert(text, fromWire)
	if err != nil || json.Unmarshal(text, into) != nil {
		return errNotJSON
	}
	return nil
}

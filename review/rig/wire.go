package main

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"strings"
	"unicode"

	"crosstide/internal/errs"
)

// wireText has the paths, headers and other words of the platform's pages that the rig uses. Only the folder platform
// may have them in its sources.
//
//go:embed wire.json
var wireText []byte

// words are the words of wireText by the rig's own names for them.
var words = mustWords()

func mustWords() map[string]string {
	table := map[string]string{}
	if err := json.Unmarshal(wireText, &table); err != nil {
		panic("wire.json: " + err.Error())
	}
	return table
}

// encode returns v as JSON with the platform's names of fields: deadlineMs of the rig has underscores there.
func encode(v any) ([]byte, error) {
	data, err := json.Marshal(v)
	if err == nil {
		data, err = renameFields(data, toPlatform)
	}
	return data, errs.Wrap(err, errs.Internal, "encode")
}

// decode decodes JSON that has the platform's names of fields.
func decode(data []byte, into any) error {
	data, err := renameFields(data, fromPlatform)
	if err == nil {
		err = json.Unmarshal(data, into)
	}
	return errs.Wrap(err, errs.Malformed, "decode")
}

// renameFields returns a JSON text with the names of all fields changed.
func renameFields(data []byte, rename func(string) string) ([]byte, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		return nil, errs.Wrap(err, errs.Malformed, "parse")
	}
	renamed, err := json.Marshal(renameAll(value, rename))
	return renamed, errs.Wrap(err, errs.Internal, "marshal")
}

func renameAll(value any, rename func(string) string) any {
	switch value := value.(type) {
	case map[string]any:
		renamed := make(map[string]any, len(value))
		for name, field := range value {
			renamed[rename(name)] = renameAll(field, rename)
		}
		return renamed
	case []any:
		for i := range value {
			value[i] = renameAll(value[i], rename)
		}
	}
	return value
}

// toPlatform replaces each upper-case letter of a name by an underscore and the lower-case letter.
func toPlatform(name string) string {
	var b strings.Builder
	for _, letter := range name {
		if unicode.IsUpper(letter) {
			b.WriteByte('_')
		}
		b.WriteRune(unicode.ToLower(letter))
	}
	return b.String()
}

// fromPlatform is the inverse of toPlatform.
func fromPlatform(name string) string {
	parts := strings.Split(name, "_")
	for i, part := range parts[1:] {
		if part != "" {
			parts[i+1] = strings.ToUpper(part[:1]) + part[1:]
		}
	}
	return strings.Join(parts, "")
}

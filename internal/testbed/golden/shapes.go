package golden

import (
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Shape returns the JSON structure of v's type: one line per key path with its kind, sorted. List elements have the
// path PATH[], map values PATH{}. A struct nested in itself is expanded once; its inner occurrence is listed as
// "recursive".
func Shape(label string, v any) string {
	var lines []string
	appendShape(reflect.TypeOf(v), "", "", nil, &lines)
	slices.Sort(lines)
	return Lines(label, lines...)
}

var (
	timeType = reflect.TypeFor[time.Time]()
	rawType  = reflect.TypeFor[json.RawMessage]()
	jsonType = reflect.TypeFor[json.Marshaler]()
	textType = reflect.TypeFor[encoding.TextMarshaler]()
)

// appendShape appends the lines of type t at path to lines. options are the options of its json tag, outer the structs
// that enclose it.
func appendShape(t reflect.Type, path, options string, outer []reflect.Type, lines *[]string) {
	for t != nil && t.Kind() == reflect.Pointer {
		if t.Elem().Kind() != reflect.Struct {
			options += " or null"
		}
		t = t.Elem()
	}
	add := func(kind string) {
		shownPath := path
		if shownPath == "" {
			shownPath = "."
		}
		*lines = append(*lines, shownPath+" "+kind+options)
	}
	switch {
	case t == nil || t.Kind() == reflect.Interface:
		add("any")
	case t == timeType:
		add("time")
	case t == rawType:
		add("raw")
	case t.Implements(jsonType) || reflect.PointerTo(t).Implements(jsonType):
		add("custom")
	case t.Implements(textType) || reflect.PointerTo(t).Implements(textType):
		add("text")
	case t.Kind() == reflect.Struct:
		if slices.Contains(outer, t) {
			add("recursive")
			return
		}
		add("object")
		appendFields(t, path, append(slices.Clone(outer), t), lines)
	case t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Uint8:
		add("base64")
	case t.Kind() == reflect.Slice:
		add("list")
		appendShape(t.Elem(), path+"[]", "", outer, lines)
	case t.Kind() == reflect.Array:
		add("list of " + strconv.Itoa(t.Len()))
		appendShape(t.Elem(), path+"[]", "", outer, lines)
	case t.Kind() == reflect.Map:
		add("map by " + scalarKind(t.Key()))
		appendShape(t.Elem(), path+"{}", "", outer, lines)
	default:
		add(scalarKind(t))
	}
}

// scalarKind returns the JSON kind of a type without elements or fields.
func scalarKind(t reflect.Type) string {
	switch {
	case t.Kind() == reflect.String:
		return "string"
	case t.Kind() == reflect.Bool:
		return "bool"
	case t.Kind() >= reflect.Int && t.Kind() <= reflect.Int64:
		return "integer"
	case t.Kind() >= reflect.Uint && t.Kind() <= reflect.Uint64:
		return "unsigned"
	case t.Kind() == reflect.Float32 || t.Kind() == reflect.Float64:
		return "number"
	}
	return "no JSON (" + t.Kind().String() + ")"
}

// appendFields appends the lines of the fields that encoding/json encodes. Like there, an embedded struct without a key
// is replaced by its fields.
func appendFields(t reflect.Type, path string, outer []reflect.Type, lines *[]string) {
	for i := range t.NumField() {
		f := t.Field(i)
		tag := f.Tag.Get("json")
		key, rest, _ := strings.Cut(tag, ",")
		inner := f.Type
		if inner.Kind() == reflect.Pointer {
			inner = inner.Elem()
		}
		switch {
		case tag == "-":
			continue
		case f.Anonymous && key == "" && inner.Kind() == reflect.Struct:
			appendFields(inner, path, outer, lines)
			continue
		case !f.IsExported():
			continue
		case key == "":
			key = f.Name
		}
		options := ""
		if rest != "" {
			options = " " + rest
		}
		fieldPath := key
		if path != "" {
			fieldPath = path + "." + key
		}
		appendShape(f.Type, fieldPath, options, outer, lines)
	}
}

// Filled returns the JSON of a value of v's type whose exported fields are set to consecutive values, integers modulo
// 128. Unlike Shape it also pins the order of the keys and the output of custom marshalers.
func Filled(label string, v any) string {
	value, n := reflect.New(reflect.TypeOf(v)).Elem(), 0
	fill(value, &n, 0)
	data, err := json.Marshal(value.Addr().Interface())
	if err != nil {
		panic(err) // the test passed a type that cannot be encoded
	}
	return Lines(label+", filled", string(data))
}

// maxFillDepth is the depth from which lists, maps and pointers are left empty, so that recursive types end.
const maxFillDepth = 12

// fill sets v and its fields. n counts the values set so far.
func fill(v reflect.Value, n *int, depth int) {
	if !v.CanSet() {
		return
	}
	*n++
	switch {
	case v.Type() == timeType:
		v.Set(reflect.ValueOf(time.Unix(1e9, int64(*n)).UTC()))
		return
	case v.Type() == rawType:
		v.SetBytes([]byte(`{"raw":` + strconv.Itoa(*n) + `}`))
		return
	}
	switch v.Kind() {
	case reflect.String:
		v.SetString("s" + strconv.Itoa(*n))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(*n % 128))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*n % 128))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(*n) + 0.5)
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i), n, depth+1)
		}
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), n, depth+1)
		}
	case reflect.Pointer, reflect.Slice, reflect.Map:
		if depth < maxFillDepth {
			fillElement(v, n, depth)
		}
	}
}

// fillElement sets v, a pointer, slice or map, to one with a single filled element.
func fillElement(v reflect.Value, n *int, depth int) {
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), n, depth+1)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), n, depth+1)
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, n, depth+1)
		fill(value, n, depth+1)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	}
}

// Values lists the values of a struct's fields in order, without names. Nested structs are replaced by their fields.
func Values(label string, v any) string {
	var lines []string
	var list func(v reflect.Value)
	list = func(v reflect.Value) {
		for i := range v.NumField() {
			if f := v.Field(i); f.Kind() == reflect.Struct {
				list(f)
			} else {
				lines = append(lines, fmt.Sprintf("= %v", f))
			}
		}
	}
	list(reflect.ValueOf(v))
	return Lines(label, lines...)
}

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

// Shape is the JSON of v's type: a line for each path of keys with its kind, sorted by path. What a list holds is under
// PATH[], what a map holds under PATH{}. A type that is inside itself is told once, its inner place as "recursive".
func Shape(label string, v any) string {
	var lines []string
	walk(reflect.TypeOf(v), "", "", nil, &lines)
	slices.Sort(lines)
	return Lines(label, lines...)
}

var (
	timeType = reflect.TypeFor[time.Time]()
	rawType  = reflect.TypeFor[json.RawMessage]()
	jsonType = reflect.TypeFor[json.Marshaler]()
	textType = reflect.TypeFor[encoding.TextMarshaler]()
)

func walk(t reflect.Type, path, options string, outer []reflect.Type, lines *[]string) {
	for t != nil && t.Kind() == reflect.Pointer {
		if t.Elem().Kind() != reflect.Struct {
			options += " or null"
		}
		t = t.Elem()
	}
	add := func(kind string) {
		at := path
		if at == "" {
			at = "."
		}
		*lines = append(*lines, at+" "+kind+options)
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
		fields(t, path, append(slices.Clone(outer), t), lines)
	case t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Uint8:
		add("base64")
	case t.Kind() == reflect.Slice:
		add("list")
		walk(t.Elem(), path+"[]", "", outer, lines)
	case t.Kind() == reflect.Array:
		add("list of " + strconv.Itoa(t.Len()))
		walk(t.Elem(), path+"[]", "", outer, lines)
	case t.Kind() == reflect.Map:
		add("map by " + scalar(t.Key()))
		walk(t.Elem(), path+"{}", "", outer, lines)
	default:
		add(scalar(t))
	}
}

func scalar(t reflect.Type) string {
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

// fields walks what encoding/json writes of a struct; the fields of an embedded one without a key stand in its place.
func fields(t reflect.Type, path string, outer []reflect.Type, lines *[]string) {
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
			fields(inner, path, outer, lines)
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
		at := key
		if path != "" {
			at = path + "." + key
		}
		walk(f.Type, at, options, outer, lines)
	}
}

// Filled is the JSON of a value like v in which every exported field has a value, counted up (numbers modulo
// 128): it pins the order
// of the keys too, and what a method of the type makes of it.
func Filled(label string, v any) string {
	value, n := reflect.New(reflect.TypeOf(v)).Elem(), 0
	fill(value, &n, 0)
	data, err := json.Marshal(value.Addr().Interface())
	if err != nil {
		panic(err) // a body that cannot be encoded: the test has a wrong root
	}
	return Lines(label+", filled", string(data))
}

// deepest is where filling stops: under it lists, maps and pointers stay empty.
const deepest = 12

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
		if depth < deepest {
			fillInner(v, n, depth)
		}
	}
}

func fillInner(v reflect.Value, n *int, depth int) {
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

// Values lists the values of a struct in the order of its fields, without their names; embedded structs in their place.
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

// Package golden pins what a program shows to other processes and to its operators in text files that tests compare:
// shapes of JSON bodies, encoded values, commands and names. The texts hold labels given by the test, keys, kinds and
// values, never Go packages or names of Go types, so that they stay as they are when code is moved and renamed. The
// package imports nothing of crosstide: the tests inside any package may use it. Test with -update to write the files
// anew.
package golden

import (
	"encoding"
	"encoding/json"
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

var update = flag.Bool("update", false, "write the golden files anew")

// Compare fails unless the parts, in their order, are the text of testdata/NAME.golden. Example:
//
//	golden.Compare(t, "wire", golden.Shape("start call", StartCall{}))
func Compare(t *testing.T, name string, parts ...string) {
	t.Helper()
	got := strings.Join(parts, "\n")
	path := filepath.Join("testdata", name+".golden")
	if *update {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	kept, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if want := string(kept); got != want {
		t.Errorf("%s differs; what other processes, files or operators see has changed:\n%s", path, difference(want, got))
	}
}

// difference lists the lines that only one of two texts has, each under the newest heading before it.
func difference(want, got string) string {
	var out strings.Builder
	for _, side := range []struct{ sign, text, other string }{{"- ", want, got}, {"+ ", got, want}} {
		other, heading := headed(side.other), ""
		for _, line := range strings.Split(side.text, "\n") {
			if strings.HasPrefix(line, "# ") {
				heading = line
			}
			if !other[heading+"\n"+line] {
				fmt.Fprintf(&out, "%s%s: %s\n", side.sign, heading, line)
			}
		}
	}
	if out.Len() == 0 {
		return "the same lines in another order or number"
	}
	return out.String()
}

func headed(text string) map[string]bool {
	out, heading := map[string]bool{}, ""
	for _, line := range strings.Split(text, "\n") {
		if strings.HasPrefix(line, "# ") {
			heading = line
		}
		out[heading+"\n"+line] = true
	}
	return out
}

// Lines is a section of lines under a label, as they come.
func Lines(label string, lines ...string) string {
	return "# " + label + "\n" + strings.Join(append(lines, ""), "\n")
}

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

// Literals lists the string literals that match a pattern in the Go files under root that are no tests and not of a
// testbed, each once and sorted. Import paths are left out.
func Literals(t *testing.T, label, root, pattern string) string {
	t.Helper()
	match, found := regexp.MustCompile(pattern), map[string]bool{}
	each(t, root, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.ImportSpec:
			return false
		case *ast.BasicLit:
			if text, err := strconv.Unquote(n.Value); err == nil && n.Kind == token.STRING && match.MatchString(text) {
				found[text] = true
			}
		}
		return true
	})
	return Lines(label, sorted(found)...)
}

// Keys lists the names that the hand-written readers of a package may ask for: string literals that look like a key and
// are an argument of a call x.f(...) with x other than errs, a key of a composite literal, or the value of a constant or variable.
func Keys(t *testing.T, label, folder string) string {
	t.Helper()
	match, found := regexp.MustCompile(`^[a-z][a-z0-9]*(_[a-z0-9]+)*$`), map[string]bool{}
	take := func(e ast.Expr) {
		if lit, ok := e.(*ast.BasicLit); ok && lit.Kind == token.STRING {
			if text, err := strconv.Unquote(lit.Value); err == nil && match.MatchString(text) {
				found[text] = true
			}
		}
	}
	each(t, folder, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.CallExpr:
			if f, ok := n.Fun.(*ast.SelectorExpr); ok && fmt.Sprint(f.X) != "errs" {
				for _, arg := range n.Args {
					take(arg)
				}
			}
		case *ast.KeyValueExpr:
			take(n.Key)
		case *ast.ValueSpec:
			for _, value := range n.Values {
				take(value)
			}
		}
		return true
	})
	return Lines(label, sorted(found)...)
}

// each visits the code of the files under root, without tests, and without testbeds unless root is one.
func each(t *testing.T, root string, visit func(ast.Node) bool) {
	t.Helper()
	files := 0
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			t.Fatal(err)
		}
		if d.IsDir() && d.Name() == "testbed" && path != root {
			return fs.SkipDir
		}
		if d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		files++
		ast.Inspect(f, visit)
		return nil
	})
	if err != nil || files == 0 {
		t.Fatalf("%d files under %s: %v", files, root, err)
	}
}

func sorted(set map[string]bool) []string {
	out := make([]string, 0, len(set))
	for s := range set {
		out = append(out, s)
	}
	slices.Sort(out)
	return out
}

// Metrics lists the figures that collectors describe: names, help texts, labels.
func Metrics(label string, collectors ...prometheus.Collector) string {
	found := map[string]bool{}
	for _, c := range collectors {
		descs := make(chan *prometheus.Desc, 1000)
		c.Describe(descs)
		close(descs)
		for d := range descs {
			found[d.String()] = true
		}
	}
	return Lines(label, sorted(found)...)
}

// Descs is a collector, for Metrics, in place of one whose descriptions are known but not announced by its Describe.
type Descs []*prometheus.Desc

// Describe sends the descriptions.
func (d Descs) Describe(to chan<- *prometheus.Desc) {
	for _, desc := range d {
		to <- desc
	}
}

// Collect sends nothing: Metrics reads descriptions only.
func (Descs) Collect(chan<- prometheus.Metric) {}

// Registry is a prometheus.Registerer that keeps what is registered, for Metrics.
type Registry struct{ Collectors []prometheus.Collector }

// Register keeps c.
func (r *Registry) Register(c prometheus.Collector) error {
	r.Collectors = append(r.Collectors, c)
	return nil
}

// MustRegister keeps the collectors.
func (r *Registry) MustRegister(c ...prometheus.Collector) { r.Collectors = append(r.Collectors, c...) }

// Unregister does nothing and reports so.
func (*Registry) Unregister(prometheus.Collector) bool { return false }

// LogLines lists what stands in the calls x.Log(...) of the code under root, sorted: string literals as they are, other
// arguments as "_". So the keys and messages of log lines are pinned, not how often they stand in the code.
func LogLines(t *testing.T, label, root string) string {
	t.Helper()
	found := map[string]bool{}
	each(t, root, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		if f, ok := call.Fun.(*ast.SelectorExpr); !ok || f.Sel.Name != "Log" {
			return true
		}
		var words []string
		for _, arg := range call.Args {
			word := "_"
			if lit, ok := arg.(*ast.BasicLit); ok && lit.Kind == token.STRING {
				word = lit.Value
			}
			words = append(words, word)
		}
		found[strings.Join(words, " ")] = true
		return true
	})
	return Lines(label, sorted(found)...)
}

// Constants lists the string constants of the code under root: one line for each type of its own, its values in the
// order of the code, and one line for each value of the others. The lines are sorted and bear no names.
func Constants(t *testing.T, label, root string) string {
	t.Helper()
	found := map[string]bool{}
	visit := func(n ast.Node) bool {
		decl, ok := n.(*ast.GenDecl)
		if !ok || decl.Tok != token.CONST {
			return true
		}
		typed := map[string][]string{}
		for _, spec := range decl.Specs {
			value := spec.(*ast.ValueSpec)
			for _, v := range value.Values {
				lit, ok := v.(*ast.BasicLit)
				switch {
				case !ok || lit.Kind != token.STRING:
				case value.Type == nil:
					found["value "+lit.Value] = true
				default:
					name := fmt.Sprint(value.Type)
					typed[name] = append(typed[name], lit.Value)
				}
			}
		}
		for _, values := range typed {
			found["type "+strings.Join(values, " ")] = true
		}
		return true
	}
	each(t, root, visit)
	return Lines(label, sorted(found)...)
}

// Arguments lists the string literals that are the first argument of x.Get, x.Set, x.Add, x.Del, x.Values or x.PathValue
// in the code under root: headers and parameters of HTTP, as they come.
func Arguments(t *testing.T, label, root string) string {
	t.Helper()
	methods := []string{"Get", "Set", "Add", "Del", "Values", "PathValue"}
	found := map[string]bool{}
	each(t, root, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok || len(call.Args) == 0 {
			return true
		}
		f, ok := call.Fun.(*ast.SelectorExpr)
		if !ok || !slices.Contains(methods, f.Sel.Name) {
			return true
		}
		if lit, ok := call.Args[0].(*ast.BasicLit); ok && lit.Kind == token.STRING {
			found[lit.Value] = true
		}
		return true
	})
	return Lines(label, sorted(found)...)
}

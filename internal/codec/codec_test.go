package codec

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"crosstide/internal/errs"
)

// record has the kinds of fields that entries, snapshots and calls are made of.
type record struct {
	Name   string            `json:"n"`
	Count  uint64            `json:"c,omitempty"`
	Ratio  float64           `json:"r,omitempty"`
	Took   time.Duration     `json:"t,omitempty"`
	At     time.Time         `json:"at"`
	Raw    json.RawMessage   `json:"raw,omitempty"`
	Bytes  []byte            `json:"b,omitempty"`
	List   []record          `json:"l,omitempty"`
	Table  map[string]record `json:"m,omitempty"`
	Parent *record           `json:"p,omitempty"`
}

func drawRecord(t *rapid.T, depth int) record {
	r := record{
		Name:  rapid.String().Draw(t, "name"),
		Count: rapid.Uint64().Draw(t, "count"),
		Ratio: rapid.Float64Range(-1e12, 1e12).Draw(t, "ratio"),
		Took:  time.Duration(rapid.Int64().Draw(t, "took")),
		At:    time.Unix(rapid.Int64Range(0, 1<<33).Draw(t, "seconds"), rapid.Int64Range(0, 999999999).Draw(t, "nanoseconds")).UTC(),
		Bytes: rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "bytes"),
	}
	if depth == 0 {
		return r
	}
	for range rapid.IntRange(0, 3).Draw(t, "children") {
		r.List = append(r.List, drawRecord(t, depth-1))
	}
	inner := drawRecord(t, depth-1)
	raw, err := json.Marshal(inner)
	if err != nil {
		t.Fatal(err)
	}
	r.Raw, r.Parent, r.Table = raw, &inner, map[string]record{inner.Name: inner}
	return r
}

func TestDecodeReadsWhatTheStandardLibraryReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data, err := json.Marshal(drawRecord(t, 2))
		if err != nil {
			t.Fatal(err)
		}
		var standard, ours record
		if err := json.Unmarshal(data, &standard); err != nil {
			t.Fatal(err)
		}
		if err := Decode(data, &ours); err != nil {
			t.Fatal(err)
		}
		again, _ := json.Marshal(ours)
		expected, _ := json.Marshal(standard)
		if string(again) != string(expected) {
			t.Fatalf("%s is read as %s, not %s", data, again, expected)
		}
	})
}

func TestDecode(t *testing.T) {
	Convey("What is read stays as it is when the buffer is used again", t, func() {
		data := []byte(`{"n":"a name","raw":{"k":1},"b":"AQID"}`)
		var r record
		So(Decode(data, &r), ShouldBeNil)
		for i := range data {
			data[i] = 'x'
		}
		So(r.Name, ShouldEqual, "a name")
		So(string(r.Raw), ShouldEqual, `{"k":1}`)
		So(r.Bytes, ShouldResemble, []byte{1, 2, 3})
	})
	Convey("What cannot be read whole is malformed", t, func() {
		for _, text := range []string{``, `{`, `{"n":"a"`, `{"n":1}`, `{"n":"a"} more`, `{"c":-1}`, `{"at":"noon"}`, `[]`, `{"l":[{"n":"a"},]}`} {
			var r record
			So(errs.Is(Decode([]byte(text), &r), errs.Malformed), ShouldBeTrue)
		}
	})
}

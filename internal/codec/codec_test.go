package codec

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"crosstide/internal/errs"
)

// record has fields of all types that occur in entries, snapshots and calls.
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

// drawRecord draws a record that has others nested in it, up to depth levels.
func drawRecord(t *rapid.T, depth int) record {
	r := record{
		Name:  rapid.String().Draw(t, "name"),
		Count: rapid.Uint64().Draw(t, "count"),
		Ratio: rapid.Float64Range(-1e12, 1e12).Draw(t, "ratio"),
		Took:  time.Duration(rapid.Int64().Draw(t, "took")),
	}
	seconds := rapid.Int64Range(0, 1<<33).Draw(t, "seconds")
	nanoseconds := rapid.Int64Range(0, 999999999).Draw(t, "nanoseconds")
	r.At = time.Unix(seconds, nanoseconds).UTC()
	r.Bytes = rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "bytes")
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

// TestDecode_asStandardLibrary checks that Decode decodes any record as encoding/json does.
func TestDecode_asStandardLibrary(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data, err := json.Marshal(drawRecord(t, 2))
		if err != nil {
			t.Fatal(err)
		}
		var want, got record
		if err := json.Unmarshal(data, &want); err != nil {
			t.Fatal(err)
		}
		if err := Decode(data, &got); err != nil {
			t.Fatal(err)
		}
		wantText, _ := json.Marshal(want)
		gotText, _ := json.Marshal(got)
		if string(gotText) != string(wantText) {
			t.Fatalf("Decode(%s) = %s, want %s", data, gotText, wantText)
		}
	})
}

func TestDecode_keepsNoData(t *testing.T) {
	Convey("A decoded value does not change when the buffer is reused", t, func() {
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
}

func TestDecode_malformed(t *testing.T) {
	Convey("Data that is not, as a whole, valid JSON for the type is malformed", t, func() {
		for _, text := range []string{
			``, `{`, `{"n":"a"`, `{"n":1}`, `{"n":"a"} more`, `{"c":-1}`, `{"at":"noon"}`, `[]`, `{"l":[{"n":"a"},]}`,
		} {
			var r record
			So(errs.Is(Decode([]byte(text), &r), errs.Malformed), ShouldBeTrue)
		}
	})
}

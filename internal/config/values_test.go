package config

import (
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestReader_values(t *testing.T) {
	Convey("Numbers, times and lists of integers are read, or rejected with their field", t, func() {
		for _, c := range []struct{ text, field string }{
			{`{"x":1.5,"at":"2026-12-02T08:00:00+01:00","list":[1,2]}`, ""},
			{`{}`, ""},
			{`{"x":"1.5"}`, "x"},
			{`{"x":2.5}`, "x"},
			{`{"x":-0.1}`, "x"},
			{`{"at":5}`, "at"},
			{`{"at":"today"}`, "at"},
			{`{"list":3}`, "list"},
			{`{"list":[1,"2"]}`, "list[1]"},
			{`{"list":[1,2.5]}`, "list[1]"},
			{`{"list":[1,2,10]}`, "list[2]"},
		} {
			x, at, list := 0.0, time.Time{}, []int(nil)
			err := Parse([]byte(c.text), func(r *Reader) {
				r.Float("x", &x, 0, 2)
				r.Time("at", &at)
				r.Ints("list", &list, 0, 9)
			})
			var invalid ValidationErrors
			field := ""
			if errors.As(err, &invalid) {
				field = invalid[0].Field
			}
			So(c.text+" "+field, ShouldEqual, c.text+" "+c.field)
			if c.field != "" {
				So([]any{x, at.IsZero(), list}, ShouldResemble, []any{0.0, true, []int(nil)})
			}
		}
	})
	Convey("The targets are set to the values in the file", t, func() {
		x, at, list := 0.0, time.Time{}, []int(nil)
		So(Parse([]byte(`{"x":1.5,"at":"2026-12-02T08:00:00+01:00","list":[1,2]}`), func(r *Reader) {
			r.Float("x", &x, 0, 2)
			r.Time("at", &at)
			r.Ints("list", &list, 0, 9)
		}), ShouldBeNil)
		So([]any{x, at, list}, ShouldResemble, []any{1.5, time.Date(2026, 12, 2, 7, 0, 0, 0, time.UTC), []int{1, 2}})
	})
	Convey("A Reader without an object validates the number in its target", t, func() {
		x := 3.0
		So(checkSettings(func(r *Reader) { r.Float("x", &x, 0, 2) }), ShouldNotBeNil)
		So(checkSettings(func(r *Reader) { r.Float("x", &x, 0, 4) }), ShouldBeNil)
	})
}

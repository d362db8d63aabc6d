package config

import (
	"errors"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
)

// errorLines returns the text of each ValidationError in err, which must be errs.Settings.
func errorLines(err error) []string {
	var invalid ValidationErrors
	So(errs.KindOf(err), ShouldEqual, errs.Settings)
	So(errors.As(err, &invalid), ShouldBeTrue)
	So(err.Error(), ShouldContainSubstring, invalid.Error())
	return strings.Split(invalid.Error(), "\n")
}

func TestReader_errors(t *testing.T) {
	Convey("All errors are reported at once, each with its field, and leave their targets unchanged", t, func() {
		lease, number, on, names := 3*time.Second, 5, true, []string{"x"}
		var indexes []int
		text := `{"sched":{"lease":"3 monkeys","n":99},"names":["a",4],"each":[{"k":1},{"k":"2"}],"od":0}`
		err := Parse([]byte(text), func(r *Reader) {
			r.Require("sched")
			r.Object("sched", func(r *Reader) {
				r.Duration("lease", &lease, time.Second, time.Minute)
				r.Int("n", &number, 0, 10)
				r.Bool("on", &on)
			})
			r.Strings("names", &names)
			r.Each("each", func(i int, r *Reader) {
				r.Int("k", &number, 0, 10)
				indexes = append(indexes, i)
			})
		})
		So(errorLines(err), ShouldResemble, []string{
			`sched.lease: must be a duration like "3s", is "3 monkeys"`,
			`sched.n: must be from 0 to 10, is 99`,
			`names[1]: must be a string, is 4`,
			`each[1].k: must be a whole number, is "2"`,
			`od: is not a known field`,
		})
		So([]any{lease, on, names, indexes}, ShouldResemble, []any{3 * time.Second, true, []string{"x"}, []int{0, 1}})
	})
	Convey("A map of addresses with an invalid entry leaves its target unchanged", t, func() {
		const a, b = "10.0.0.1:1", "10.0.0.2:2"
		via := map[string]string{}
		into := func(r *Reader) { r.Map("via", &via, Address) }
		So(Parse([]byte(`{"via":{"`+a+`":"`+b+`"}}`), into), ShouldBeNil)
		So(via, ShouldResemble, map[string]string{a: b})
		So(errorLines(Parse([]byte(`{"via":{"`+a+`":7,"x":"`+b+`"}}`), into)), ShouldResemble, []string{
			"via." + a + ": must be a string, is 7", `via: must be an address like "10.0.0.7:7000", is "x"`})
		So(via, ShouldResemble, map[string]string{a: b})
	})
	Convey("Invalid JSON, wrong types, repeated fields and missing fields are errors", t, func() {
		into := func(r *Reader) {
			var s string
			r.Require("a")
			r.Addr("a", &s)
			r.Object("o", func(*Reader) {})
		}
		So(errorLines(Parse([]byte(`{"a":`), into))[0], ShouldStartWith, "must be JSON: ")
		So(errorLines(Parse([]byte(`[]`), into)), ShouldResemble, []string{"must be an object, is []"})
		So(errorLines(Parse([]byte(`{"o":1}`), into)), ShouldResemble,
			[]string{"a: must be given", "o: must be an object, is 1"})
		So(errorLines(Parse([]byte(`{"a":"1.2.3.4:5","a":"1.2.3.4:5"}`), into)), ShouldResemble,
			[]string{"a: is given more than once"})
		So(errorLines(Parse([]byte(`{"a":"host:5"}`), into)), ShouldResemble,
			[]string{`a: must be an address like "10.0.0.7:7000", is "host:5"`})
	})
}

package rpc

import (
	"bytes"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fastjson"

	"crosstide/internal/errs"
)

func TestParseJSON_strict(t *testing.T) {
	deep := 4 << 20 // without a limit on the nesting this overflows the stack, which ends the process
	for _, c := range []struct {
		name string
		body []byte
	}{
		{"empty", nil},
		{"cut short", []byte(`{"a":`)},
		{"invalid number", []byte(`{"a":NaN}`)},
		{"bad escape", []byte(`{"a":"\q"}`)},
		{"invalid UTF-8", []byte("\xff")},
		{"open arrays", bytes.Repeat([]byte("["), deep)},
		{"open objects", bytes.Repeat([]byte(`{"a":`), deep/5)},
		{"closed arrays", append(bytes.Repeat([]byte("["), deep/2), bytes.Repeat([]byte("]"), deep/2)...)},
	} {
		Convey("A body that is not strictly valid JSON is malformed, however deeply it is nested: "+c.name, t, func() {
			var parser fastjson.Parser
			_, err := ParseJSON(&parser, c.body)
			So(errs.KindOf(err), ShouldEqual, errs.Malformed)
		})
	}
	Convey("A valid body is parsed", t, func() {
		var parser fastjson.Parser
		value, err := ParseJSON(&parser, []byte(` {"a":[1,"x"]} `))
		So(err, ShouldBeNil)
		So(value.GetInt("a", "0"), ShouldEqual, 1)
	})
}

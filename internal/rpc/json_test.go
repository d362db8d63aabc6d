package rpc

import (
	"bytes"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fastjson"

	"crosstide/internal/errs"
)

func TestParseJSON(t *testing.T) {
	Convey("A body that is no strict JSON is malformed, however deep it is nested", t, func() {
		deep := 4 << 20 // without a bound on the nesting this overflows the stack, which ends the process
		for name, body := range map[string][]byte{
			"empty": nil, "cut short": []byte(`{"a":`), "no number": []byte(`{"a":NaN}`), "bad escape": []byte(`{"a":"\q"}`),
			"no UTF-8": []byte("\xff"), "arrays": bytes.Repeat([]byte("["), deep), "objects": bytes.Repeat([]byte(`{"a":`), deep/5),
			"closed arrays": append(bytes.Repeat([]byte("["), deep/2), bytes.Repeat([]byte("]"), deep/2)...),
		} {
			var parser fastjson.Parser
			_, err := ParseJSON(&parser, body)
			So(fmt.Sprint(name, ": ", errs.KindOf(err)), ShouldEqual, fmt.Sprint(name, ": ", errs.Malformed))
		}
	})
	Convey("A value is given as it stands", t, func() {
		var parser fastjson.Parser
		value, err := ParseJSON(&parser, []byte(` {"a":[1,"x"]} `))
		So(err, ShouldBeNil)
		So(value.GetInt("a", "0"), ShouldEqual, 1)
	})
}

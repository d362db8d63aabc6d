package rpc

import (
	"unicode/utf8"

	"github.com/valyala/fastjson"

	"crosstide/internal/errs"
)

// ParseJSON parses the body of a call strictly. The value is valid until the next use of parser. Failure: Malformed;
// its cause quotes the body.
//
// The parser runs first because it limits the nesting depth. The validator, which rejects values that the parser
// accepts (NaN, invalid escapes), has no such limit: its time is quadratic in the depth, and its stack grows with it.
func ParseJSON(parser *fastjson.Parser, body []byte) (*fastjson.Value, error) {
	if !utf8.Valid(body) {
		return nil, errs.New(errs.Malformed, "the body is not UTF-8")
	}
	value, err := parser.ParseBytes(body)
	if err == nil {
		err = fastjson.ValidateBytes(body)
	}
	if err != nil {
		return nil, errs.Wrap(err, errs.Malformed, "the body is not valid JSON")
	}
	return value, nil
}

package rpc

import (
	"unicode/utf8"

	"github.com/valyala/fastjson"

	"crosstide/internal/errs"
)

// ParseJSON parses a call's body strictly; the value is valid until the parser's next use. The parser runs first, as it
// bounds the nesting; the validation after it rejects what the parser accepts (NaN, invalid escapes), in time that
// grows with the square of the nesting, and stack with it. Failure: errs.Malformed; its cause quotes the body.
func ParseJSON(parser *fastjson.Parser, body []byte) (*fastjson.Value, error) {
	if !utf8.Valid(body) {
		return nil, errs.New(errs.Malformed, "the body is not UTF-8")
	}
	value, err := parser.ParseBytes(body)
	if err == nil {
		err = fastjson.ValidateBytes(body)
	}
	if err != nil {
		return nil, errs.Wrap(err, errs.Malformed, "the body is no JSON")
	}
	return value, nil
}

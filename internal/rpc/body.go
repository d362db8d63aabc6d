package rpc

import (
	"bytes"
	"io"
	"net/http"

	"crosstide/internal/errs"
)

// ReadBody reads the body of a request into a new slice. Failures: TooLarge if its declared or actual length is more
// than limit bytes, Malformed if it cannot be read to its end.
func ReadBody(r *http.Request, limit int64) ([]byte, error) {
	var buf bytes.Buffer
	if err := readInto(&buf, r.Body, r.ContentLength, limit); err != nil {
		return nil, errs.Pass(err, "request")
	}
	return buf.Bytes(), nil
}

// readInto appends body to buf, with the limit and the failures of ReadBody. length is the declared length, negative if
// unknown.
func readInto(buf *bytes.Buffer, body io.Reader, length, limit int64) error {
	if length > limit {
		return errs.New(errs.TooLarge, "the body has %d bytes, the limit is %d", length, limit)
	}
	if body == nil {
		return nil
	}
	buf.Grow(int(max(length, 0)) + bytes.MinRead)
	n, err := buf.ReadFrom(io.LimitReader(body, limit+1))
	if err != nil {
		return errs.Wrap(err, errs.Malformed, "read the body")
	}
	if n > limit {
		return errs.New(errs.TooLarge, "the body exceeds the limit of %d bytes", limit)
	}
	return nil
}

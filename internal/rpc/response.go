package rpc

import (
	"crosstide/internal/errs"
	"net/http"
)

// tap counts what an answer carries.
type tap struct {
	http.ResponseWriter
	out   int
	kind  errs.Kind
	begun bool
}

// Unwrap lets http.ResponseController reach the connection.
func (t *tap) Unwrap() http.ResponseWriter { return t.ResponseWriter }

// WriteHeader records that the answer has begun and passes the status on.
func (t *tap) WriteHeader(status int) {
	t.begun = true
	t.ResponseWriter.WriteHeader(status)
}

// Write counts the bytes of the answer and passes them on.
func (t *tap) Write(b []byte) (int, error) {
	t.begun = true
	n, err := t.ResponseWriter.Write(b)
	t.out += max(n, 0)
	if err != nil {
		return n, errs.Wrap(err, errs.Unavailable, "write the answer")
	}
	return n, nil
}

// probe takes an answer's head only.
type probe struct {
	head   http.Header
	status int
}

// Header is part of http.ResponseWriter.
func (p *probe) Header() http.Header { return p.head }

// Write discards the body.
func (p *probe) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader records the status.
func (p *probe) WriteHeader(status int) { p.status = status }

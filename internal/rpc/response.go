package rpc

import (
	"net/http"

	"crosstide/internal/errs"
)

// responseRecorder counts what an answer carries.
type responseRecorder struct {
	http.ResponseWriter
	bodyBytes   int
	errorKind   errs.Kind
	wroteHeader bool
}

// Unwrap lets http.ResponseController reach the connection.
func (t *responseRecorder) Unwrap() http.ResponseWriter { return t.ResponseWriter }

// WriteHeader records that the answer has begun and passes the status on.
func (t *responseRecorder) WriteHeader(status int) {
	t.wroteHeader = true
	t.ResponseWriter.WriteHeader(status)
}

// Write counts the bytes of the answer and passes them on.
func (t *responseRecorder) Write(b []byte) (int, error) {
	t.wroteHeader = true
	n, err := t.ResponseWriter.Write(b)
	t.bodyBytes += max(n, 0)
	if err != nil {
		return n, errs.Wrap(err, errs.Unavailable, "write the answer")
	}
	return n, nil
}

// headRecorder takes an answer's head only.
type headRecorder struct {
	head   http.Header
	status int
}

// Header is part of http.ResponseWriter.
func (p *headRecorder) Header() http.Header { return p.head }

// Write discards the body.
func (p *headRecorder) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader records the status.
func (p *headRecorder) WriteHeader(status int) { p.status = status }

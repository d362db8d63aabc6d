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
func (r *responseRecorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// WriteHeader records that the answer has begun and passes the status on.
func (r *responseRecorder) WriteHeader(status int) {
	r.wroteHeader = true
	r.ResponseWriter.WriteHeader(status)
}

// Write counts the bytes of the answer and passes them on.
func (r *responseRecorder) Write(b []byte) (int, error) {
	r.wroteHeader = true
	n, err := r.ResponseWriter.Write(b)
	r.bodyBytes += max(n, 0)
	if err != nil {
		return n, errs.Wrap(err, errs.Unavailable, "write the answer")
	}
	return n, nil
}

// headRecorder records the head of an answer and discards its body.
type headRecorder struct {
	head   http.Header
	status int
}

// Header is part of http.ResponseWriter.
func (h *headRecorder) Header() http.Header { return h.head }

// Write discards the body.
func (*headRecorder) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader records the status.
func (h *headRecorder) WriteHeader(status int) { h.status = status }

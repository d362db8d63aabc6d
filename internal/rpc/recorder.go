package rpc

import (
	"net/http"

	"crosstide/internal/errs"
)

// responseRecorder forwards a response and records the values that the metrics need.
type responseRecorder struct {
	http.ResponseWriter
	bodyBytes   int       // bytes of the body written so far
	errorKind   errs.Kind // set by writeFailure; empty: not an error response
	wroteHeader bool      // the status was written and can no longer change
}

// Unwrap lets http.ResponseController reach the connection.
func (r *responseRecorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// WriteHeader records that the status was written and forwards it.
func (r *responseRecorder) WriteHeader(status int) {
	r.wroteHeader = true
	r.ResponseWriter.WriteHeader(status)
}

// Write counts the bytes of the response and forwards them.
func (r *responseRecorder) Write(b []byte) (int, error) {
	r.wroteHeader = true
	n, err := r.ResponseWriter.Write(b)
	r.bodyBytes += max(n, 0)
	if err != nil {
		return n, errs.Wrap(err, errs.Unavailable, "write the response")
	}
	return n, nil
}

// headRecorder records the status and header of a response that is not sent.
type headRecorder struct {
	head   http.Header
	status int
}

// Header implements http.ResponseWriter.
func (h *headRecorder) Header() http.Header { return h.head }

// Write implements http.ResponseWriter; it discards the body.
func (*headRecorder) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader implements http.ResponseWriter.
func (h *headRecorder) WriteHeader(status int) { h.status = status }

package rpc

import (
	"net/http"

	"crosstide/internal/errs"
)

// responseRecorder records what the metrics of a request need while it passes the answer on.
type responseRecorder struct {
	http.ResponseWriter
	bodyBytes   int       // of the body, written so far
	errorKind   errs.Kind // set by writeFailure; empty: the answer is no error
	wroteHeader bool      // the answer has begun: its status cannot change any more
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

// headRecorder records the head of an answer that is not sent.
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

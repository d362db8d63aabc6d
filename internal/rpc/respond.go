package rpc

import (
	"net/http"
	"strconv"
	"time"

	"crosstide/internal/errs"
)

// WriteError writes err as an error response: the status of its kind (errs.ReplyOf), Retry-After in whole seconds,
// rounded up, if the error or its kind has a retry time, and JSON of its kind, field, message and hint. Causes are not
// sent.
func WriteError(w http.ResponseWriter, err error) {
	failure := errs.Of(err)
	if failure == nil {
		failure = errs.Of(errs.New(errs.Internal, "no error given"))
	}
	writeFailure(w, failure, errs.ReplyOf(failure.Kind).Status)
}

// writeFailure is WriteError with an explicit status, which may differ from that of the kind.
func writeFailure(w http.ResponseWriter, failure *errs.Error, status int) {
	kind := knownKind(failure.Kind)
	if after := firstPositive(failure.RetryAfter, errs.ReplyOf(kind).RetryAfter); after > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt(int64((after+time.Second-1)/time.Second), 10))
	}
	if recorder, ok := w.(*responseRecorder); ok {
		recorder.errorKind = kind
	}
	WriteJSON(w, status, errorBody{Kind: kind, Field: failure.Field, Message: failure.Message, Hint: failure.Hint})
}

// writeMethodRejected answers a request whose method is not allowed at its path.
func writeMethodRejected(w http.ResponseWriter, r *http.Request) {
	failure := &errs.Error{Kind: errs.Invalid, Field: "method", Message: r.Method + " is not allowed at this path"}
	writeFailure(w, failure, http.StatusMethodNotAllowed)
}

// maxEncodings is the number of responses that a process encodes at the same time.
const maxEncodings = 2

// encodings has an element for each response that is being encoded. Encoding needs only the processor, so more at the
// same time would not be faster; each holds its response twice until the connection has reserved memory for it.
var encodings = make(chan struct{}, maxEncodings)

// WriteJSON writes a response with a status and v as JSON, or with errs.Internal if v cannot be encoded.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	if err := encodeTo(w, status, v); err != nil {
		WriteError(w, err) // no endless recursion: an error body can always be encoded
	}
}

// encodeTo encodes v and writes it, and returns the error if it cannot be encoded. Nothing in it waits for the peer.
func encodeTo(w http.ResponseWriter, status int, v any) error {
	encodings <- struct{}{}
	defer func() { <-encodings }()
	f := takeFrame(0)
	defer f.free()
	if err := f.encode(v); err != nil {
		return errs.Pass(err, "response")
	}
	writeBytes(w, status, f.buf.Bytes())
	return nil
}

// writeBytes writes a response with a status and a body that is JSON.
func writeBytes(w http.ResponseWriter, status int, body []byte) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // an error means that the client is gone
}

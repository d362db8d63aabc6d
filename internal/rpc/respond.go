package rpc

import (
	"net/http"
	"strconv"
	"time"

	"crosstide/internal/errs"
)

// WriteError answers an error: with the status of its kind (errs.ReplyOf), Retry-After in whole seconds, rounded up, if
// it has a time to retry, and the JSON of its kind, field, message and hint. Causes are not sent.
func WriteError(w http.ResponseWriter, err error) {
	failure := errs.Of(err)
	if failure == nil {
		failure = errs.Of(errs.New(errs.Internal, "no error given"))
	}
	writeFailure(w, failure, errs.ReplyOf(failure.Kind).Status)
}

// writeFailure is WriteError with a status that may differ from that of the kind.
func writeFailure(w http.ResponseWriter, failure *errs.Error, status int) {
	kind := knownKind(failure.Kind)
	if after := firstPositive(failure.After, errs.ReplyOf(kind).After); after > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt(int64((after+time.Second-1)/time.Second), 10))
	}
	if recorder, ok := w.(*responseRecorder); ok {
		recorder.errorKind = kind
	}
	WriteJSON(w, status, errorBody{Kind: kind, Field: failure.Field, Message: failure.Message, Hint: failure.Hint})
}

// writeMethodRejected answers a request with a method that is not allowed at its path.
func writeMethodRejected(w http.ResponseWriter, r *http.Request) {
	failure := &errs.Error{Kind: errs.Invalid, Field: "method", Message: r.Method + " is not taken here"}
	writeFailure(w, failure, http.StatusMethodNotAllowed)
}

// WriteJSON answers with a status and v as JSON; with errs.Internal if v cannot be encoded.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	f := takeFrame(0)
	defer f.free()
	if err := f.encode(v); err != nil {
		WriteError(w, err) // no endless recursion: an error body can always be encoded
		return
	}
	writeBytes(w, status, f.buf.Bytes())
}

// writeBytes answers with a status and a body of JSON.
func writeBytes(w http.ResponseWriter, status int, body []byte) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // an error means that the client is gone
}

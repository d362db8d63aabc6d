package rpc

import (
	"net/http"
	"strconv"
	"time"

	"crosstide/internal/errs"
)

// WriteError answers err: the status of its kind in the table of errs, Retry-After in whole seconds (rounded up, at
// least 1) where there is one, and the body {"kind","field","message"}, plus "hint" if set. Causes are not sent.
func WriteError(w http.ResponseWriter, err error) {
	failure := errs.Of(err)
	if failure == nil {
		failure = errs.Of(errs.New(errs.Internal, "no error given"))
	}
	writeFailure(w, failure, errs.ReplyOf(failure.Kind).Status)
}

// writeFailure answers a failure with a status, which may differ from its kind's.
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

// writeMethodRejected answers a request whose method the path does not take.
func writeMethodRejected(w http.ResponseWriter, r *http.Request) {
	failure := &errs.Error{Kind: errs.Invalid, Field: "method", Message: r.Method + " is not taken here"}
	writeFailure(w, failure, http.StatusMethodNotAllowed)
}

// WriteJSON answers v as JSON with the given status. A v that cannot be encoded is answered as an internal failure.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	f := takeFrame(0)
	defer f.free()
	if err := f.encode(v); err != nil {
		WriteError(w, err) // an error body always encodes: this does not come back here
		return
	}
	writeBytes(w, status, f.buf.Bytes())
}

func writeBytes(w http.ResponseWriter, status int, body []byte) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // a client that is gone runs into its own time-out
}

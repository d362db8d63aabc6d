// Package rpc is crosstide's HTTP/1.1 with JSON: pairs of call and answer types behind one generic handler,
// and the callers that ask them. The server is nbio's nbhttp. The callers are blocking TCP connections of the
// standard library: nbhttp's client hands bytes to its event loop and may keep them in a user-space buffer,
// and its Timeout still delivers a late answer; neither is fit for a lease check right before the write.
package rpc

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"crosstide/internal/errs"
)

// MaxBody is the default bound on a body of an internal call or answer, in bytes.
const MaxBody = 64 << 20

// Endpoint names a call by its path and fixes its types: POST Path, body the JSON of C, answer the JSON of A.
// Fields that a side does not know are passed over, so that versions can be mixed. Example:
//
//	var Vote = rpc.Endpoint[Ballot, Verdict]{Path: "/store/vote"}
type Endpoint[C, A any] struct{ Path string }

// errorBody is the JSON body of a failure.
type errorBody struct {
	Kind    errs.Kind `json:"kind"`
	Field   string    `json:"field"`
	Message string    `json:"message"`
	Hint    string    `json:"hint,omitempty"`
}

// WriteError answers err: the status of its kind in the table of errs, Retry-After in whole seconds (rounded up,
// at least 1) where there is one, and the body {"kind","field","message"}, plus "hint" if set. Causes are not sent.
func WriteError(w http.ResponseWriter, err error) {
	f := errs.Of(err)
	if f == nil {
		f = errs.Of(errs.New(errs.Internal, "no error given"))
	}
	writeError(w, f, errs.ReplyOf(f.Kind).Status)
}

func writeError(w http.ResponseWriter, f *errs.Error, status int) {
	kind := knownKind(f.Kind)
	if after := firstPositive(f.After, errs.ReplyOf(kind).After); after > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt(int64((after+time.Second-1)/time.Second), 10))
	}
	if t, ok := w.(*responseRecorder); ok {
		t.errorKind = kind
	}
	WriteJSON(w, status, errorBody{Kind: kind, Field: f.Field, Message: f.Message, Hint: f.Hint})
}

func firstPositive(a, b time.Duration) time.Duration {
	if a > 0 {
		return a
	}
	return b
}

var kinds = errs.Kinds()

// knownKind maps a kind outside of the closed list to Internal.
func knownKind(k errs.Kind) errs.Kind {
	if slices.Contains(kinds, k) {
		return k
	}
	return errs.Internal
}

// WriteJSON answers v as JSON with the given status. A v that cannot be encoded is answered as an internal failure.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	f := takeFrame(0)
	defer f.free()
	if err := f.encode(v); err != nil {
		WriteError(w, err) // a reply of strings always encodes: this does not come back here
		return
	}
	writeBytes(w, status, f.buf.Bytes())
}

func writeBytes(w http.ResponseWriter, status int, body []byte) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // a caller that is gone runs into its own time-out
}

// ReadBody reads a body of at most limit bytes; the bytes are the caller's own. A declared or real length over
// limit is errs.TooLarge, a broken body errs.Malformed.
func ReadBody(r *http.Request, limit int64) ([]byte, error) {
	var buf bytes.Buffer
	if err := readInto(&buf, r.Body, r.ContentLength, limit); err != nil {
		return nil, errs.Pass(err, "request")
	}
	return buf.Bytes(), nil
}

// readInto appends body to buf, up to limit bytes; length is the declared one, below 0 if there is none.
func readInto(buf *bytes.Buffer, body io.Reader, length, limit int64) error {
	if length > limit {
		return errs.New(errs.TooLarge, "the body has %d bytes, at most %d are taken", length, limit)
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
		return errs.New(errs.TooLarge, "the body has more than %d bytes", limit)
	}
	return nil
}

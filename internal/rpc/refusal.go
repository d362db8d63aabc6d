package rpc

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"crosstide/internal/errs"
)

// refusal is a reason to answer a request before it is read, or to end a connection.
type refusal struct {
	cause   string // in metrics and log lines
	status  int    // 0: the connection ends without a response
	kind    errs.Kind
	message string
}

// The closed list of refusals.
var (
	headTooLarge = refusal{"head_too_large", http.StatusRequestHeaderFieldsTooLarge, errs.TooLarge,
		"the head of the request is too large"}
	bodyTooLarge = refusal{"body_too_large", http.StatusRequestEntityTooLarge, errs.TooLarge,
		"the body of the request is too large"}
	tooFarAhead = refusal{"requests_ahead", http.StatusServiceUnavailable, errs.Unavailable,
		"too many requests wait on this connection"}
	malformedRequest = refusal{"malformed", http.StatusBadRequest, errs.Malformed, "the request is not valid HTTP"}
	outOfMemory      = refusal{"memory", http.StatusServiceUnavailable, errs.Unavailable,
		"this node has no memory for the request now"}
	connectionRefused = refusal{cause: "connections"}
	evicted           = refusal{cause: "evicted"}
	answersUnread     = refusal{cause: "answers_unread"}
	timedOut          = refusal{cause: "timeout"}
)

// text returns the response to the refused request.
func (r *refusal) text() []byte {
	var body bytes.Buffer
	if err := json.NewEncoder(&body).Encode(errorBody{Kind: r.kind, Message: r.message}); err != nil {
		body.Reset() // an error body can always be encoded
	}
	var text bytes.Buffer
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Type: application/json\r\n",
		r.status, http.StatusText(r.status))
	fmt.Fprintf(&text, "Content-Length: %d\r\n", body.Len())
	if after := errs.ReplyOf(r.kind).RetryAfter; after > 0 {
		fmt.Fprintf(&text, "Retry-After: %d\r\n", int64(after.Seconds()))
	}
	text.WriteString("\r\n")
	text.Write(body.Bytes())
	return text.Bytes()
}

// refuse answers the request that is being received, after all earlier ones, and ends the connection. Further bytes are
// ignored.
func (c *serverConn) refuse(r *refusal) {
	c.countRefusal(r)
	c.isIgnoring.Store(true)
	c.parser.CloseAndClean(nil) // frees what the parser holds of the request
	*c.incoming = incoming{}
	c.release(c.arrived)
	c.arrived = 0
	if r.status == 0 {
		c.terminate()
		return
	}
	answer := func() {
		_, _ = c.Write(r.text()) // an error means that the peer is gone
		_ = c.Close()            // never fails
	}
	if !c.Conn.Execute(answer) {
		c.terminate()
	}
}

// refusalLogInterval is the shortest time between two log lines about refusals.
const refusalLogInterval = time.Second

// countRefusal counts a refusal and logs it, at most one per refusalLogInterval and server.
func (c *serverConn) countRefusal(r *refusal) {
	s := c.server
	s.metrics.refused.WithLabelValues(r.cause).Inc()
	now := s.opt.Clock.Now()
	last := s.refusalLoggedAt.Load()
	if last != 0 && now-time.Duration(last) < refusalLogInterval ||
		!s.refusalLoggedAt.CompareAndSwap(last, int64(now)) {
		return
	}
	_ = level.Warn(s.opt.Logger).Log("msg", "request refused", "cause", r.cause, "peer", c.RemoteAddr())
}

package rpc

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"crosstide/internal/codec"
	"crosstide/internal/errs"
)

// Call sends call to addr (host:port) and returns the answer. timeout runs on the client's clock and includes the wait
// for a connection and the dial. If it expires or ctx ends, Call resets the connection and fails as Timeout. Other
// failures: Unavailable for a refused or broken connection; Stopped for a closed client; TooLarge for a response over
// ClientOptions.MaxBody; Malformed for an answer that is not valid JSON for A; and errors that the peer returns, with
// their kind, field, message, hint and RetryAfter. IsUnsent tells whether a failed call was not sent, IsRemote whether
// the peer returned the error. Example:
//
//	verdict, err := rpc.Call(ctx, client, "10.0.0.7:7000", Vote, ballot, 500*time.Millisecond)
func Call[C, A any](
	ctx context.Context, c *Client, addr string, e Endpoint[C, A], call C, timeout time.Duration,
) (A, error) {
	var answer, zero A
	if err := c.CallInto(ctx, addr, e.Path, call, &answer, timeout); err != nil {
		return zero, errs.Pass(err, "pooled connection")
	}
	return answer, nil
}

// CallInto is Call for a caller that handles endpoints of several types: answer is a pointer to a value of the answer's
// type. After an error the value may hold a part of the answer.
func (c *Client) CallInto(ctx context.Context, addr, path string, call, answer any, timeout time.Duration) error {
	t := transfer{addr: addr, path: path, method: http.MethodPost, timeout: timeout}
	return errs.Pass(c.roundTrip(ctx, c, t, call, answer), "call %s", path)
}

// headBytes is the maximum length of the head of a request, without its path and address.
const headBytes = 160

// roundTrip encodes call, sends it as t over a connection of source, and decodes the answer. It fills in t.request and
// t.response.
func (c *Client) roundTrip(ctx context.Context, source connectionSource, t transfer, call, answer any) error {
	c.metrics.calls.WithLabelValues(t.path).Inc()
	headroom := len(t.path) + len(t.addr) + headBytes
	requestFrame, responseFrame := takeFrame(headroom), takeFrame(0)
	defer requestFrame.free()
	defer responseFrame.free()
	err := requestFrame.encode(call)
	if err == nil {
		t.request, t.response = requestFrame.prependHead(headroom, t.path, t.addr), &responseFrame.buf
		err = c.transferCall(ctx, source, t)
	} else {
		err = errs.Pass(&marked[unsent]{err}, "encode the call")
	}
	if err == nil {
		err = errs.Wrap(codec.Decode(responseFrame.buf.Bytes(), answer), errs.Malformed,
			"the answer of %s at %s", t.path, t.addr)
	}
	if err != nil {
		c.metrics.failures.WithLabelValues(t.path, string(knownKind(errs.KindOf(err)))).Inc()
	}
	return errs.Pass(err, "call")
}

// transferCall is transfer for a call: it returns a response with a status other than 200 as an error.
func (c *Client) transferCall(ctx context.Context, source connectionSource, t transfer) error {
	response, err := c.transfer(ctx, source, t)
	if err != nil {
		return errs.Pass(err, "send")
	}
	if response.StatusCode == http.StatusOK {
		return nil
	}
	return errs.Pass(decodeError(response, t.response.Bytes()), "%s at %s", t.path, t.addr)
}

// prependHead writes the head of a request into the headroom of the frame, right before the body, and returns the whole
// request, so that a single write sends it.
func (f *frame) prependHead(headroom int, path, addr string) []byte {
	buffered := f.buf.Bytes()
	head := make([]byte, 0, headroom)
	head = append(append(head, "POST "...), path...)
	head = append(append(head, " HTTP/1.1\r\nHost: "...), addr...)
	head = append(head, "\r\nContent-Type: application/json\r\nContent-Length: "...)
	head = strconv.AppendInt(head, int64(len(buffered)-headroom), 10)
	head = append(head, "\r\n\r\n"...)
	start := headroom - len(head)
	copy(buffered[start:], head)
	return buffered[start:]
}

// decodeError returns the error of a response with a status other than 200. An error decoded from an error body is
// marked for IsRemote. A response without an error body does not come from the peer but from something in between, such
// as a proxy: its error is Unavailable for a status of 500 or above, otherwise Internal.
func decodeError(response *http.Response, body []byte) error {
	var b errorBody
	if err := json.Unmarshal(body, &b); err != nil || b.Kind == "" {
		kind := errs.Internal
		if response.StatusCode >= http.StatusInternalServerError {
			kind = errs.Unavailable
		}
		return errs.New(kind, "status %d without an error body", response.StatusCode)
	}
	failure := &errs.Error{Kind: knownKind(b.Kind), Field: b.Field, Message: b.Message, Hint: b.Hint}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil && seconds > 0 {
		failure.RetryAfter = time.Duration(seconds) * time.Second
	}
	return &marked[remote]{failure}
}

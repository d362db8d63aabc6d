package rpc

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"crosstide/internal/codec"
	"crosstide/internal/errs"
)

// connectionSource lends connections to calls.
type connectionSource interface {
	acquire(ctx context.Context, addr string) (*connection, error)
	release(l *connection, reusable bool) // whole: the call succeeded up to its last byte, so the connection may be used again
	isClosed() bool
}

var errTimeout = errors.New("no answer in time")

func (k *Client) call(ctx context.Context, h connectionSource, addr, path string, call, answer any, timeout time.Duration, beforeWrite func() error) error {
	k.metrics.calls.WithLabelValues(path).Inc()
	headroom := len(path) + len(addr) + 160
	out, in := takeFrame(headroom), takeFrame(0)
	defer out.free()
	defer in.free()
	err := out.encode(call)
	if err == nil {
		err = k.callFrame(ctx, h, addr, path, out.prependHead(headroom, path, addr), &in.buf, timeout, beforeWrite)
	} else {
		err = errs.Pass(&unsentError{err}, "the call")
	}
	if err == nil {
		err = errs.Wrap(codec.Decode(in.buf.Bytes(), answer), errs.Malformed, "the answer of %s at %s", path, addr)
	}
	if err != nil {
		k.metrics.failures.WithLabelValues(path, string(knownKind(errs.KindOf(err)))).Inc()
	}
	return errs.Pass(err, "call")
}

// callFrame makes one call of a pair: an answer other than 200 is returned as the failure in it.
func (k *Client) callFrame(ctx context.Context, h connectionSource, addr, path string, out []byte, in *bytes.Buffer, timeout time.Duration, beforeWrite func() error) error {
	t := transfer{addr: addr, path: path, method: http.MethodPost, request: out, response: in, timeout: timeout, beforeWrite: beforeWrite}
	res, err := k.transfer(ctx, h, t)
	if err != nil {
		return errs.Pass(err, "send")
	}
	if res.StatusCode == http.StatusOK {
		return nil
	}
	return errs.Pass(decodeError(res, in.Bytes()), "%s at %s", path, addr)
}

// prependHead writes the request's head right before the body, into the room kept for it, and returns the whole request.
func (f *frame) prependHead(headroom int, path, addr string) []byte {
	reusable := f.buf.Bytes()
	b := make([]byte, 0, headroom)
	b = append(append(b, "POST "...), path...)
	b = append(append(b, " HTTP/1.1\r\nHost: "...), addr...)
	b = append(b, "\r\nContent-Type: application/json\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(reusable)-headroom), 10)
	b = append(b, "\r\n\r\n"...)
	start := headroom - len(b)
	copy(reusable[start:], b)
	return reusable[start:]
}

// transfer is one request as it goes out, and the buffer that takes the body of its response.
type transfer struct {
	addr, path, method string
	request            []byte // head and body
	response           *bytes.Buffer
	timeout            time.Duration
	beforeWrite        func() error // before each write; nil: none
}

// transfer sends a request once and reads the whole response, of any status, over a connection of source.
func (k *Client) transfer(ctx context.Context, source connectionSource, t transfer) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if t.timeout <= 0 {
		cancel(errTimeout)
	} else {
		defer k.opt.Clock.Set(t.timeout, func() { cancel(errTimeout) }).Stop()
	}
	conn, err := source.acquire(ctx, t.addr)
	if err != nil {
		return nil, errs.Pass(t.classifyError(ctx, source, &unsentError{err}), "connect")
	}
	reusable := false
	stop := context.AfterFunc(ctx, conn.reset)
	defer func() { source.release(conn, stop() && reusable) }()

	sent, refused, err := t.write(ctx, conn)
	k.metrics.out.Add(float64(sent))
	if refused != nil {
		return nil, errs.Pass(markUnsent(refused, sent), "%s at %s: held back before the write", t.path, t.addr)
	}
	if err != nil {
		return nil, errs.Pass(t.classifyError(ctx, source, markUnsent(err, sent)), "write the call")
	}
	res, err := conn.response(t.method)
	if err != nil {
		return nil, errs.Pass(t.classifyError(ctx, source, err), "read the answer's head")
	}
	err = readInto(t.response, res.Body, res.ContentLength, k.opt.MaxBody)
	k.metrics.in.Add(float64(t.response.Len()))
	if errs.Is(err, errs.TooLarge) {
		return nil, errs.Pass(err, "the answer of %s at %s", t.path, t.addr)
	}
	if err != nil {
		return nil, errs.Pass(t.classifyError(ctx, source, err), "read the answer")
	}
	reusable = !res.Close && conn.reader.Buffered() == 0
	return res, nil
}

// write writes the request and returns the number of bytes that the kernel took. refused is the error by which
// t.beforeWrite stopped the writing, nil if it did not.
func (t transfer) write(ctx context.Context, conn *connection) (sent int, refused, err error) {
	err = conn.write(t.request, &sent, func() error {
		if context.Cause(ctx) != nil {
			return errs.Wrap(context.Cause(ctx), errs.Timeout, "before the write")
		}
		if t.beforeWrite == nil {
			return nil
		}
		if refused = t.beforeWrite(); refused != nil {
			return errs.Pass(refused, "held back")
		}
		return nil
	})
	return sent, refused, errs.Pass(err, "request")
}

// classifyError gives an error of the connection its kind: Timeout, Stopped or Unavailable.
func (t transfer) classifyError(ctx context.Context, source connectionSource, err error) error {
	switch {
	case context.Cause(ctx) != nil:
		return errs.Wrap(errors.Join(context.Cause(ctx), err), errs.Timeout, "%s at %s: over after at most %s", t.path, t.addr, t.timeout)
	case source.isClosed():
		return errs.Wrap(err, errs.Stopped, "%s at %s: closed on our side", t.path, t.addr)
	}
	return errs.Wrap(err, errs.Unavailable, "%s at %s", t.path, t.addr)
}

// markUnsent marks err for Unsent if not one byte was sent.
func markUnsent(err error, sent int) error {
	if sent == 0 {
		return &unsentError{err}
	}
	return err
}

// decodeError makes the failure of an answer other than 200; a failure of ours is marked for Answered.
func decodeError(res *http.Response, body []byte) error {
	var r errorBody
	if err := json.Unmarshal(body, &r); err != nil || r.Kind == "" {
		kind := errs.Internal
		if res.StatusCode >= http.StatusInternalServerError {
			kind = errs.Unavailable
		}
		return errs.New(kind, "status %d without an error body", res.StatusCode)
	}
	f := &errs.Error{Kind: knownKind(r.Kind), Field: r.Field, Message: r.Message, Hint: r.Hint}
	if s, err := strconv.Atoi(res.Header.Get("Retry-After")); err == nil && s > 0 {
		f.After = time.Duration(s) * time.Second
	}
	return &remoteError{f}
}

package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"crosstide/internal/errs"
)

const (
	maxAnswerBytes  = 16 << 20 // a longer answer is cut off without an error
	idleConnTimeout = 30 * time.Second
)

// Reply is an answer over HTTP, whatever its status.
type Reply struct {
	Status     int
	RetryAfter time.Duration // from the header Retry-After, 0 without one
	Body       []byte
}

// IsSuccess reports whether the status is 2xx.
func (r Reply) IsSuccess() bool { return r.Status >= 200 && r.Status < 300 }

// IsRefusal reports whether the call was refused permanently: a retry, or another node, would get the same answer.
func (r Reply) IsRefusal() bool {
	return !r.IsSuccess() && r.Status < http.StatusInternalServerError &&
		r.Status != http.StatusTooManyRequests && r.Status != http.StatusMisdirectedRequest
}

// ErrorKind returns the kind of error in the body, or "status N" if the body has none.
func (r Reply) ErrorKind() string {
	var failure errs.Error
	if json.Unmarshal(r.Body, &failure) == nil && failure.Kind != "" {
		return string(failure.Kind)
	}
	return "status " + strconv.Itoa(r.Status)
}

// Caller calls the public APIs of a fleet. It may be used from many goroutines.
type Caller struct{ client *http.Client }

// NewCaller returns a Caller with at most conns connections to each node. It returns redirects as replies and does not
// follow them.
func NewCaller(conns int) *Caller {
	return &Caller{&http.Client{
		Transport: &http.Transport{MaxConnsPerHost: conns, MaxIdleConnsPerHost: conns,
			IdleConnTimeout: idleConnTimeout},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}}
}

// Call sends one request, with in encoded as JSON unless it is nil, and reads the answer within timeout. It returns a
// Reply for every status. Failures: Internal (in cannot be encoded), Timeout (no complete answer; the node may still
// have carried the request out). Example:
//
//	reply, err := caller.Call(ctx, http.MethodGet, node.Addr, "/v1/who", nil, time.Second)
func (c *Caller) Call(ctx context.Context, method, addr, path string, in any, timeout time.Duration) (Reply, error) {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return Reply{}, errs.Wrap(err, errs.Internal, "encode the body for %s", path)
		}
	}
	reply, err := c.Send(ctx, method, addr, path, body, timeout)
	return reply, errs.Pass(err, "call")
}

// Send is like Call, but sends body unchanged, even if it is not valid JSON.
func (c *Caller) Send(ctx context.Context, method, addr, path string, body []byte,
	timeout time.Duration) (Reply, error) {
	ctx, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return Reply{}, errs.Wrap(err, errs.Internal, "request to %s%s", addr, path)
	}
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.client.Do(req)
	if err != nil {
		var failed *url.Error // unwrapped: its text contains the URL, whose query may hold a signature
		if errors.As(err, &failed) {
			err = failed.Err
		}
		return Reply{}, errs.Wrap(err, errs.Timeout, "%s %s%s", method, addr, req.URL.Path)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return Reply{}, errs.Wrap(err, errs.Timeout, "read the answer of %s%s", addr, req.URL.Path)
	}
	reply := Reply{Status: resp.StatusCode, Body: data}
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && s > 0 {
		reply.RetryAfter = time.Duration(s * float64(time.Second))
	}
	return reply, nil
}

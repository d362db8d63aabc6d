package rpc

import (
	"bytes"
	"context"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"crosstide/internal/errs"
)

// Request is a plain HTTP/1.1 request, for a peer that does not serve Endpoints.
type Request struct {
	Method string
	Path   string // as sent, including the query
	Header map[string]string
	Body   []byte
}

// Response is the response to a Request, of any status.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// exchangeLabel replaces the path of plain requests in the metrics, as the number of their paths is unbounded.
const exchangeLabel = "exchange"

// Do sends r once to addr (host:port) over a pooled connection and returns the response, whatever its status. timeout
// has the same meaning as for Call. Failures: Timeout; Unavailable for a refused or broken connection; Stopped for a
// closed client; Invalid for a request that cannot be encoded; TooLarge for a response over ClientOptions.MaxBody.
// IsUnsent tells whether a failed request was not sent. Example:
//
//	response, err := client.Do(ctx, "10.0.0.7:7000", rpc.Request{Method: "GET", Path: "/state"}, time.Second)
func (c *Client) Do(ctx context.Context, addr string, r Request, timeout time.Duration) (Response, error) {
	c.metrics.calls.WithLabelValues(exchangeLabel).Inc()
	requestFrame, responseFrame := takeFrame(0), takeFrame(0)
	defer requestFrame.free()
	defer responseFrame.free()
	response, err := c.sendRequest(ctx, addr, r, timeout, &requestFrame.buf, &responseFrame.buf)
	if err != nil {
		c.metrics.failures.WithLabelValues(exchangeLabel, string(knownKind(errs.KindOf(err)))).Inc()
		return Response{}, errs.Pass(err, "%s %s", r.Method, r.Path)
	}
	return Response{
		Status: response.StatusCode, Header: response.Header, Body: bytes.Clone(responseFrame.buf.Bytes()),
	}, nil
}

// sendRequest encodes r into requestBuf, sends it, and reads the body of the response into responseBuf.
func (c *Client) sendRequest(
	ctx context.Context, addr string, r Request, timeout time.Duration, requestBuf, responseBuf *bytes.Buffer,
) (*http.Response, error) {
	if err := r.validate(); err != nil {
		return nil, errs.Pass(&marked[unsent]{err}, "encode the request")
	}
	r.encode(requestBuf, addr)
	t := transfer{
		addr: addr, path: r.Path, method: r.Method,
		request: requestBuf.Bytes(), response: responseBuf, timeout: timeout,
	}
	response, err := c.transfer(ctx, c, t)
	return response, errs.Pass(err, "exchange")
}

// validate rejects a request that cannot be encoded, such as one with a line break in a header. Failure: Invalid.
func (r Request) validate() error {
	if r.Method == "" || strings.ContainsAny(r.Method, " \t\r\n") {
		return errs.Field(errs.Invalid, "method", "%q is not a valid method", r.Method)
	}
	if !strings.HasPrefix(r.Path, "/") || strings.ContainsAny(r.Path, " \t\r\n") {
		return errs.Field(errs.Invalid, "path", "%q is not a valid path", r.Path)
	}
	for name, value := range r.Header {
		if name == "" || strings.ContainsAny(name, ": \t\r\n") || strings.ContainsAny(value, "\r\n") {
			return errs.Field(errs.Invalid, "header", "%q has an invalid name or value", name)
		}
	}
	return nil
}

// encode writes the request to a buffer, with the headers sorted by name. Host is addr unless a header sets it;
// Content-Length is always the length of the body.
func (r Request) encode(to *bytes.Buffer, addr string) {
	host := addr
	to.WriteString(r.Method + " " + r.Path + " HTTP/1.1\r\n")
	for _, name := range slices.Sorted(maps.Keys(r.Header)) {
		switch http.CanonicalHeaderKey(name) {
		case "Host":
			host = r.Header[name]
		case "Content-Length":
		default:
			to.WriteString(name + ": " + r.Header[name] + "\r\n")
		}
	}
	to.WriteString("Host: " + host + "\r\n")
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		to.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	to.WriteString("\r\n")
	to.Write(r.Body)
}

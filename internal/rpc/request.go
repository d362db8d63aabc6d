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

// Request is a plain HTTP/1.1 request, for a peer whose interface is no Endpoint.
type Request struct {
	Method string
	Path   string // as it is sent, with its query
	Header map[string]string
	Body   []byte
}

// Response is the response to a Request, of any status.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// exchangeLabel replaces the path in the metrics, as there is no bound on the paths of plain requests.
const exchangeLabel = "exchange"

// Do sends r once to addr (host:port) over a pooled connection and returns the response; no status is an error. It ends
// at the latest after timeout on the client's clock, or with ctx: the connection is then closed with a reset. Failures:
// Timeout; Unavailable for a refused or broken connection; Stopped for a closed client; Invalid for a request that
// cannot be encoded; TooLarge for a response over MaxBody. IsUnsent reports which requests were not sent. Example:
//
//	response, err := client.Do(ctx, "10.0.0.7:7000", rpc.Request{Method: "GET", Path: "/state"}, time.Second)
func (c *Client) Do(ctx context.Context, addr string, r Request, timeout time.Duration) (Response, error) {
	c.metrics.calls.WithLabelValues(exchangeLabel).Inc()
	out, in := takeFrame(0), takeFrame(0)
	defer out.free()
	defer in.free()
	response, err := c.sendRequest(ctx, addr, r, timeout, &out.buf, &in.buf)
	if err != nil {
		c.metrics.failures.WithLabelValues(exchangeLabel, string(knownKind(errs.KindOf(err)))).Inc()
		return Response{}, errs.Pass(err, "%s %s", r.Method, r.Path)
	}
	return Response{Status: response.StatusCode, Header: response.Header, Body: bytes.Clone(in.buf.Bytes())}, nil
}

// sendRequest encodes r into out, sends it, and reads the body of the response into in.
func (c *Client) sendRequest(
	ctx context.Context, addr string, r Request, timeout time.Duration, out, in *bytes.Buffer,
) (*http.Response, error) {
	if err := r.validate(); err != nil {
		return nil, errs.Pass(&marked[unsent]{err}, "the request")
	}
	r.encode(out, addr)
	t := transfer{addr: addr, path: r.Path, method: r.Method, request: out.Bytes(), response: in, timeout: timeout}
	response, err := c.transfer(ctx, c, t)
	return response, errs.Pass(err, "exchange")
}

// validate rejects what cannot be encoded, as line breaks in the head. Failure: Invalid.
func (r Request) validate() error {
	if r.Method == "" || strings.ContainsAny(r.Method, " \t\r\n") {
		return errs.Field(errs.Invalid, "method", "%q is no method", r.Method)
	}
	if !strings.HasPrefix(r.Path, "/") || strings.ContainsAny(r.Path, " \t\r\n") {
		return errs.Field(errs.Invalid, "path", "%q is no path", r.Path)
	}
	for name, value := range r.Header {
		if name == "" || strings.ContainsAny(name, ": \t\r\n") || strings.ContainsAny(value, "\r\n") {
			return errs.Field(errs.Invalid, "header", "%q cannot be sent", name)
		}
	}
	return nil
}

// encode writes the request to a buffer, the headers in order of their names. Host is addr unless a header sets it;
// Content-Length always is that of the body.
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

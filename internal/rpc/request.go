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

// Request is a plain HTTP/1.1 request to a peer that has no Endpoint.
type Request struct {
	Method string
	Path   string // with its query, as it is sent
	Header map[string]string
	Body   []byte
}

// Response is the whole response to a Request, of any status.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// exchangeLabel replaces the path in the counters: paths of plain requests are not a closed list.
const exchangeLabel = "exchange"

// Do sends r once to addr (host:port) over the pooled connections and returns the response; no status is an error. It
// ends at the latest after timeout, or with ctx: the connection is closed with a reset and the error is errs.Timeout. A
// refused or broken connection is errs.Unavailable, a closed client errs.Stopped, a request that cannot be sent
// errs.Invalid, a response over MaxBody errs.TooLarge. See IsUnsent for requests of which no byte was handed to the
// kernel. Example:
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

// sendRequest encodes r into out and reads the body of its response into in.
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

// validate rejects what would break the request's head.
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

// encode writes the request, the headers in order of name. It sets Host, unless a header does, and Content-Length.
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

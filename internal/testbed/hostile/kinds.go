package hostile

import (
	"fmt"
	"slices"
	"strings"
)

// Target is a port on which a group of clients presses.
type Target struct {
	Addr string // host:port
	Host string // value of the header Host
	// UnknownPath is a path without a route.
	UnknownPath string
	// AnswerPath is a path at which GET has a long answer, as far as the port has one.
	AnswerPath string
	// BodyPath returns the path of the request with number i, to which POST may bring a body.
	BodyPath func(i int) string
	// BodyHeader is a header line for requests to BodyPath; it may be empty.
	BodyHeader string
	// CancelPath returns the path of a different item for each i, at which DELETE is allowed; nil: the port has none.
	CancelPath func(i int) string
	// LargeItem returns the path and the body of a new item that is valid and needs much memory; nil: the port has
	// none.
	LargeItem func() (path, body string)
}

// Kind is one way to misbehave. A client sends Start and then pieces without end, and reads no answer.
type Kind struct {
	Name  string
	Start func(t Target) string
	// Piece returns the piece with number i. If it is nil, the client sends nothing after Start.
	Piece func(t Target, i int) string
	// HalfClose makes the client end its side of the connection after Start.
	HalfClose bool
	// Connections is the number of connections that each client holds open at the same time; 0: one.
	Connections int
}

const (
	announcedBytes  = 60_000_000 // of a body that is far over every limit
	chunkBytes      = 32 << 10
	pieceBytes      = 32 << 10 // of a piece that is one long text
	allowedBodySize = 200_000  // bytes of a body that is within the clients' limit
	heldConnections = 20       // of each client that only holds connections
)

// longText returns a piece that repeats a text.
func longText(text string) func(Target, int) string {
	piece := strings.Repeat(text, pieceBytes/len(text))
	return func(Target, int) string { return piece }
}

// head returns the first lines of a request, without the empty line at the end.
func head(method, path string, t Target, lines ...string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: " + t.Host + "\r\n" + strings.Join(append(lines, ""), "\r\n")
}

func bodyStart(lines ...string) func(Target) string {
	return func(t Target) string {
		all := append([]string{}, lines...)
		if t.BodyHeader != "" {
			all = append(all, t.BodyHeader)
		}
		return head("POST", t.BodyPath(0), t, all...) + "\r\n"
	}
}

func text(s string) func(Target) string { return func(Target) string { return s } }

// Kinds returns the kinds of heads, bodies and connections that every port may meet.
func Kinds() []Kind {
	return slices.Concat(headKinds(), bodyKinds(), aheadKinds(), connectionKinds(), itemKinds())
}

// ByName returns the kind with a name. It panics if the name is unknown.
func ByName(name string) Kind {
	for _, kind := range Kinds() {
		if kind.Name == name {
			return kind
		}
	}
	panic("unknown kind " + name)
}

func headKinds() []Kind {
	return []Kind{
		{Name: "method without end", Start: text(""), Piece: longText("G")},
		{Name: "path without end", Start: text("GET /"), Piece: longText("a")},
		{Name: "version without end", Start: text("GET / HTTP"), Piece: longText("1")},
		{Name: "blanks without end", Start: text("GET "), Piece: longText(" ")},
		{Name: "empty lines without end", Start: text(""), Piece: longText("\r\n")},
		{Name: "header line without end", Piece: longText("a"),
			Start: func(t Target) string { return head("GET", t.UnknownPath, t) + "X-Long: " }},
		{Name: "header lines without end", Piece: headerLines,
			Start: func(t Target) string { return head("GET", t.UnknownPath, t) }},
	}
}

// headerLines returns header lines with names of their own.
func headerLines(_ Target, i int) string {
	const lines = 1000
	var b strings.Builder
	for line := range lines {
		fmt.Fprintf(&b, "a%07x:\r\n", i*lines+line)
	}
	return b.String()
}

func bodyKinds() []Kind {
	announced := bodyStart(fmt.Sprintf("Content-Length: %d", announcedBytes))
	chunked := bodyStart("Transfer-Encoding: chunked")
	chunk := fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, strings.Repeat("x", chunkBytes))
	return []Kind{
		{Name: "announced body", Start: announced, Piece: longText("x")},
		{Name: "chunks without end", Start: chunked, Piece: func(Target, int) string { return chunk }},
		{Name: "one chunk without end", Start: func(t Target) string { return chunked(t) + "fffffff\r\n" },
			Piece: longText("x")},
		{Name: "chunks of one byte", Start: chunked, Piece: longText("1\r\nx\r\n")},
		{Name: "size line without end", Start: func(t Target) string { return chunked(t) + "1;" },
			Piece: longText("a")},
		{Name: "trailer without end", Piece: longText("a"), Start: func(t Target) string {
			return bodyStart("Transfer-Encoding: chunked", "Trailer: X-Sum")(t) + "0\r\nX-Sum: "
		}},
		{Name: "many values", Start: text(""), Piece: manyValues},
	}
}

// manyValues returns a whole request with a JSON body within the clients' limit that has very many small values.
func manyValues(t Target, i int) string {
	body := "[" + strings.Repeat("0,", allowedBodySize/2) + "0]"
	lines := []string{fmt.Sprintf("Content-Length: %d", len(body)), "Content-Type: application/json"}
	if t.BodyHeader != "" {
		lines = append(lines, t.BodyHeader)
	}
	return head("POST", t.BodyPath(i), t, lines...) + "\r\n" + body
}

func aheadKinds() []Kind {
	requests := func(method string, path func(Target, int) string) func(Target, int) string {
		const count = 100
		return func(t Target, i int) string {
			var b strings.Builder
			for request := range count {
				b.WriteString(head(method, path(t, i*count+request), t) + "\r\n")
			}
			return b.String()
		}
	}
	return []Kind{
		{Name: "requests ahead without a route", Start: text(""),
			Piece: requests("GET", func(t Target, _ int) string { return t.UnknownPath })},
		{Name: "requests ahead with long answers", Start: text(""),
			Piece: requests("GET", func(t Target, _ int) string { return t.AnswerPath })},
		{Name: "cancellations ahead", Start: text(""), Piece: requests("DELETE", func(t Target, i int) string {
			if t.CancelPath == nil {
				return t.UnknownPath
			}
			return t.CancelPath(i)
		})},
	}
}

func itemKinds() []Kind {
	return []Kind{{Name: "large items", Start: text(""), Piece: func(t Target, _ int) string {
		if t.LargeItem == nil {
			return ""
		}
		path, body := t.LargeItem()
		return head("POST", path, t, fmt.Sprintf("Content-Length: %d", len(body))) + "\r\n" + body
	}}}
}

func connectionKinds() []Kind {
	return []Kind{
		{Name: "idle connections", Start: text(""), Connections: heldConnections},
		{Name: "half a head", Start: text("GET / HTTP/1.1\r\nHos"), Connections: heldConnections},
		{Name: "half a body", Start: bodyStart("Content-Length: 1000"), Connections: heldConnections},
		{Name: "half-closed connections", HalfClose: true, Connections: heldConnections,
			Start: func(t Target) string { return head("GET", t.UnknownPath, t) + "\r\n" }},
		{Name: "answers that nobody reads", Connections: heldConnections,
			Start: func(t Target) string { return head("GET", t.AnswerPath, t) + "\r\n" }},
	}
}

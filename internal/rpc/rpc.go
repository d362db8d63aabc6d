// Package rpc makes and serves calls between processes: HTTP/1.1 with JSON bodies. An Endpoint fixes the types of a
// call and its answer. The package defines no endpoints and does not retry: a call is sent at most once, and its error
// tells whether the peer may have seen it (IsUnsent) and whether the peer returned it (IsRemote).
//
// Handle registers endpoints on a Server, Route other routes; the server then runs from Start to Stop, with a goroutine
// for each request. A Client makes calls with Call over pooled connections, and with CallDedicated over a connection
// that nothing else uses. A ConnLimiter limits the connections of all servers and clients of a process. Each server and
// client has its own ConnQuota: a server rejects connections beyond it (admission control), a client waits for one.
//
// The server is nbio's nbhttp. The client uses blocking TCP connections of the standard library, not nbhttp's client:
// that one passes bytes to its event loop, which may keep them in a user-space buffer, while a lease must be checked
// right before the write; it also delivers answers after their timeout.
//
// Entry points: call.go and transfer.go for clients, server.go and handle.go for servers.
package rpc

import (
	"slices"

	"crosstide/internal/errs"
)

// MaxBody is the default limit of the body of a call or response, in bytes.
const MaxBody = 64 << 20

// Endpoint describes a call by its path and types: POST Path with the JSON of C, answered by the JSON of A. Both
// sides ignore unknown fields, so that versions can be mixed. Example:
//
//	var Vote = rpc.Endpoint[Ballot, Verdict]{Path: "/store/vote"}
type Endpoint[C, A any] struct{ Path string }

// errorBody is the JSON body of an error response.
type errorBody struct {
	Kind    errs.Kind `json:"kind"`
	Field   string    `json:"field"`
	Message string    `json:"message"`
	Hint    string    `json:"hint,omitempty"`
}

// kinds is the closed list of error kinds.
var kinds = errs.Kinds()

// knownKind returns k, or Internal if k is not in the closed list: a peer must not add label values to the metrics.
func knownKind(k errs.Kind) errs.Kind {
	if slices.Contains(kinds, k) {
		return k
	}
	return errs.Internal
}

// firstPositive returns a if it is above 0, b otherwise.
func firstPositive[T ~int | ~int64](a, b T) T {
	if a > 0 {
		return a
	}
	return b
}

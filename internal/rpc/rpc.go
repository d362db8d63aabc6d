// Package rpc makes and serves calls between processes: HTTP/1.1 with JSON bodies. An Endpoint fixes the types of a
// call and its answer. The package defines no endpoint and retries nothing: a call is sent once or not at all, and its
// error shows whether the peer may have seen it (IsUnsent) and who returned it (IsRemote).
//
// A Server gets its endpoints by Handle and other routes by Route, and then runs from Start to Stop; each request has
// its own goroutine. A Client makes calls with Call over pooled connections; CallDedicated makes them over a connection
// that is shared with nothing else. A ConnLimiter bounds the connections of all servers and clients of a process. Each
// has a ConnQuota of it: a server rejects connections beyond its quota (admission control), a client waits for one.
//
// The server is nbio's nbhttp. A client has blocking TCP connections of the standard library: nbhttp's own client hands
// bytes to its event loop and may keep them in a user-space buffer, and delivers an answer after its time-out, while
// the check of a lease must run right before the write.
//
// Begin to read at call.go and transfer.go for clients, at server.go and handle.go for servers.
package rpc

import (
	"slices"

	"crosstide/internal/errs"
)

// MaxBody is the default bound on the body of a call or answer, in bytes.
const MaxBody = 64 << 20

// Endpoint is a call by its path and types: POST Path with the JSON of C, answered by the JSON of A. Either side
// ignores fields that it does not know, so that versions can be mixed. Example:
//
//	var Vote = rpc.Endpoint[Ballot, Verdict]{Path: "/store/vote"}
type Endpoint[C, A any] struct{ Path string }

// errorBody is the JSON body of an answer that is an error.
type errorBody struct {
	Kind    errs.Kind `json:"kind"`
	Field   string    `json:"field"`
	Message string    `json:"message"`
	Hint    string    `json:"hint,omitempty"`
}

// kinds is the closed list of kinds.
var kinds = errs.Kinds()

// knownKind returns k, or Internal if k is not in the closed list: a peer must not add labels to the metrics.
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

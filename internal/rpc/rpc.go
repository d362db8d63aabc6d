// Package rpc is crosstide's HTTP/1.1 with JSON: endpoints, which are pairs of call and answer types, behind one
// generic handler, and the clients that call them. It knows no endpoint and retries nothing: a call is sent once or not
// at all, and its error says whether the peer may have seen it (IsUnsent) and who returned it (IsRemote).
//
// A Server takes endpoints by Handle and other routes by Route, then Start; each request runs on a goroutine of its
// own. A Client makes calls by Call over pooled connections, or by CallDedicated over one of their own. A ConnLimiter
// bounds the connections of all servers and clients of a process: each has a ConnQuota of it, by which servers admit
// connections (admission control) and clients wait for one.
//
// The server is nbio's nbhttp. The clients are blocking TCP connections of the standard library: nbhttp's client hands
// bytes to its event loop and may keep them in a user-space buffer, and its Timeout still delivers a late answer;
// neither is fit for a lease check right before the write.
//
// Begin to read at call.go and transfer.go for clients, at server.go and handle.go for servers.
package rpc

import (
	"slices"

	"crosstide/internal/errs"
)

// MaxBody is the default bound on a body of an internal call or answer, in bytes.
const MaxBody = 64 << 20

// Endpoint names a call by its path and fixes its types: POST Path, body the JSON of C, answer the JSON of A. Fields
// that a side does not know are ignored, so that versions can be mixed. Example:
//
//	var Vote = rpc.Endpoint[Ballot, Verdict]{Path: "/store/vote"}
type Endpoint[C, A any] struct{ Path string }

// errorBody is the JSON body of a failure.
type errorBody struct {
	Kind    errs.Kind `json:"kind"`
	Field   string    `json:"field"`
	Message string    `json:"message"`
	Hint    string    `json:"hint,omitempty"`
}

var kinds = errs.Kinds()

// knownKind maps a kind outside of the closed list to Internal.
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

package rpc

import "errors"

// IsUnsent reports whether err comes from a call that failed before the kernel accepted its first byte: the peer cannot
// have seen the call, so it may be sent again.
func IsUnsent(err error) bool { return isMarked[unsent](err) }

// IsQuotaExhausted reports whether err comes from a call that got no connection within the client's own quota, whatever
// the state of the peer. IsUnsent is true for it too.
func IsQuotaExhausted(err error) bool { return isMarked[quotaExhausted](err) }

// IsRemote reports whether err is an error response of the peer, from its handler or its server.
func IsRemote(err error) bool { return isMarked[remote](err) }

// mark is a property of a call's error; its label begins the error's text.
type mark interface{ label() string }

type (
	unsent         struct{}
	quotaExhausted struct{}
	remote         struct{}
)

func (unsent) label() string         { return "not sent" }
func (quotaExhausted) label() string { return "connection quota exhausted" }
func (remote) label() string         { return "answered" }

// marked is an error with a mark. An error may have several marks, such as unsent and quotaExhausted.
type marked[M mark] struct{ cause error }

// Error returns the label of the mark and the text of the cause.
func (e *marked[M]) Error() string {
	var m M
	return m.label() + ": " + e.cause.Error()
}

// Unwrap returns the error without this mark.
func (e *marked[M]) Unwrap() error { return e.cause }

// isMarked reports whether err, or an error that it wraps, has the mark.
func isMarked[M mark](err error) bool {
	var e *marked[M]
	return errors.As(err, &e)
}

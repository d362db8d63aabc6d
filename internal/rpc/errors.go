package rpc

import "errors"

// IsUnsent reports whether a call certainly failed before its first byte was handed to the kernel: the peer cannot have
// seen it, so it may be sent again.
func IsUnsent(err error) bool { return isMarked[unsent](err) }

// IsQuotaExhausted reports whether a call failed because its own process had no quota for one more connection: it says
// nothing of the peer. IsUnsent holds for it too.
func IsQuotaExhausted(err error) bool { return isMarked[quotaExhausted](err) }

// IsRemote reports whether err is a failure that the peer's handler (or its server) returned as the answer.
func IsRemote(err error) bool { return isMarked[remote](err) }

// mark is what a call's error is marked with; its label begins the error's text.
type mark interface{ label() string }

type (
	unsent         struct{}
	quotaExhausted struct{}
	remote         struct{}
)

func (unsent) label() string         { return "not sent" }
func (quotaExhausted) label() string { return "no room" }
func (remote) label() string         { return "answered" }

// marked is an error with a mark. One error may carry several marks, as unsent and quotaExhausted.
type marked[M mark] struct{ cause error }

// Error is the cause's text after the mark's label.
func (e *marked[M]) Error() string {
	var m M
	return m.label() + ": " + e.cause.Error()
}

// Unwrap returns the error under the mark.
func (e *marked[M]) Unwrap() error { return e.cause }

func isMarked[M mark](err error) bool {
	var e *marked[M]
	return errors.As(err, &e)
}

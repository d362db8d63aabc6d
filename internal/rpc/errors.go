package rpc

import "errors"

// IsUnsent reports whether a call certainly failed before its first byte was handed to the kernel.
func IsUnsent(err error) bool {
	var u *unsentError
	return errors.As(err, &u)
}

type unsentError struct{ cause error }

// Error says what kept the call from being sent.
func (u *unsentError) Error() string { return "not sent: " + u.cause.Error() }

// Unwrap returns the error under the mark.
func (u *unsentError) Unwrap() error { return u.cause }

// IsQuotaExhausted reports whether a call failed because its own process had no room for one more connection: it says nothing of the
// peer. Unsent holds for it too.
func IsQuotaExhausted(err error) bool {
	var n *quotaError
	return errors.As(err, &n)
}

type quotaError struct{ cause error }

// Error says which share of the connections is used up.
func (n *quotaError) Error() string { return "no room: " + n.cause.Error() }

// Unwrap returns the error under the mark.
func (n *quotaError) Unwrap() error { return n.cause }

// IsRemote reports whether err is a failure that the peer's handler (or its server) returned as the answer.
func IsRemote(err error) bool {
	var a *remoteError
	return errors.As(err, &a)
}

type remoteError struct{ cause error }

// Error says with which error the peer answered.
func (a *remoteError) Error() string { return "answered: " + a.cause.Error() }

// Unwrap returns the error under the mark.
func (a *remoteError) Unwrap() error { return a.cause }

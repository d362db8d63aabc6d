package rpc

import "errors"

// Unsent reports whether a call certainly failed before its first byte was handed to the kernel.
func Unsent(err error) bool {
	var u *unsent
	return errors.As(err, &u)
}

type unsent struct{ cause error }

// Error says what kept the call from being sent.
func (u *unsent) Error() string { return "not sent: " + u.cause.Error() }

// Unwrap returns the error under the mark.
func (u *unsent) Unwrap() error { return u.cause }

// NoRoom reports whether a call failed because its own process had no room for one more connection: it says nothing of the
// peer. Unsent holds for it too.
func NoRoom(err error) bool {
	var n *noRoom
	return errors.As(err, &n)
}

type noRoom struct{ cause error }

// Error says which share of the connections is used up.
func (n *noRoom) Error() string { return "no room: " + n.cause.Error() }

// Unwrap returns the error under the mark.
func (n *noRoom) Unwrap() error { return n.cause }

// Answered reports whether err is a failure that the peer's handler (or its server) returned as the answer.
func Answered(err error) bool {
	var a *answered
	return errors.As(err, &a)
}

type answered struct{ cause error }

// Error says with which error the peer answered.
func (a *answered) Error() string { return "answered: " + a.cause.Error() }

// Unwrap returns the error under the mark.
func (a *answered) Unwrap() error { return a.cause }

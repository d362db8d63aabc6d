// Package errs defines the errors of crosstide: a closed list of kinds, the error type that carries a kind, and the
// table of the HTTP responses to each kind.
//
// Code that detects an error creates it with New or Field, or gives a kind to an error of another package with Wrap.
// Callers add context with Pass, which keeps the kind, and match with Is or KindOf; errors.Is and errors.As reach the
// causes. The package does not log or decide on retries: Reply only says what a caller may do.
//
// Entry points: the kinds and Error.
package errs

import (
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/gravitational/trace"
)

// Kind names a class of error. The values go over the wire and into stored outcomes, so they never change.
type Kind string

// The closed list of kinds. A kind that is not in it, such as one of a newer version, is treated as Internal.
const (
	// Errors of the caller: the same call would be rejected again.

	Malformed Kind = "malformed" // the data cannot be decoded (invalid JSON, wrong types)
	Invalid   Kind = "invalid"   // well-formed, but a value is rejected; Error.Field names it
	TooLarge  Kind = "too_large" // the body is longer than its limit
	Unknown   Kind = "unknown"   // the object that the call names certainly does not exist
	Conflict  Kind = "conflict"  // the key, version or order ID is already used for something else
	Stale     Kind = "stale"     // outdated: the epoch, policy version, incarnation or task state has changed
	Forbidden Kind = "forbidden" // a signature or a permission is missing

	// Temporary errors: the same call may succeed later, or at another node.

	Overloaded  Kind = "overloaded"  // rejected because of load; retry after Error.RetryAfter
	Unavailable Kind = "unavailable" // cannot be confirmed now; retry after Error.RetryAfter
	NotLeader   Kind = "not_leader"  // another node is the leader; Error.Hint is its address, if known
	Timeout     Kind = "timeout"     // no response in time: the call may or may not have taken effect

	// Errors of this node itself.

	Torn     Kind = "torn"     // a log ends in the middle of a record
	Damaged  Kind = "damaged"  // stored data fails its check
	Disk     Kind = "disk"     // a read, write or sync failed
	Settings Kind = "settings" // the settings file or a flag is rejected
	Stopped  Kind = "stopped"  // the component that was called is shutting down, or closed
	Internal Kind = "internal" // a bug, or an error that was not given a kind
)

// Reply is the HTTP response to a kind of error.
type Reply struct {
	Status     int           // HTTP status
	RetryAfter time.Duration // default of Retry-After; 0: the header is not sent
	Retryable  bool          // the caller may send the same call again; true if and only if RetryAfter is set
}

// replies has an entry for each kind of the closed list.
var replies = map[Kind]Reply{
	Malformed:   {Status: http.StatusBadRequest},
	Invalid:     {Status: http.StatusUnprocessableEntity},
	TooLarge:    {Status: http.StatusRequestEntityTooLarge},
	Unknown:     {Status: http.StatusNotFound},
	Conflict:    {Status: http.StatusConflict},
	Stale:       {Status: http.StatusPreconditionFailed},
	Forbidden:   {Status: http.StatusForbidden},
	Overloaded:  {Status: http.StatusTooManyRequests, RetryAfter: time.Second, Retryable: true},
	Unavailable: {Status: http.StatusServiceUnavailable, RetryAfter: time.Second, Retryable: true},
	NotLeader:   {Status: http.StatusMisdirectedRequest, RetryAfter: time.Second, Retryable: true},
	Timeout:     {Status: http.StatusGatewayTimeout, RetryAfter: time.Second, Retryable: true},
	Torn:        {Status: http.StatusInternalServerError},
	Damaged:     {Status: http.StatusInternalServerError},
	Disk:        {Status: http.StatusInternalServerError},
	Settings:    {Status: http.StatusInternalServerError},
	Stopped:     {Status: http.StatusServiceUnavailable, RetryAfter: time.Second, Retryable: true},
	Internal:    {Status: http.StatusInternalServerError},
}

// Kinds returns the closed list of kinds, in no particular order.
func Kinds() []Kind { return slices.Collect(maps.Keys(replies)) }

// ReplyOf returns the HTTP response to kind k, or that of Internal if k is not in the closed list.
func ReplyOf(k Kind) Reply {
	if r, ok := replies[k]; ok {
		return r
	}
	return replies[Internal]
}

// Error is an error with its kind. It is sent between processes as JSON, without its cause.
type Error struct {
	Kind    Kind   `json:"kind"`
	Field   string `json:"field,omitempty"` // the invalid field of the call, such as steps[2].tasks; empty: none
	Message string `json:"message"`         // for people; may change between versions
	Hint    string `json:"hint,omitempty"`  // NotLeader: address of the leader; empty if unknown
	// RetryAfter is how long the caller should wait before a retry, in nanoseconds; 0: Reply.RetryAfter of the kind.
	RetryAfter time.Duration `json:"after,omitempty"`
	cause      error         // nil: none
}

// Error returns the kind, the field, the message and the cause in one line.
func (e *Error) Error() string {
	text := string(e.Kind) + ": "
	if e.Field != "" {
		text += e.Field + ": "
	}
	text += e.Message
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// New returns an error of kind k with the stack trace of its caller. Example:
//
//	return errs.New(errs.Stale, "epoch %d has ended, the current epoch is %d", got, current)
func New(k Kind, format string, args ...any) error {
	return trace.Wrap(&Error{Kind: k, Message: fmt.Sprintf(format, args...)})
}

// Field is New for an error about one field of a call. Example:
//
//	return errs.Field(errs.Invalid, "steps[2].tasks", "must be at least 1, got %d", n)
func Field(k Kind, field, format string, args ...any) error {
	return trace.Wrap(&Error{Kind: k, Field: field, Message: fmt.Sprintf(format, args...)})
}

// Wrap returns an error of kind k whose cause is err, or nil if err is nil. k replaces a kind that err has. Example:
//
//	if err := file.Sync(); err != nil {
//		return errs.Wrap(err, errs.Disk, "sync %s", file.Name())
//	}
func Wrap(err error, k Kind, format string, args ...any) error {
	if err == nil {
		return nil
	}
	return trace.Wrap(&Error{Kind: k, Message: fmt.Sprintf(format, args...), cause: err})
}

// Pass adds a message to err and keeps its kind, field and hint. It returns nil if err is nil.
func Pass(err error, format string, args ...any) error {
	if err == nil {
		return nil
	}
	return trace.Wrap(err, append([]any{format}, args...)...)
}

// Of returns the outermost Error in the chain of err, which determines its kind. It returns a new Error of kind
// Internal if the chain has no Error, and nil if err is nil. The code that created err may set RetryAfter or Hint in
// the result.
func Of(err error) *Error {
	if err == nil {
		return nil
	}
	var outermost *Error
	if errors.As(err, &outermost) {
		return outermost
	}
	return &Error{Kind: Internal, Message: err.Error()}
}

// KindOf returns the kind of err, or "" if err is nil.
func KindOf(err error) Kind {
	if e := Of(err); e != nil {
		return e.Kind
	}
	return ""
}

// Is reports whether err is not nil and of kind k.
func Is(err error, k Kind) bool { return err != nil && KindOf(err) == k }

// Package errs has the errors of crosstide: a closed list of kinds, the error type that carries one, and the table of
// the HTTP answers to each kind.
//
// Whoever detects an error makes it with New or Field, or names a foreign one with Wrap. Callers add context with Pass,
// which keeps the kind, and match by Is or KindOf; errors.Is and errors.As reach the causes. The package logs nothing
// and decides no retry: Reply only says what a caller may do.
//
// Begin to read at the kinds and at Error.
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

// The closed list of kinds. A kind that is not in it, as of a newer version, counts as Internal.
const (
	// Errors of the caller: the same call would be rejected again.

	Malformed Kind = "malformed" // the bytes are not what the call takes (no JSON, wrong types)
	Invalid   Kind = "invalid"   // well-formed, but a value is rejected; Error.Field names it
	TooLarge  Kind = "too_large" // the body is longer than its bound
	Unknown   Kind = "unknown"   // what the call names certainly does not exist
	Conflict  Kind = "conflict"  // the key, version or order ID is taken by something else
	Stale     Kind = "stale"     // decided on an old view: epoch, policy version, incarnation or task state has changed
	Forbidden Kind = "forbidden" // a signature or a permission is missing

	// Errors of the moment: the same call may succeed later, or at another node.

	Overloaded  Kind = "overloaded"  // rejected for load; try again after Error.After
	Unavailable Kind = "unavailable" // cannot be confirmed now; try again after Error.After
	NotLeader   Kind = "not_leader"  // another node leads; Error.Hint has its address, if known
	Timeout     Kind = "timeout"     // no answer in time: the call may or may not have had its effect

	// Errors of this node itself.

	Torn     Kind = "torn"     // the end of a log is cut off in the middle of a record
	Damaged  Kind = "damaged"  // stored data fails its check
	Disk     Kind = "disk"     // a read, write or sync failed
	Settings Kind = "settings" // the settings file or a flag is rejected
	Stopped  Kind = "stopped"  // the component that was called is shutting down, or closed
	Internal Kind = "internal" // a bug, or an error that nobody has named
)

// Reply is the HTTP answer to a kind of error.
type Reply struct {
	Status int           // HTTP status
	After  time.Duration // default of Retry-After; 0: the header is not sent
	Again  bool          // the caller may send the same call again; true exactly where After is set
}

// replies has a row for each kind of the closed list.
var replies = map[Kind]Reply{
	Malformed:   {Status: http.StatusBadRequest},
	Invalid:     {Status: http.StatusUnprocessableEntity},
	TooLarge:    {Status: http.StatusRequestEntityTooLarge},
	Unknown:     {Status: http.StatusNotFound},
	Conflict:    {Status: http.StatusConflict},
	Stale:       {Status: http.StatusPreconditionFailed},
	Forbidden:   {Status: http.StatusForbidden},
	Overloaded:  {Status: http.StatusTooManyRequests, After: time.Second, Again: true},
	Unavailable: {Status: http.StatusServiceUnavailable, After: time.Second, Again: true},
	NotLeader:   {Status: http.StatusMisdirectedRequest, After: time.Second, Again: true},
	Timeout:     {Status: http.StatusGatewayTimeout, After: time.Second, Again: true},
	Torn:        {Status: http.StatusInternalServerError},
	Damaged:     {Status: http.StatusInternalServerError},
	Disk:        {Status: http.StatusInternalServerError},
	Settings:    {Status: http.StatusInternalServerError},
	Stopped:     {Status: http.StatusServiceUnavailable, After: time.Second, Again: true},
	Internal:    {Status: http.StatusInternalServerError},
}

// Kinds returns the closed list of kinds, in no particular order.
func Kinds() []Kind { return slices.Collect(maps.Keys(replies)) }

// ReplyOf returns the answer to kind k; that of Internal if k is not in the closed list.
func ReplyOf(k Kind) Reply {
	if r, ok := replies[k]; ok {
		return r
	}
	return replies[Internal]
}

// Error is an error with its kind. It goes between processes as JSON, without its cause.
type Error struct {
	Kind    Kind   `json:"kind"`
	Field   string `json:"field,omitempty"` // the field of the call at fault, as steps[2].tasks; empty: none
	Message string `json:"message"`         // for people; it may change
	Hint    string `json:"hint,omitempty"`  // NotLeader: address of the leader; empty if unknown
	// After is when the caller may try again, in nanoseconds; 0: Reply.After of the kind.
	After time.Duration `json:"after,omitempty"`
	cause error         // nil: none
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

// Unwrap returns the cause; nil if there is none.
func (e *Error) Unwrap() error { return e.cause }

// New returns an error of kind k with the trace of its caller. Example:
//
//	return errs.New(errs.Stale, "epoch %d is over, now %d", got, now)
func New(k Kind, format string, args ...any) error {
	return trace.Wrap(&Error{Kind: k, Message: fmt.Sprintf(format, args...)})
}

// Field is New for an error about one field of a call. Example:
//
//	return errs.Field(errs.Invalid, "steps[2].tasks", "must be at least 1, is %d", n)
func Field(k Kind, field, format string, args ...any) error {
	return trace.Wrap(&Error{Kind: k, Field: field, Message: fmt.Sprintf(format, args...)})
}

// Wrap returns an error of kind k whose cause is err; nil for a nil err. A kind that err has is hidden by k. Example:
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

// Pass adds a message to err and keeps its kind, field and hint; it returns nil for a nil err.
func Pass(err error, format string, args ...any) error {
	if err == nil {
		return nil
	}
	return trace.Wrap(err, append([]any{format}, args...)...)
}

// Of returns the outermost Error in the chain of err, which decides its kind. For an error without one it returns a new
// Error of kind Internal, for nil nil. Whoever made err may set After or Hint through the result.
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

// KindOf returns the kind of err; empty for nil.
func KindOf(err error) Kind {
	if e := Of(err); e != nil {
		return e.Kind
	}
	return ""
}

// Is reports whether err is not nil and of kind k.
func Is(err error, k Kind) bool { return err != nil && KindOf(err) == k }

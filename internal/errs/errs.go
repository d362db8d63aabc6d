// Package errs holds the closed list of error kinds of crosstide and the table from kind to answer.
package errs

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/gravitational/trace"
)

// Kind names a class of error. The list below is closed: a kind that is not in the table is Internal.
type Kind string

const (
	Malformed   Kind = "malformed"   // the bytes are not what the call takes (no JSON, wrong types)
	Invalid     Kind = "invalid"     // well-formed, but a value is refused; Field names it
	TooLarge    Kind = "too_large"   // the body is over its bound
	Unknown     Kind = "unknown"     // surely not there
	Conflict    Kind = "conflict"    // the key, version or order id is taken by something else
	Stale       Kind = "stale"       // decided on an old view: epoch, placement policy version, boot or task state moved on
	Forbidden   Kind = "forbidden"   // signature or right is missing
	Overloaded  Kind = "overloaded"  // too much at the moment; come back after After
	Unavailable Kind = "unavailable" // cannot confirm now; come back after After
	NotLeader   Kind = "not_leader"  // another node leads; Hint may carry its address
	Timeout     Kind = "timeout"     // no answer in time; what was asked may or may not have happened
	Torn        Kind = "torn"        // the end of a log is cut off mid-record
	Damaged     Kind = "damaged"     // data on disk fails its check
	Disk        Kind = "disk"        // a read, write or sync failed
	Settings    Kind = "settings"    // the settings file or flags are refused
	Stopped     Kind = "stopped"     // the part is shutting down
	Internal    Kind = "internal"    // a failure of ours
)

// Reply is what a kind is answered with over HTTP.
type Reply struct {
	Status int           // HTTP status
	After  time.Duration // default Retry-After, 0 for none
	Again  bool          // the caller may send the same call again
}

// replies is the table from kind to answer.
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

// Kinds lists every kind of the closed list.
func Kinds() []Kind {
	out := make([]Kind, 0, len(replies))
	for k := range replies {
		out = append(out, k)
	}
	return out
}

// ReplyOf returns the table's row for k; an unlisted kind answers as Internal.
func ReplyOf(k Kind) Reply {
	if r, ok := replies[k]; ok {
		return r
	}
	return replies[Internal]
}

// Failure is an error with its kind. It travels between processes as JSON.
type Error struct {
	Kind    Kind   `json:"kind"`
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
	Hint    string `json:"hint,omitempty"` // NotLeader: address of the leader, if known
	// After reports when to come back, in nanoseconds; 0 takes the table's value.
	After time.Duration `json:"after,omitempty"`
	cause error
}

// Error returns the field, the message and the cause in one short line.
func (f *Error) Error() string {
	s := string(f.Kind) + ": "
	if f.Field != "" {
		s += f.Field + ": "
	}
	s += f.Message
	if f.cause != nil {
		s += ": " + f.cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (f *Error) Unwrap() error { return f.cause }

// New makes a failure of kind k. Example:
//
//	return errs.New(errs.Stale, "epoch %d is over, now %d", got, now)
func New(k Kind, format string, args ...any) error {
	return trace.Wrap(&Error{Kind: k, Message: fmt.Sprintf(format, args...)})
}

// Field makes a failure that names the field it is about. Example:
//
//	return errs.Field(errs.Invalid, "steps[2].tasks", "must be at least 1, is %d", n)
func Field(k Kind, field, format string, args ...any) error {
	return trace.Wrap(&Error{Kind: k, Field: field, Message: fmt.Sprintf(format, args...)})
}

// Wrap names err with kind k and a message; nil stays nil. Example:
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

// Pass wraps err with a message and keeps its kind, field and hint; nil stays nil.
func Pass(err error, format string, args ...any) error {
	if err == nil {
		return nil
	}
	return trace.Wrap(err, append([]any{format}, args...)...)
}

// Of finds the outermost Failure in err; an error without one becomes Internal. Of(nil) is nil.
func Of(err error) *Error {
	if err == nil {
		return nil
	}
	var f *Error
	if errors.As(err, &f) {
		return f
	}
	return &Error{Kind: Internal, Message: err.Error()}
}

// KindOf returns the kind of err, "" for nil.
func KindOf(err error) Kind {
	if f := Of(err); f != nil {
		return f.Kind
	}
	return ""
}

// Is reports whether err is of kind k.
func Is(err error, k Kind) bool { return err != nil && KindOf(err) == k }

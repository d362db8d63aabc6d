package rpc

import "time"

// Limits bound one connection of a server. Zero fields take their defaults, which no proper caller meets.
type Limits struct {
	HeadBytes int // of a request: request line, header lines and the empty line; default 64 KiB
	// BodyBytes is the length of a body; default MaxBody.
	BodyBytes int64
	// HeadTimeout is the time from the first byte of a head to its last one; default 10 s.
	HeadTimeout time.Duration
	// IdleTimeout is the time without a request, and the time for a body; default 2 min. Clients close their idle
	// connections earlier.
	IdleTimeout time.Duration
	// RequestsAhead is the number of requests that wait for the response to an earlier one; default 64.
	RequestsAhead int
	// UnsentBytes limits the unsent bytes of the responses to earlier requests when a further response is written;
	// default 256 KiB. A single response may be longer.
	UnsentBytes int64
	// SocketReadBytes and SocketWriteBytes are the sizes of the kernel's buffers; default: the kernel's.
	SocketReadBytes, SocketWriteBytes int
}

const (
	defaultHeadBytes     = 64 << 10
	defaultHeadTimeout   = 10 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
	defaultRequestsAhead = 64
	defaultUnsentBytes   = 256 << 10
)

// WithDefaults returns the limits with their defaults filled in.
func (l Limits) WithDefaults() Limits {
	l.HeadBytes = firstPositive(l.HeadBytes, defaultHeadBytes)
	l.BodyBytes = firstPositive(l.BodyBytes, MaxBody)
	l.HeadTimeout = firstPositive(l.HeadTimeout, defaultHeadTimeout)
	l.IdleTimeout = firstPositive(l.IdleTimeout, defaultIdleTimeout)
	l.RequestsAhead = firstPositive(l.RequestsAhead, defaultRequestsAhead)
	l.UnsentBytes = firstPositive(l.UnsentBytes, defaultUnsentBytes)
	return l
}

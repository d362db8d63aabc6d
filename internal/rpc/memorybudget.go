package rpc

import (
	"context"
	"sync"

	"golang.org/x/sync/semaphore"

	"crosstide/internal/errs"
)

// MemoryBudget limits the memory that callers make a process hold: the requests that arrive, wait or are handled, the
// responses that are not read, and the connections themselves, for all servers of the process together. Each server has
// a share with reserved bytes that no other share can use. It is safe for concurrent use.
//
// A part of the budget is only for small holdings, which are those of ordinary callers: a crowd of callers with large
// requests cannot take it.
type MemoryBudget struct {
	limit    int64
	decoding *semaphore.Weighted
	// decodingLimit is the capacity of decoding.
	decodingLimit int64

	mu     sync.Mutex // guards shares, and the fields of each
	shares []*MemoryShare
}

// Divisors of a process's memory.
const (
	budgetDivisor   = 4 // for what callers make the process hold
	decodingDivisor = 6 // for values that are being decoded
	smallDivisor    = 8 // of the budget: for small holdings only
)

// smallReservation is what an ordinary caller makes a process hold at most, in bytes.
const smallReservation = 64 << 10

// NewMemoryBudget returns a budget for a process that may use a number of bytes of memory, or nil, which limits
// nothing, if that number is 0.
func NewMemoryBudget(processBytes int64) *MemoryBudget {
	if processBytes <= 0 {
		return nil
	}
	decoding := processBytes / decodingDivisor
	return &MemoryBudget{
		limit: processBytes / budgetDivisor, decodingLimit: decoding, decoding: semaphore.NewWeighted(decoding),
	}
}

// MemoryShare is a server's share of a MemoryBudget. A nil MemoryShare has no limit. The budget's mutex guards used and
// refused.
type MemoryShare struct {
	budget   *MemoryBudget
	name     string
	reserved int64 // bytes that no other share can use
	used     int64
	refused  uint64 // reservations that failed
}

// NewShare adds a share for which one part in divisor of the budget is reserved. A nil budget returns a nil share.
// Failure: Settings if the reservations exceed the budget.
func (b *MemoryBudget) NewShare(name string, divisor int64) (*MemoryShare, error) {
	if b == nil {
		return nil, nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	reserved, unreserved := b.limit/divisor, b.limit-b.limit/smallDivisor
	for _, share := range b.shares {
		unreserved -= share.reserved
	}
	if reserved > unreserved {
		return nil, errs.Field(errs.Settings, name, "cannot reserve %d bytes, %d are unreserved", reserved, unreserved)
	}
	share := &MemoryShare{budget: b, name: name, reserved: reserved}
	b.shares = append(b.shares, share)
	return share, nil
}

// budgetOf returns the budget of which s is a share; nil for a nil share.
func (s *MemoryShare) budgetOf() *MemoryBudget {
	if s == nil {
		return nil
	}
	return s.budget
}

// reserve reserves n bytes for a connection whose reservation then has total bytes, and reports whether they fit.
func (s *MemoryShare) reserve(n, total int64) bool {
	if s == nil {
		return true
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	if !s.fits(n, total <= smallReservation) {
		s.refused++
		return false
	}
	s.used += n
	return true
}

// fits reports whether the share may grow by n bytes. The caller holds the budget's mutex.
func (s *MemoryShare) fits(n int64, isSmall bool) bool {
	own, limit := s.reserved, s.budget.limit
	if !isSmall {
		own -= s.reserved / smallDivisor
		limit -= s.budget.limit / smallDivisor
	}
	if s.used+n <= own {
		return true
	}
	total := max(s.used+n, s.reserved)
	for _, other := range s.budget.shares {
		if other != s {
			total += max(other.used, other.reserved)
		}
	}
	return total <= limit
}

// release returns n reserved bytes.
func (s *MemoryShare) release(n int64) {
	if s == nil {
		return
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.used -= n
}

// MemoryUsage is the state of a share, for metrics and operators.
type MemoryUsage struct {
	Name     string
	Used     int64 // bytes
	Reserved int64 // bytes that no other share can use
	Refused  uint64
}

// Usage returns the state of each share, in the order in which they were added.
func (b *MemoryBudget) Usage() []MemoryUsage {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	usages := make([]MemoryUsage, 0, len(b.shares))
	for _, share := range b.shares {
		usages = append(usages, MemoryUsage{
			Name: share.name, Used: share.used, Reserved: share.reserved, Refused: share.refused,
		})
	}
	return usages
}

// Sizes of what the servers hold, in bytes.
const (
	connectionBytes = 4 << 10 // of an open connection
	requestBytes    = 8 << 10 // of a request that waits or is handled, without its head and body
	headerLineBytes = 160     // of a header line, beside its text
	// arrivalFactor is the memory for each byte of a request: in the parser, in the body and in the handler's copy.
	arrivalFactor = 4
	// socketBytes is the number of bytes that the peer may not have acknowledged without a reservation.
	socketBytes = 4 << 10
	// unsentFactor is the memory for each byte of a response that the socket does not accept.
	unsentFactor = 2
	// valueBytes is the memory for each value of a JSON document while it is decoded, with the copies made as the
	// decoder's tables grow.
	valueBytes = 400
)

// acquireDecoding waits until a JSON document may be decoded, and returns the function that ends this. Failures:
// TooLarge if the document has more values than ever fit, Unavailable if ctx ends first.
func (b *MemoryBudget) acquireDecoding(ctx context.Context, document []byte) (release func(), err error) {
	if b == nil || len(document) <= smallDocument {
		return func() {}, nil
	}
	weight := int64(len(document)) + valueBytes*countValues(document)
	if weight > 2*b.decodingLimit {
		return nil, errs.New(errs.TooLarge, "the document has too many values")
	}
	weight = min(weight, b.decodingLimit) // beyond that it is decoded alone
	if err := b.decoding.Acquire(ctx, weight); err != nil {
		return nil, errs.Wrap(err, errs.Unavailable, "wait for other documents to be decoded: not executed")
	}
	return func() { b.decoding.Release(weight) }, nil
}

// smallDocument is the length of a document that is decoded without waiting, in bytes: longer than the body of an
// ordinary request.
const smallDocument = 8 << 10

// countValues returns an upper bound on the number of values in a JSON document, without those of nested documents that
// are texts.
func countValues(document []byte) (count int64) {
	for _, c := range document {
		switch c {
		case ',', ':', '[', '{':
			count++
		}
	}
	return count + 1
}

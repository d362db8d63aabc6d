package controller

import (
	"sync"
	"time"

	"crosstide/internal/clock"
)

// contact is a kind of answer that a client receives from the control plane.
type contact int

const (
	contactAny     contact = iota // any node answered, with a success or an error
	contactLeader                 // the leader answered
	contactMembers                // the leader listed the members
)

// contactLog records when a client last received an answer of each kind. It is safe for concurrent use.
type contactLog struct {
	clock clock.Clock

	mu     sync.Mutex
	lastAt map[contact]time.Duration // no entry: none received yet
}

func newContactLog(clk clock.Clock) *contactLog {
	return &contactLog{clock: clk, lastAt: map[contact]time.Duration{}}
}

// record records an answer received now.
func (l *contactLog) record(kind contact) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastAt[kind] = now
}

// isRecent reports whether an answer of the given kind was received at most maxAge ago.
func (l *contactLog) isRecent(kind contact, maxAge time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ever := l.lastAt[kind]
	return ever && l.clock.Now()-at <= maxAge
}

// since returns when the last answer of the given kind was received, or begin if none was received after it.
func (l *contactLog) since(kind contact, begin time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ever := l.lastAt[kind]
	if !ever {
		return begin
	}
	return max(begin, at)
}

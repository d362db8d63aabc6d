package controller

import (
	"sync"
	"time"

	"crosstide/internal/clock"
)

// contact is a kind of answer that a client has from the core.
type contact int

const (
	contactAny     contact = iota // any node answered anything
	contactLeader                 // a leader answered
	contactMembers                // a leader listed the members
)

// contactLog records when a client last had an answer of each kind. It is safe for concurrent use.
type contactLog struct {
	clock clock.Clock

	mu     sync.Mutex
	lastAt map[contact]time.Duration // no entry: there was none yet
}

func newContactLog(clk clock.Clock) *contactLog {
	return &contactLog{clock: clk, lastAt: map[contact]time.Duration{}}
}

// record records an answer of a kind at the present time.
func (l *contactLog) record(kind contact) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastAt[kind] = now
}

// isRecent reports whether there was an answer of a kind, at most maxAge ago.
func (l *contactLog) isRecent(kind contact, maxAge time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ever := l.lastAt[kind]
	return ever && l.clock.Now()-at <= maxAge
}

// since returns when the last answer of a kind was, begin if there was none after it.
func (l *contactLog) since(kind contact, begin time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ever := l.lastAt[kind]
	if !ever {
		return begin
	}
	return max(begin, at)
}

package account

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"time"

	"crosstide/internal/errs"
)

// keepEntries is the number of entries that a compaction keeps. A ledger is compacted when it has twice as many.
const keepEntries = 256

// EntryKind is the kind of a ledger entry.
type EntryKind string

// The kinds of entries. The strings are stored and hashed.
const (
	EntryTopUp EntryKind = "top-up" // Amount was added; Key is the top-up's idempotency key
	EntryDraw  EntryKind = "draw"   // Amount was spent; Key is the run, DrawIndex counts the run's draws from 0
)

// Entry is one entry of an account's ledger. No two draws have the same Key and DrawIndex.
type Entry struct {
	Number    uint64    `json:"n"` // from 1 on, without gaps
	At        time.Time `json:"at"`
	Kind      EntryKind `json:"k"`
	Key       string    `json:"key"`
	DrawIndex int       `json:"p,omitempty"`
	Amount    int64     `json:"u"`
}

// hash returns the hash of the chain up to this entry, in hex. previous is the hash up to the entry before, "" for the
// first entry.
func (e *Entry) hash(previous string) string {
	text := fmt.Sprintf("%s\n%d %d %s %q %d %d\n",
		previous, e.Number, e.At.UnixNano(), e.Kind, e.Key, e.DrawIndex, e.Amount)
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// Checkpoint holds the totals of all entries up to and including Number.
type Checkpoint struct {
	Number   uint64 `json:"n"`
	ToppedUp int64  `json:"topped_up"`
	Spent    int64  `json:"spent"`
	Hash     string `json:"hash,omitempty"` // of the chain, in hex; "" before the first entry
}

// add returns c plus the next entry. Failure: Damaged (the entry's number is not the next one, or its kind is unknown).
func (c Checkpoint) add(e *Entry) (Checkpoint, error) {
	if e.Number != c.Number+1 {
		return c, errs.New(errs.Damaged, "ledger is not consecutive: entry %d follows entry %d", e.Number, c.Number)
	}
	switch e.Kind {
	case EntryTopUp:
		c.ToppedUp += e.Amount
	case EntryDraw:
		c.Spent += e.Amount
	default:
		return c, errs.New(errs.Damaged, "ledger entry %d has unknown kind %q", e.Number, e.Kind)
	}
	c.Number, c.Hash = e.Number, e.hash(c.Hash)
	return c, nil
}

// Ledger is the hash chain of an account's entries.
type Ledger struct {
	Base    Checkpoint `json:"base"`              // totals of the compacted entries
	Entries []Entry    `json:"entries,omitempty"` // after Base, oldest first
	Head    Checkpoint `json:"head"`              // totals of Base and Entries
}

// append appends an entry with the next number, and compacts the ledger if it is full.
func (l *Ledger) append(e Entry) {
	e.Number = l.Head.Number + 1
	head, err := l.Head.add(&e)
	must(err)
	l.Head = head
	l.Entries = append(l.Entries, e)
	if len(l.Entries) >= 2*keepEntries {
		l.compact(len(l.Entries) - keepEntries)
	}
}

// compact folds the n oldest entries into Base.
func (l *Ledger) compact(n int) {
	for i := range l.Entries[:n] {
		base, err := l.Base.add(&l.Entries[i])
		must(err)
		l.Base = base
	}
	l.Entries = slices.Clone(l.Entries[n:])
}

// Verify checks that Base plus Entries equals Head, including the hash. Failure: Damaged.
func (l *Ledger) Verify() error {
	sum := l.Base
	for i := range l.Entries {
		next, err := sum.add(&l.Entries[i])
		if err != nil {
			return errs.Pass(err, "ledger")
		}
		sum = next
	}
	if sum != l.Head {
		return errs.New(errs.Damaged, "ledger entries add up to %+v, expected the head %+v", sum, l.Head)
	}
	return nil
}

// Since returns the oldest entries with a number above number, at most limit, oldest first. Compacted entries are not
// included.
func (l *Ledger) Since(number uint64, limit int) []Entry {
	from := len(l.Entries)
	for i := range l.Entries {
		if l.Entries[i].Number > number {
			from = i
			break
		}
	}
	return slices.Clone(l.Entries[from:min(len(l.Entries), from+limit)])
}

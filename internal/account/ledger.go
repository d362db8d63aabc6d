package account

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"time"

	"crosstide/internal/errs"
)

// keepEntries is the number of newest entries that a compaction leaves. A ledger is compacted at twice as many.
const keepEntries = 256

// EntryKind is the kind of a ledger's entry.
type EntryKind string

// The kinds of entries. The strings are stored, and part of the hashes.
const (
	EntryTopUp EntryKind = "top-up" // Amount was added; Key is its idempotency key
	EntryDraw  EntryKind = "draw"   // Amount was spent; Key is the run, DrawIndex counts its draws from 0
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

// hash returns the hash of the chain up to this entry, in hex; before is the hash up to the previous entry.
func (e *Entry) hash(before string) string {
	text := fmt.Sprintf("%s\n%d %d %s %q %d %d\n",
		before, e.Number, e.At.UnixNano(), e.Kind, e.Key, e.DrawIndex, e.Amount)
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// Checkpoint is the sum of all entries up to Number.
type Checkpoint struct {
	Number   uint64 `json:"n"`
	ToppedUp int64  `json:"topped_up"`
	Spent    int64  `json:"spent"`
	Hash     string `json:"hash,omitempty"` // of the chain, in hex; "" before the first entry
}

// add returns the sum with the next entry. Failure: Damaged (the entry is not the next one, or of an unknown kind).
func (c Checkpoint) add(e *Entry) (Checkpoint, error) {
	if e.Number != c.Number+1 {
		return c, errs.New(errs.Damaged, "entry %d follows entry %d", e.Number, c.Number)
	}
	switch e.Kind {
	case EntryTopUp:
		c.ToppedUp += e.Amount
	case EntryDraw:
		c.Spent += e.Amount
	default:
		return c, errs.New(errs.Damaged, "entry %d is a %q", e.Number, e.Kind)
	}
	c.Number, c.Hash = e.Number, e.hash(c.Hash)
	return c, nil
}

// Ledger is the hash chain of an account's entries.
type Ledger struct {
	Base    Checkpoint `json:"base"`              // the sum of the compacted entries
	Entries []Entry    `json:"entries,omitempty"` // those after Base, oldest first
	Head    Checkpoint `json:"head"`              // the sum of Base and Entries
}

// append appends an entry under the next number, and compacts the ledger if it is full.
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

// compact folds the oldest entries into the base.
func (l *Ledger) compact(n int) {
	for i := range l.Entries[:n] {
		base, err := l.Base.add(&l.Entries[i])
		must(err)
		l.Base = base
	}
	l.Entries = slices.Clone(l.Entries[n:])
}

// Verify checks that the entries add up from the base to the head. Failure: Damaged.
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
		return errs.New(errs.Damaged, "the entries add up to %+v, the head says %+v", sum, l.Head)
	}
	return nil
}

// Since returns the entries above a number, oldest first, at most limit. Compacted entries are not included.
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

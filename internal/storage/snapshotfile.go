package storage

import (
	"github.com/cespare/xxhash/v2"

	"crosstide/internal/errs"
)

// Snapshot is the whole state as of the entry Index of term Term.
type Snapshot struct {
	Number      uint64 // counts the snapshots written, from 1; set by the store
	Index, Term uint64
	Meta        []byte // members and the like
	Body        []byte // the state
}

// record is the record of the log that says that the snapshot was the newest one.
func (snap Snapshot) record() Record {
	return Record{Kind: kindSnapshot, Index: snap.Index, Term: snap.Term}
}

// The format of a snapshot's file: magic, number, index, term, length of Meta, length of Body, Meta, Body, checksum.
const (
	snapshotMagic        = "ctslot\x00\x01"
	snapshotHeaderSize   = 48 // magic 8, number 8, index 8, term 8, meta length 8, body length 8
	snapshotChecksumSize = 8  // xxhash of all before it
)

// encodeSnapshot returns the bytes before and after the body in a snapshot's file.
func encodeSnapshot(snap Snapshot) (head, tail []byte) {
	head = append(head, snapshotMagic...)
	for _, v := range []uint64{snap.Number, snap.Index, snap.Term, uint64(len(snap.Meta)), uint64(len(snap.Body))} {
		head = byteOrder.AppendUint64(head, v)
	}
	head = append(head, snap.Meta...)
	checksum := xxhash.New()
	_, _ = checksum.Write(head)      // never fails
	_, _ = checksum.Write(snap.Body) // never fails
	return head, byteOrder.AppendUint64(nil, checksum.Sum64())
}

// decodeSnapshot decodes and checks a snapshot's file; Meta and Body are parts of all. Failure: Damaged.
func decodeSnapshot(all []byte) (Snapshot, error) {
	if len(all) < snapshotHeaderSize+snapshotChecksumSize || string(all[:8]) != snapshotMagic {
		return Snapshot{}, errs.New(errs.Damaged, "no slot in %d bytes", len(all))
	}
	end := len(all) - snapshotChecksumSize
	if xxhash.Sum64(all[:end]) != byteOrder.Uint64(all[end:]) {
		return Snapshot{}, errs.New(errs.Damaged, "the slot's sum is wrong")
	}
	rest := all[snapshotHeaderSize:end]
	meta, body := byteOrder.Uint64(all[32:]), byteOrder.Uint64(all[40:])
	if meta > uint64(len(rest)) || body != uint64(len(rest))-meta {
		return Snapshot{}, errs.New(errs.Damaged, "the slot's lengths are wrong")
	}
	return Snapshot{
		Number: byteOrder.Uint64(all[8:]), Index: byteOrder.Uint64(all[16:]), Term: byteOrder.Uint64(all[24:]),
		Meta: rest[:meta], Body: rest[meta:],
	}, nil
}

package storage

import (
	"github.com/cespare/xxhash/v2"

	"crosstide/internal/errs"
)

// Snapshot is the complete state after the entry with the given Index and Term.
type Snapshot struct {
	Number      uint64 // counts the snapshots of the folder from 1; set by the store
	Index, Term uint64
	Meta        []byte // the caller's description of the snapshot, such as the members
	Body        []byte // the caller's encoded state
}

// record returns the log record that marks the snapshot as the newest one.
func (snap Snapshot) record() Record {
	return Record{Kind: kindSnapshot, Index: snap.Index, Term: snap.Term}
}

// The format of a snapshot's file: magic, number, index, term, lengths of Meta and Body, Meta, Body, checksum.
const (
	snapshotMagic        = "ctslot\x00\x01"
	snapshotHeaderSize   = 48 // magic 8, number 8, index 8, term 8, meta length 8, body length 8
	snapshotChecksumSize = 8  // xxhash of everything before it
)

// encodeSnapshot returns the parts of a snapshot's file before and after the body, so that the body is not copied.
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

// decodeSnapshot decodes and validates the content of a snapshot's file. Meta and Body are slices of content. Failure:
// Damaged.
func decodeSnapshot(content []byte) (Snapshot, error) {
	if len(content) < snapshotHeaderSize+snapshotChecksumSize || string(content[:8]) != snapshotMagic {
		return Snapshot{}, errs.New(errs.Damaged, "not a snapshot: %d bytes, too short or bad magic", len(content))
	}
	end := len(content) - snapshotChecksumSize
	if xxhash.Sum64(content[:end]) != byteOrder.Uint64(content[end:]) {
		return Snapshot{}, errs.New(errs.Damaged, "snapshot checksum mismatch")
	}
	rest := content[snapshotHeaderSize:end]
	metaSize, bodySize := byteOrder.Uint64(content[32:]), byteOrder.Uint64(content[40:])
	if metaSize > uint64(len(rest)) || bodySize != uint64(len(rest))-metaSize {
		return Snapshot{}, errs.New(errs.Damaged, "snapshot lengths do not match the file size")
	}
	return Snapshot{
		Number: byteOrder.Uint64(content[8:]),
		Index:  byteOrder.Uint64(content[16:]),
		Term:   byteOrder.Uint64(content[24:]),
		Meta:   rest[:metaSize],
		Body:   rest[metaSize:],
	}, nil
}

package storage

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// KindHard is the kind of a record of the hard state; its Data (term and vote) is the caller's.
const KindHard uint8 = 255

// kindBase says, at its place in the log, which image was newest; the store writes it itself.
const kindBase uint8 = 254

// MaxData bounds the Data of one record, in bytes.
const MaxData = 64 << 20

// Record is one record of the log: an entry (any kind below 254), or KindHard.
type Record struct {
	Kind        uint8
	Term, Index uint64 // Index of an entry starts at 1
	Data        []byte
}

const (
	mark      = "\xc7\x1dRc"     // starts each record, so that a reader can find one again after damage
	headSize  = 29               // mark 4, sum 4, length 4, kind 1, term 8, index 8
	slotMark  = "ctslot\x00\x01" // starts a slot
	slotSize  = 48               // mark 8, number 8, index 8, term 8, meta length 8, body length 8
	slotsDone = 8                // the sum at the end
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	order      = binary.LittleEndian
)

// sumOf covers where the record stands (segment, offset), its length, kind, term, index and data.
func sumOf(segment uint64, offset int, rest []byte) uint32 {
	var at [16]byte
	order.PutUint64(at[:], segment)
	order.PutUint64(at[8:], uint64(offset))
	return crc32.Update(crc32.Checksum(at[:], castagnoli), castagnoli, rest)
}

// appendRecord adds r to buf; buf[0] will stand at offset start of the segment.
func appendRecord(buf []byte, segment uint64, start int, r Record) []byte {
	at := len(buf)
	buf = append(buf, mark...)
	buf = append(buf, 0, 0, 0, 0)
	buf = order.AppendUint32(buf, uint32(len(r.Data)))
	buf = append(buf, r.Kind)
	buf = order.AppendUint64(buf, r.Term)
	buf = order.AppendUint64(buf, r.Index)
	buf = append(buf, r.Data...)
	order.PutUint32(buf[at+4:], sumOf(segment, start+at, buf[at+8:]))
	return buf
}

// recordAt reads the record at offset of a segment; ok is false unless it is whole and its sum is right.
// Data is a part of all.
func recordAt(all []byte, segment uint64, offset int) (r Record, end int, ok bool) {
	b := all[offset:]
	if len(b) < headSize || string(b[:4]) != mark {
		return r, offset, false
	}
	size := order.Uint32(b[8:])
	if size > MaxData || int(size) > len(b)-headSize {
		return r, offset, false
	}
	b = b[:headSize+int(size)]
	if sumOf(segment, offset, b[8:]) != order.Uint32(b[4:]) {
		return r, offset, false
	}
	r = Record{Kind: b[12], Term: order.Uint64(b[13:]), Index: order.Uint64(b[21:]), Data: b[headSize:]}
	return r, offset + len(b), true
}

// readSegment gives the records up to the first bad byte, and that offset.
func readSegment(all []byte, segment uint64) (out []Record, end int) {
	for end < len(all) {
		r, next, ok := recordAt(all, segment, end)
		if !ok {
			break
		}
		out, end = append(out, r), next
	}
	return out, end
}

// anyRecord tells whether a valid record starts at offset or later.
func anyRecord(all []byte, segment uint64, offset int) bool {
	for offset < len(all) {
		i := bytes.Index(all[offset:], []byte(mark))
		if i < 0 {
			return false
		}
		if _, _, ok := recordAt(all, segment, offset+i); ok {
			return true
		}
		offset += i + 1
	}
	return false
}

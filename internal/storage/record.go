package storage

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// KindHardState is the kind of a record of the hard state; its Data (term and vote) is the caller's.
const KindHardState uint8 = 255

// kindSnapshot is the kind of a record that says which snapshot was the newest at that position of the log. Only the
// store writes it.
const kindSnapshot uint8 = 254

// maxData bounds the Data of one record, in bytes.
const maxData = 64 << 20

// Record is one record of the log: an entry (any kind below 254), or KindHardState.
type Record struct {
	Kind        uint8
	Term, Index uint64 // Index of an entry starts at 1
	Data        []byte
}

// The format of a record: magic, checksum, length of Data, kind, term, index, Data.
const (
	recordMagic      = "\xc7\x1dRc" // starts each record, so that a reader can find one again after damage
	recordHeaderSize = 29           // magic 4, checksum 4, length 4, kind 1, term 8, index 8
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	byteOrder  = binary.LittleEndian
)

// recordChecksum is the checksum over where the record stands (segment, offset), length, kind, term, index and data. A
// record that the disk returns from another place is thus invalid.
func recordChecksum(segment uint64, offset int, rest []byte) uint32 {
	var at [16]byte
	byteOrder.PutUint64(at[:], segment)
	byteOrder.PutUint64(at[8:], uint64(offset))
	return crc32.Update(crc32.Checksum(at[:], castagnoli), castagnoli, rest)
}

// appendRecord adds r to buf; buf[0] will be written at offset start of the segment.
func appendRecord(buf []byte, segment uint64, start int, r Record) []byte {
	at := len(buf)
	buf = append(buf, recordMagic...)
	buf = append(buf, 0, 0, 0, 0)
	buf = byteOrder.AppendUint32(buf, uint32(len(r.Data)))
	buf = append(buf, r.Kind)
	buf = byteOrder.AppendUint64(buf, r.Term)
	buf = byteOrder.AppendUint64(buf, r.Index)
	buf = append(buf, r.Data...)
	byteOrder.PutUint32(buf[at+4:], recordChecksum(segment, start+at, buf[at+8:]))
	return buf
}

// recordAt reads the record at offset of a segment; ok is false unless it is complete and its checksum is right. Data
// is a part of all.
func recordAt(all []byte, segment uint64, offset int) (r Record, end int, ok bool) {
	b := all[offset:]
	if len(b) < recordHeaderSize || string(b[:4]) != recordMagic {
		return r, offset, false
	}
	size := byteOrder.Uint32(b[8:])
	if size > maxData || int(size) > len(b)-recordHeaderSize {
		return r, offset, false
	}
	b = b[:recordHeaderSize+int(size)]
	if recordChecksum(segment, offset, b[8:]) != byteOrder.Uint32(b[4:]) {
		return r, offset, false
	}
	r = Record{Kind: b[12], Term: byteOrder.Uint64(b[13:]), Index: byteOrder.Uint64(b[21:]), Data: b[recordHeaderSize:]}
	return r, offset + len(b), true
}

// readSegment returns the records up to the first invalid byte, and that offset.
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

// anyRecord reports whether a valid record starts at offset or later.
func anyRecord(all []byte, segment uint64, offset int) bool {
	for offset < len(all) {
		i := bytes.Index(all[offset:], []byte(recordMagic))
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

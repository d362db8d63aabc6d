package storage

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// KindHardState is the kind of a record with the hard state. The caller defines the meaning of its Data.
const KindHardState uint8 = 255

// kindSnapshot is the kind of a record with the index and term of the snapshot that was the newest when the record was
// written. Only the store writes such records.
const kindSnapshot uint8 = 254

// maxData is the maximum length of the Data of one record, in bytes.
const maxData = 64 << 20

// Record is one record of the log: an entry, or the hard state.
type Record struct {
	Kind        uint8  // KindHardState, or below 254 for an entry
	Term, Index uint64 // of an entry; Index starts at 1
	Data        []byte // defined by the caller; at most 64 MiB
}

// The format of a record on the disk: magic, checksum, length of Data, kind, term, index, Data.
const (
	recordMagic      = "\xc7\x1dRc" // starts each record, so that a reader can find the next one after invalid data
	recordHeaderSize = 29           // magic 4, checksum 4, length 4, kind 1, term 8, index 8
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	byteOrder  = binary.LittleEndian
)

// recordChecksum returns the checksum of a record over its position (segment and offset) and rest, the bytes after the
// checksum. As it covers the position, a record that the disk returns from another position is invalid.
func recordChecksum(segment uint64, offset int, rest []byte) uint32 {
	var position [16]byte
	byteOrder.PutUint64(position[:], segment)
	byteOrder.PutUint64(position[8:], uint64(offset))
	return crc32.Update(crc32.Checksum(position[:], castagnoli), castagnoli, rest)
}

// appendRecord appends the encoded r to buf, whose first byte will be at offset start of the segment.
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

// recordAt decodes the record at an offset of a segment's content. ok is true if the record is complete and its
// checksum is correct; end is the offset after it. Data is a slice of content.
func recordAt(content []byte, segment uint64, offset int) (r Record, end int, ok bool) {
	b := content[offset:]
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

// readSegment returns the records of a segment's content before the first invalid one, and the offset at which they
// end.
func readSegment(content []byte, segment uint64) (records []Record, end int) {
	for end < len(content) {
		r, next, ok := recordAt(content, segment, end)
		if !ok {
			break
		}
		records, end = append(records, r), next
	}
	return records, end
}

// hasRecord reports whether a valid record starts at or after an offset of a segment's content.
func hasRecord(content []byte, segment uint64, offset int) bool {
	for offset < len(content) {
		i := bytes.Index(content[offset:], []byte(recordMagic))
		if i < 0 {
			return false
		}
		if _, _, ok := recordAt(content, segment, offset+i); ok {
			return true
		}
		offset += i + 1
	}
	return false
}

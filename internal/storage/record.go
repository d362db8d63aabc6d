package storage

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/cespare/xxhash/v2"

	"crosstide/internal/errs"
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

// Image is the whole state as of the entry Index of term Term.
type Image struct {
	Number      uint64 // of the slot's writing, from 1; given by the store
	Index, Term uint64
	Meta        []byte // members and the like
	Body        []byte // the state
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

// slotParts gives what stands before and after the body in a slot.
func slotParts(img Image) (head, tail []byte) {
	head = append(head, slotMark...)
	for _, v := range []uint64{img.Number, img.Index, img.Term, uint64(len(img.Meta)), uint64(len(img.Body))} {
		head = order.AppendUint64(head, v)
	}
	head = append(head, img.Meta...)
	sum := xxhash.New()
	_, _ = sum.Write(head) // never fails
	_, _ = sum.Write(img.Body)
	return head, order.AppendUint64(nil, sum.Sum64())
}

// readSlot checks a slot. Failure: Damaged.
func readSlot(all []byte) (Image, error) {
	if len(all) < slotSize+slotsDone || string(all[:8]) != slotMark {
		return Image{}, errs.New(errs.Damaged, "no slot in %d bytes", len(all))
	}
	cut := len(all) - slotsDone
	if xxhash.Sum64(all[:cut]) != order.Uint64(all[cut:]) {
		return Image{}, errs.New(errs.Damaged, "the slot's sum is wrong")
	}
	rest := all[slotSize:cut]
	meta, body := order.Uint64(all[32:]), order.Uint64(all[40:])
	if meta > uint64(len(rest)) || body != uint64(len(rest))-meta {
		return Image{}, errs.New(errs.Damaged, "the slot's lengths are wrong")
	}
	return Image{
		Number: order.Uint64(all[8:]), Index: order.Uint64(all[16:]), Term: order.Uint64(all[24:]),
		Meta: rest[:meta], Body: rest[meta:],
	}, nil
}

// tale is what a sequence of records comes to.
type tale struct {
	list  []Record // the entries that stand, indexes without a hole
	hard  *Record
	floor uint64 // the list says nothing of entries up to here; only an image does
	base  Record // the last kindBase
}

// last is the index of the newest entry.
func (t *tale) last() uint64 {
	if n := len(t.list); n > 0 {
		return max(t.list[n-1].Index, t.floor)
	}
	return t.floor
}

// add takes the next record in; false is a hole in the indexes.
func (t *tale) add(r Record) bool {
	switch r.Kind {
	case KindHard:
		t.hard = &r
	case kindBase:
		t.rebase(r)
	default:
		n := len(t.list)
		if n > 0 && r.Index > t.list[n-1].Index+1 || r.Index == 0 {
			return false
		}
		for n > 0 && t.list[n-1].Index >= r.Index {
			n--
		}
		t.list = append(t.list[:n], r)
	}
	return true
}

// rebase takes in that an image was written. Entries that lead up to it and past it stand; entries that the
// image contradicts, or that end before it, fall (the image came from another member).
func (t *tale) rebase(b Record) {
	t.base = b
	if len(t.list) > 0 {
		first := t.list[0].Index
		if first > b.Index {
			return
		}
		if at := b.Index - first; at < uint64(len(t.list)) && t.list[at].Term == b.Term {
			return
		}
	}
	t.list, t.floor = nil, max(t.floor, b.Index)
}

// after gives the entries after an image of index; false if the log does not follow it without a hole.
func (t *tale) after(index uint64) ([]Record, bool) {
	if t.floor > index {
		return nil, false
	}
	for i, r := range t.list {
		if r.Index > index {
			return t.list[i:], r.Index == index+1
		}
	}
	return nil, true
}

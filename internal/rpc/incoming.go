package rpc

import "bytes"

// incoming is the request that a connection is receiving. It follows the parser by its callbacks and by the bytes that
// are passed to it, so that the length of each part is known exactly. Only the event loop uses it.
type incoming struct {
	part     messagePart
	bytes    int   // received in this part
	declared int   // length of the body; not positive: none, or chunked
	body     int64 // bytes of the body that the parser has passed on

	isChunked  bool
	hasLength  bool // the parser has read the whole head and told the length of the body
	isComplete bool // the parser has passed on the request
}

// messagePart is a part of a request.
type messagePart int

const (
	partHead   messagePart = iota
	partBody               // of a declared length
	partChunks             // with their size lines and the trailer
)

// nextPiece returns the bytes at the start of data to pass to the parser. No piece contains bytes of two parts or of
// two requests: heads and chunks end with a line, and a body has a length.
func (m *incoming) nextPiece(data []byte) []byte {
	if m.part == partBody {
		return data[:min(len(data), m.declared-m.bytes)]
	}
	if end := bytes.IndexByte(data, '\n'); end >= 0 {
		return data[:end+1]
	}
	return data
}

// framingFactor is how many bytes a chunked body may take on the wire for each byte of content; a chunk of one byte
// takes 6.
const framingFactor = 8

// check returns the reason to refuse the request if n more bytes of its current part arrive, or nil.
func (m *incoming) check(n int, limits Limits) *refusal {
	switch m.part {
	case partHead:
		if m.bytes+n > limits.HeadBytes {
			return &headTooLarge
		}
	case partChunks:
		if int64(m.bytes+n) > int64(limits.HeadBytes)+limits.BodyBytes+framingFactor*m.body {
			return &bodyTooLarge
		}
	}
	return nil
}

// advance records that the parser has read a piece. It returns the reason to refuse the request, or nil.
func (m *incoming) advance(piece []byte, limits Limits) *refusal {
	if m.isComplete {
		*m = incoming{}
		return nil
	}
	m.bytes += len(piece)
	if m.part == partHead && m.hasLength && piece[len(piece)-1] == '\n' {
		m.bytes, m.part = 0, partBody
		if m.isChunked {
			m.part = partChunks
		}
	}
	if m.part == partBody && int64(m.declared) > limits.BodyBytes {
		return &bodyTooLarge
	}
	return nil
}

// isEmpty reports whether no byte of the request has arrived.
func (m *incoming) isEmpty() bool { return m.part == partHead && m.bytes == 0 }

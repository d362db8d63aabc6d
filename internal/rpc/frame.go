package rpc

import (
	"bytes"
	"encoding/json"
	"sync"

	"crosstide/internal/errs"
)

// frame is a pooled buffer with its JSON encoder. Its owner is the call or answer that took it, until free.
type frame struct {
	buf bytes.Buffer
	enc *json.Encoder
}

var frames = sync.Pool{New: func() any {
	f := &frame{}
	f.enc = json.NewEncoder(&f.buf)
	f.enc.SetEscapeHTML(false)
	return f
}}

// takeFrame returns a frame that is empty but for so many bytes of headroom, where a head is written later.
func takeFrame(headroom int) *frame {
	f := frames.Get().(*frame)
	f.buf.Reset()
	f.buf.Grow(headroom)
	f.buf.Write(f.buf.AvailableBuffer()[:headroom])
	return f
}

// encode appends v as JSON.
func (f *frame) encode(v any) error {
	return errs.Wrap(f.enc.Encode(v), errs.Internal, "encode %T", v)
}

// maxPooledBytes is up to which capacity a frame goes back to the pool.
const maxPooledBytes = 1 << 20

// free returns the frame to the pool: its bytes are invalid then.
func (f *frame) free() {
	if f.buf.Cap() <= maxPooledBytes {
		frames.Put(f)
	}
}

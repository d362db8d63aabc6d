package rpc

import (
	"bytes"
	"encoding/json"
	"sync"

	"crosstide/internal/errs"
)

// frame is a pooled buffer with a JSON encoder that writes to it. The call or response that took it owns it until it
// calls free.
type frame struct {
	buf bytes.Buffer
	enc *json.Encoder // to buf
}

// frames is the pool of frames that are not in use.
var frames = sync.Pool{New: func() any {
	f := &frame{}
	f.enc = json.NewEncoder(&f.buf)
	f.enc.SetEscapeHTML(false)
	return f
}}

// takeFrame returns a frame that begins with headroom reserved bytes, for a head that is written later (prependHead).
func takeFrame(headroom int) *frame {
	f := frames.Get().(*frame)
	f.buf.Reset()
	f.buf.Grow(headroom)
	f.buf.Write(f.buf.AvailableBuffer()[:headroom])
	return f
}

// encode appends v as JSON to the buffer. Failure: Internal.
func (f *frame) encode(v any) error {
	return errs.Wrap(f.enc.Encode(v), errs.Internal, "encode %T", v)
}

// maxPooledBytes is the capacity up to which a frame returns to the pool: a few large bodies must not retain memory.
const maxPooledBytes = 64 << 10

// free returns the frame to the pool. Neither it nor its bytes may be used afterwards.
func (f *frame) free() {
	if f.buf.Cap() <= maxPooledBytes {
		frames.Put(f)
	}
}

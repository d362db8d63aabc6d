package rpc

import (
	"bytes"
	"encoding/json"
	"sync"

	"crosstide/internal/errs"
)

// frame is a pooled buffer with its JSON encoder.
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

// takeFrame returns an empty frame that starts with room for a head of that many bytes.
func takeFrame(headroom int) *frame {
	f := frames.Get().(*frame)
	f.buf.Reset()
	f.buf.Grow(headroom)
	f.buf.Write(f.buf.AvailableBuffer()[:headroom])
	return f
}

func (f *frame) encode(v any) error {
	return errs.Wrap(f.enc.Encode(v), errs.Internal, "encode %T", v)
}

func (f *frame) free() {
	if f.buf.Cap() <= 1<<20 {
		frames.Put(f)
	}
}

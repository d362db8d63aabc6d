package rpc

import (
	"sync"

	"github.com/lesismal/nbio/mempool"
)

// bufferAllocator allocates nbio's buffers. nbio's default keeps buffers of every size in one pool, so that a buffer
// that has held a large request is given to a connection that holds a few bytes. This one pools small buffers by size,
// and leaves large ones to the garbage collector.
type bufferAllocator struct{ mempool.Allocator }

// maxPooledBuffer is the largest buffer that is pooled, in bytes.
const maxPooledBuffer = 32 << 10

// Append appends bytes to a buffer. A large buffer grows by more than is needed now, because most requests that outgrow
// the pool arrive in many pieces.
func (a bufferAllocator) Append(buffer *[]byte, more ...byte) *[]byte {
	if len(*buffer)+len(more) <= maxPooledBuffer {
		return a.Allocator.Append(buffer, more...)
	}
	if cap(*buffer) > maxPooledBuffer {
		*buffer = append(*buffer, more...)
		return buffer
	}
	grown := append([]byte(nil), *buffer...)
	a.Free(buffer)
	grown = append(grown, more...)
	return &grown
}

// AppendString is Append for a string.
func (a bufferAllocator) AppendString(buffer *[]byte, more string) *[]byte {
	if len(*buffer)+len(more) <= maxPooledBuffer {
		return a.Allocator.AppendString(buffer, more)
	}
	return a.Append(buffer, []byte(more)...)
}

var allocatorOnce sync.Once

// useBufferAllocator makes nbio use a bufferAllocator. nbio has a single allocator per process.
func useBufferAllocator() {
	allocatorOnce.Do(func() { mempool.DefaultMemPool = bufferAllocator{mempool.NewAligned()} })
}

package allocator

import (
	"math/bits"
	"sync"
)

// outgrownBuffers has buffers that bodies have outgrown, by the logarithm of their size. A buffer
// with a body that was read is never among them: an upstream may still be sent it.
type outgrownBuffers [bits.UintSize]sync.Pool

var outgrown outgrownBuffers

// take returns an empty buffer of a size in bytes.
func (o *outgrownBuffers) take(size int64) []byte {
	if size >= FreeBodyBytes && size&(size-1) == 0 {
		if b, ok := o[bits.Len64(uint64(size))].Get().(*[]byte); ok {
			return (*b)[:0]
		}
	}
	return make([]byte, 0, size)
}

// put keeps a buffer that is not used any more, if its size is a power of two.
func (o *outgrownBuffers) put(b []byte) {
	if size := cap(b); size >= FreeBodyBytes && size&(size-1) == 0 {
		o[bits.Len64(uint64(size))].Put(&b)
	}
}

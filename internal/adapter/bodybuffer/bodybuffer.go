// Package bodybuffer holds the bodies of requests while they arrive. A buffer consists of pieces that are used
// again for other bodies, so that bodies that are given up leave nothing to the garbage collector. Callers can send
// such bodies faster than a collection ends, and everything that is allocated meanwhile adds to the memory of the
// process.
package bodybuffer

import "sync"

const (
	// MinBytes and maxPieceBytes are the sizes of the first and of the later pieces.
	MinBytes      = 4 << 10
	maxPieceBytes = 16 << 10
)

// pools hold the pieces that are not in use, by size: 4, 8 and 16 KiB.
var pools [3]sync.Pool

// copying is held while a body of several pieces is copied, so that the memory for both, which callers of this package
// do not reserve, is taken for one body at a time.
var copying sync.Mutex

// Buffer is the body of one request. It is used by one goroutine. The zero value is empty.
type Buffer struct {
	pieces []*[]byte
	// held is the size of the pieces, n the number of bytes in them.
	held, n int
	// extra is a byte beyond the pieces, if hasExtra. It shows that a body is longer than the pieces without
	// another one.
	extra    [1]byte
	hasExtra bool
}

// Len returns the number of bytes.
func (b *Buffer) Len() int {
	if b.hasExtra {
		return b.n + 1
	}
	return b.n
}

// Space returns where the next bytes go, which is for at least one byte and for at most size+1 bytes in all. size must
// not be less than Len. The pieces hold at most size bytes, rounded up to a whole piece.
func (b *Buffer) Space(size int) []byte {
	if b.n == b.held {
		if b.n >= size {
			return b.extra[:]
		}
		b.addPiece()
		if b.hasExtra {
			b.free()[0], b.hasExtra = b.extra[0], false
			b.n++
		}
	}
	free := b.free()
	return free[:min(len(free), size+1-b.n)]
}

// Add states that n bytes were written to the start of what Space has returned.
func (b *Buffer) Add(n int) {
	if b.n < b.held {
		b.n += n
	} else {
		b.hasExtra = n > 0
	}
}

// free returns the rest of the last piece.
func (b *Buffer) free() []byte {
	p := *b.pieces[len(b.pieces)-1]
	return p[len(p)-(b.held-b.n):]
}

// pieceAfter returns the size of the piece that follows held bytes, and its pool.
func pieceAfter(held int) (size int, pool *sync.Pool) {
	size = max(MinBytes, min(held, maxPieceBytes))
	return size, &pools[size/(2*MinBytes)]
}

func (b *Buffer) addPiece() {
	size, pool := pieceAfter(b.held)
	p, ok := pool.Get().(*[]byte)
	if !ok {
		made := make([]byte, size)
		p = &made
	}
	b.pieces = append(b.pieces, p)
	b.held += size
}

// Bytes returns a copy of the body and releases the buffer.
func (b *Buffer) Bytes() []byte {
	if len(b.pieces) > 1 {
		copying.Lock()
		defer copying.Unlock()
	}
	out := make([]byte, 0, b.Len())
	for _, p := range b.pieces {
		out = append(out, (*p)[:min(len(*p), b.n-len(out))]...)
	}
	if b.hasExtra {
		out = append(out, b.extra[0])
	}
	b.Release()
	return out
}

// Release makes the pieces available for other bodies, and empties the buffer.
func (b *Buffer) Release() {
	held := 0
	for _, p := range b.pieces {
		size, pool := pieceAfter(held)
		held += size
		pool.Put(p)
	}
	*b = Buffer{}
}

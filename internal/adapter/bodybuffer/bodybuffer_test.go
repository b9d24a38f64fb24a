package bodybuffer

import (
	"bytes"
	"io"
	"runtime"
	"testing"

	"pgregory.net/rapid"
)

// read reads a body as a server does, in parts of the sizes that next returns. It fails if the buffer takes more
// than is reserved.
func read(t *rapid.T, b *Buffer, body []byte, next func() int) {
	r, size := bytes.NewReader(body), MinBytes
	for {
		space := b.Space(size)
		n, err := r.Read(space[:min(len(space), next())])
		b.Add(n)
		if b.held > size {
			t.Fatalf("%d bytes are held, %d are reserved", b.held, size)
		}
		if err == io.EOF {
			return
		}
		if b.Len() > size {
			size *= 2
		}
	}
}

// TestBodyIsKept guards against a body that is changed while it is put together, with bytes that are lost, doubled, or
// left over from another body, and against a buffer that takes more memory than is reserved.
func TestBodyIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.OneOf(rapid.IntRange(0, 200<<10), rapid.SampledFrom([]int{4095, 4096, 4097, 8191, 8192, 8193, 16384, 16385, 32768, 32769})).Draw(t, "size")
		body := bytes.Repeat([]byte(rapid.StringN(1, 50, -1).Draw(t, "text")), size+1)[:size]
		part := rapid.OneOf(rapid.IntRange(1, 10), rapid.IntRange(1, 64<<10))
		var b Buffer
		read(t, &b, body, func() int { return part.Draw(t, "part") })
		if b.Len() != size {
			t.Fatalf("%d bytes, want %d", b.Len(), size)
		}
		if got := b.Bytes(); !bytes.Equal(got, body) {
			t.Fatalf("a body of %d bytes is changed", size)
		}
		if b.Len() != 0 || b.held != 0 {
			t.Fatal("the buffer is not empty after its body was taken")
		}
	})
}

// TestReleasedBodiesLeaveNoGarbage guards against a process whose memory grows while bodies are given up faster than
// garbage is collected.
func TestReleasedBodiesLeaveNoGarbage(t *testing.T) {
	const bodies, size = 200, 1 << 20
	give := func() {
		var b Buffer
		for b.Len() < size {
			b.Add(len(b.Space(size)))
		}
		b.Release()
	}
	give()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range bodies {
		give()
	}
	runtime.ReadMemStats(&after)
	// With the race detector a sync.Pool drops a quarter of what it gets.
	if n := after.TotalAlloc - before.TotalAlloc; n > bodies*size/2 {
		t.Errorf("%d bodies of %d bytes allocate %d bytes", bodies, size, n)
	}
}

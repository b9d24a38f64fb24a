// Package manifest describes a model version as a list of chunk digests. The
// name of the version is the digest of that list, so a complete set of verified
// chunks cannot belong to any other version.
package manifest

import (
	"crypto/sha256"
	"fmt"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// Digest is the SHA-256 digest of a chunk.
type Digest [sha256.Size]byte

// MaxChunkBytes bounds the size of a chunk. An agent verifies a chunk before it
// forwards it, so the chunk is also the unit of pipelining.
const MaxChunkBytes = 8 << 20

// MaxChunks bounds the number of chunks of a version.
const MaxChunks = 1 << 16

// Errors that Validate and VerifyChunk return.
var (
	ErrCorrupted       = errors.New("chunk does not match its digest")
	ErrVersionMismatch = errors.New("manifest does not match its version")
	ErrInvalidSize     = errors.New("manifest has an invalid size")
)

// Chunk describes one part of the weights.
type Chunk struct {
	Digest Digest
	Bytes  int64
}

// Manifest lists the chunks of a version in order.
type Manifest struct {
	Model  fleet.Model
	Chunks []Chunk
}

// Version returns the digest of the model name and all chunks.
func (m Manifest) Version() fleet.Version {
	h := sha256.New()
	fmt.Fprintf(h, "masticwing-manifest-1\n%s\n%d\n", m.Model, len(m.Chunks))
	for _, c := range m.Chunks {
		fmt.Fprintf(h, "%x %d\n", c.Digest, c.Bytes)
	}
	return fleet.Version(fmt.Sprintf("%x", h.Sum(nil)))
}

// Bytes returns the total size of the chunks.
func (m Manifest) Bytes() int64 {
	var n int64
	for _, c := range m.Chunks {
		n += c.Bytes
	}
	return n
}

// Validate returns an error unless m is well-formed and its version is v.
func (m Manifest) Validate(v fleet.Version) error {
	if len(m.Chunks) == 0 || len(m.Chunks) > MaxChunks {
		return errors.Wrapf(ErrInvalidSize, "%d chunks", len(m.Chunks))
	}
	for i, c := range m.Chunks {
		if c.Bytes <= 0 || c.Bytes > MaxChunkBytes {
			return errors.Wrapf(ErrInvalidSize, "chunk %d has %d bytes", i, c.Bytes)
		}
	}
	if m.Version() != v {
		return ErrVersionMismatch
	}
	return nil
}

// VerifyChunk returns an error unless data is the content of chunk i.
func (m Manifest) VerifyChunk(i int, data []byte) error {
	if i < 0 || i >= len(m.Chunks) {
		return errors.Wrapf(ErrInvalidSize, "no chunk %d", i)
	}
	if int64(len(data)) != m.Chunks[i].Bytes || sha256.Sum256(data) != m.Chunks[i].Digest {
		return errors.Wrapf(ErrCorrupted, "chunk %d", i)
	}
	return nil
}

// Split divides weights into chunks of chunkBytes and returns the manifest. The
// last chunk may be smaller.
func Split(model fleet.Model, weights []byte, chunkBytes int) Manifest {
	m := Manifest{Model: model}
	for len(weights) > 0 {
		n := min(chunkBytes, len(weights))
		m.Chunks = append(m.Chunks, Chunk{Digest: sha256.Sum256(weights[:n]), Bytes: int64(n)})
		weights = weights[n:]
	}
	return m
}

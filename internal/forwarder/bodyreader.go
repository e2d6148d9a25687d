package forwarder

import (
	"errors"
	"io"
	"sync"

	"github.com/marigoldrelay/marigoldrelay/internal/budgeter"
)

const (
	// minBodyBuffer is the size, in bytes, of the first buffer for a body of unknown length.
	minBodyBuffer = 1 << 10
	// smallBodyBytes is the size up to which bodies need no room in the pool's memory.
	smallBodyBytes = 16 << 10
	// blockBytes is the size of the blocks that hold what is beyond that.
	blockBytes = 64 << 10
)

// block is a part of a body that is being received.
type block [blockBytes]byte

// blockPool keeps blocks for reuse, so that bodies which fail leave no garbage behind.
var blockPool = sync.Pool{New: func() any { return new(block) }}

// bodyReader reads a body. It needs memory for what has arrived, not for what is announced.
type bodyReader struct {
	// conn is closed when the body must make room for others.
	conn *conn
	// first holds the beginning of the body, at most smallBodyBytes.
	first []byte
	// blocks hold the rest. All but the last are full.
	blocks []*block
	// size is the number of bytes that have arrived.
	size int
	// length is the content length as the HTTP library reports it.
	length int
	// limit is the size, in bytes, that a body must not exceed.
	limit  int
	memory *budgeter.Memory
	// holding is the memory of a body that is not small; nil while it is.
	holding *budgeter.Holding
}

// newBodyReader returns a reader for a body of the given length. It uses the buffer, which can be nil, unless it is large.
func newBodyReader(c *conn, buffer []byte, length, limit int, memory *budgeter.Memory) *bodyReader {
	if cap(buffer) > smallBodyBytes {
		buffer = nil
	}
	return &bodyReader{conn: c, first: buffer[:0], length: length, limit: limit, memory: memory}
}

// readAll reads until the end of the source.
func (b *bodyReader) readAll(source io.Reader) error {
	for b.size != b.length {
		space, err := b.space()
		if err != nil {
			return err
		}
		n, err := source.Read(space)
		b.advance(n)
		switch {
		case b.size > b.limit:
			return ErrTooLong
		case errors.Is(err, io.EOF) && b.length > b.size:
			return io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
	return nil
}

// space returns where the next bytes are to be read to. It is not empty.
func (b *bodyReader) space() ([]byte, error) {
	if len(b.blocks) == 0 {
		b.growFirst()
		if len(b.first) < cap(b.first) {
			return b.first[len(b.first):cap(b.first)], nil
		}
	}
	used := (b.size - len(b.first)) % blockBytes
	if used == 0 {
		if !b.occupy((len(b.blocks) + 1) * blockBytes) {
			return nil, ErrNoMemory
		}
		b.blocks = append(b.blocks, blockPool.Get().(*block))
	}
	return b.blocks[len(b.blocks)-1][used:], nil
}

// growFirst grows the first buffer if it is full and can grow: at once for a body that is known to be large, and otherwise
// twofold.
func (b *bodyReader) growFirst() {
	if len(b.first) < cap(b.first) || cap(b.first) == smallBodyBytes {
		return
	}
	size := min(max(2*cap(b.first), minBodyBuffer), smallBodyBytes)
	if b.length > smallBodyBytes {
		size = smallBodyBytes
	}
	grown := make([]byte, len(b.first), size)
	copy(grown, b.first)
	b.first = grown
}

// advance records that n bytes have been read to the space.
func (b *bodyReader) advance(n int) {
	b.size += n
	if len(b.blocks) == 0 {
		b.first = b.first[:b.size]
	}
}

// join returns the whole body. Its blocks and their copy occupy memory at the same time.
func (b *bodyReader) join() ([]byte, error) {
	if len(b.blocks) == 0 {
		return b.first, nil
	}
	if !b.occupy(len(b.blocks)*blockBytes + b.size) {
		return nil, ErrNoMemory
	}
	whole := append(make([]byte, 0, b.size), b.first...)
	for _, part := range b.blocks {
		whole = append(whole, part[:min(blockBytes, b.size-len(whole))]...)
	}
	b.freeBlocks()
	if !b.occupy(b.size) {
		return nil, ErrNoMemory
	}
	return whole, nil
}

// freeBlocks returns the blocks to their pool.
func (b *bodyReader) freeBlocks() {
	for _, part := range b.blocks {
		blockPool.Put(part)
	}
	b.blocks = nil
}

// occupy records the bytes that the body occupies. It reports false if there is no room for them.
func (b *bodyReader) occupy(bytes int) bool {
	if b.holding == nil {
		// The function outlives the reader, so that it must not refer to its buffers.
		c := b.conn
		b.holding = b.memory.Begin(func() { _ = c.Close() })
	}
	return b.holding.Resize(bytes)
}

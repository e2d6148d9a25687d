// Package bodyreader reads the bodies of requests and responses. A body occupies memory of a budgeter.Memory as it arrives,
// whatever length is announced.
package bodyreader

import (
	"errors"
	"io"

	"github.com/ansel1/merry/v2"

	"github.com/marigoldrelay/marigoldrelay/internal/budgeter"
)

const (
	// SmallBytes is the size up to which bodies need no room in the memory.
	SmallBytes = 16 << 10
	// minBuffer is the size, in bytes, of the first buffer for a body of unknown length.
	minBuffer = 1 << 10
	// blockBytes is the size of the blocks that hold what is beyond SmallBytes.
	blockBytes = 64 << 10
	// minWholeBytes is the length from which a body gets a buffer for all of it before it is whole. Smaller ones are
	// copied when they are, because such buffers are garbage when a body fails, unlike blocks.
	minWholeBytes = 16 << 20
	// wholeDivisor is the part of the length that must have arrived before a buffer for all of it is allocated. A body needs
	// memory for 1 + 1/wholeDivisor of its length at most, where one that is copied at its end needs twice its length.
	wholeDivisor = 4
)

var (
	// ErrNoMemory means that the body was given up because bodies occupy all the memory that they may.
	ErrNoMemory = merry.Sentinel("no memory for the body")
	// ErrTooLong means that the body exceeds its limit.
	ErrTooLong = merry.Sentinel("body too long")
)

// block is a part of a body that is being received.
type block [blockBytes]byte

// maxIdleBlocks limits the blocks that are kept for reuse. They count for nothing, and the collector can't have them: a sync.Pool
// kept up to half of the memory for bodies in blocks without use.
const maxIdleBlocks = 64

// idleBlocks keeps blocks for reuse, so that ordinary bodies leave less garbage behind.
var idleBlocks = make(chan *block, maxIdleBlocks)

func acquireBlock() *block {
	select {
	case b := <-idleBlocks:
		return b
	default:
		return new(block)
	}
}

func releaseBlock(b *block) {
	select {
	case idleBlocks <- b:
	default:
	}
}

// Config is what a Reader needs to know of a body.
type Config struct {
	// Buffer is used for the beginning of the body unless it is large. It can be nil.
	Buffer []byte
	// Class is what the body belongs to.
	Class budgeter.Class
	// GiveUp makes reads from the source fail, without blocking. It is called when the body must make room for others. It
	// outlives the Reader, so that it must not refer to its buffers.
	GiveUp func()
	// Length is the length of the body; negative if it is not known.
	Length int
	// Limit is the size, in bytes, that the body must not exceed.
	Limit  int
	Memory *budgeter.Memory
}

// Reader reads one body.
type Reader struct {
	Config
	// first holds the beginning of the body, at most SmallBytes.
	first []byte
	// blocks hold the rest until there is a whole buffer. All but the last are full.
	blocks []*block
	// whole holds all that has arrived, once its capacity has been allocated.
	whole []byte
	// size is the number of bytes that have arrived.
	size int
	// reported is the size at which the progress of a body with a whole buffer was last reported.
	reported int
	// holding is the memory of a body that is not small; nil while it is.
	holding *budgeter.Holding
}

// New returns a Reader that has read nothing.
func New(config Config) *Reader {
	if cap(config.Buffer) > SmallBytes {
		config.Buffer = nil
	}
	return &Reader{Config: config, first: config.Buffer[:0]}
}

// ReadAll reads until the end of the source, or until the given length is reached.
func (b *Reader) ReadAll(source io.Reader) error {
	for b.size != b.Length {
		space, err := b.space()
		if err != nil {
			return err
		}
		n, err := source.Read(space)
		b.advance(n)
		switch {
		case b.size > b.Limit:
			return ErrTooLong
		case errors.Is(err, io.EOF) && b.Length > b.size:
			return io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
	return nil
}

// Finish returns the body after ReadAll, with the memory that it occupies, which is nil for a small one. The error is that of
// reading, if there was one, or ErrNoMemory if the body has been given up. A body that fails occupies no memory.
func (b *Reader) Finish(err error) ([]byte, *budgeter.Holding, error) {
	var body []byte
	if err == nil {
		body, err = b.join()
	}
	if !b.holding.Keep() {
		err = ErrNoMemory
	}
	if err != nil {
		b.freeBlocks()
		b.holding.Release()
		return nil, nil, err
	}
	return body, b.holding, nil
}

// space returns where the next bytes are to be read to. It is not empty.
func (b *Reader) space() ([]byte, error) {
	if len(b.blocks) == 0 && b.whole == nil {
		b.growFirst()
		if len(b.first) < cap(b.first) {
			return b.first[len(b.first):cap(b.first)], nil
		}
	}
	if b.needsWhole() {
		if err := b.allocateWhole(); err != nil {
			return nil, err
		}
	}
	if b.whole != nil {
		// One byte beyond the limit is read, to find that the body exceeds it.
		return b.whole[b.size:min(cap(b.whole), b.size+blockBytes)], nil
	}
	used := (b.size - len(b.first)) % blockBytes
	if used == 0 {
		if !b.occupy((len(b.blocks) + 1) * blockBytes) {
			return nil, ErrNoMemory
		}
		b.blocks = append(b.blocks, acquireBlock())
	}
	return b.blocks[len(b.blocks)-1][used:], nil
}

// wholeBytes returns the size of a buffer that holds the body whatever its length turns out to be.
func (b *Reader) wholeBytes() int {
	if b.Length >= 0 {
		return b.Length
	}
	return b.Limit + 1
}

func (b *Reader) needsWhole() bool {
	whole := b.wholeBytes()
	return b.whole == nil && whole >= minWholeBytes && b.size >= whole/wholeDivisor
}

// allocateWhole moves what has arrived to a buffer for all of the body.
func (b *Reader) allocateWhole() error {
	capacity := b.wholeBytes()
	if !b.occupy(len(b.blocks)*blockBytes + capacity) {
		return ErrNoMemory
	}
	whole := make([]byte, capacity)
	b.copyTo(whole)
	b.whole, b.reported = whole, b.size
	b.freeBlocks()
	b.holding.Resize(capacity)
	return nil
}

// growFirst grows the first buffer if it is full and can grow: at once for a body that is known to be large, and otherwise
// twofold.
func (b *Reader) growFirst() {
	if len(b.first) < cap(b.first) || cap(b.first) == SmallBytes {
		return
	}
	size := min(max(2*cap(b.first), minBuffer), SmallBytes)
	if b.Length > SmallBytes {
		size = SmallBytes
	}
	grown := make([]byte, len(b.first), size)
	copy(grown, b.first)
	b.first = grown
}

// advance records that n bytes have been read to the space.
func (b *Reader) advance(n int) {
	b.size += n
	switch {
	case b.whole != nil && b.size >= b.reported+blockBytes:
		b.reported = b.size
		b.holding.Progress()
	case b.whole == nil && len(b.blocks) == 0:
		b.first = b.first[:b.size]
	}
}

// join returns the whole body. Its blocks and their copy occupy memory at the same time.
func (b *Reader) join() ([]byte, error) {
	switch {
	case b.whole != nil:
		return b.whole[:b.size], nil
	case len(b.blocks) == 0:
		return b.first, nil
	case !b.occupy(len(b.blocks)*blockBytes + b.size):
		return nil, ErrNoMemory
	}
	whole := make([]byte, b.size)
	b.copyTo(whole)
	b.freeBlocks()
	if !b.occupy(b.size) {
		return nil, ErrNoMemory
	}
	return whole, nil
}

// copyTo copies what has arrived to a buffer.
func (b *Reader) copyTo(whole []byte) {
	n := copy(whole, b.first)
	for _, part := range b.blocks {
		n += copy(whole[n:], part[:min(blockBytes, b.size-n)])
	}
}

// freeBlocks returns the blocks to their pool.
func (b *Reader) freeBlocks() {
	for _, part := range b.blocks {
		releaseBlock(part)
	}
	b.blocks = nil
}

// occupy records the bytes that the body occupies. It reports false if there is no room for them.
func (b *Reader) occupy(bytes int) bool {
	if b.holding == nil {
		b.holding = b.Memory.Begin(b.Class, b.GiveUp)
	}
	return b.holding.Resize(bytes)
}

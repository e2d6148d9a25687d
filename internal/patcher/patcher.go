// Package patcher describes a text by its difference from an earlier one of which only a signature is kept: as chunks that both
// have in common, and the bytes of the others.
package patcher

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
)

// ErrPatch is wrapped by the error of Apply for a patch that is malformed or doesn't fit the text.
var ErrPatch = merry.Sentinel("the patch doesn't fit the text")

// Signature holds the hash of each chunk of a text.
type Signature []uint64

// Sign returns the signature of a text.
func Sign(text string) Signature {
	var signature Signature
	for chunk := range chunks(text) {
		signature = append(signature, Sum(chunk))
	}
	return signature
}

// Sum returns the hash of a text (XXH64), by which the result of Apply is checked.
func Sum(text string) uint64 {
	return xxhash.Sum64String(text)
}

// A patch is a sequence of operations. Each begins with an unsigned varint whose lowest bit is its kind.
const (
	// opCopy copies chunks of the earlier text: the varint holds the number of the first one, a second varint how many.
	opCopy = 0
	// opInsert inserts bytes, which follow: the varint holds how many.
	opInsert = 1
)

// Make returns the patch that leads from a text with the signature to another text.
func Make(from Signature, to string) []byte {
	numbers := make(map[uint64]int, len(from))
	for i, hash := range slices.Backward(from) {
		numbers[hash] = i
	}
	w := &writer{}
	for chunk := range chunks(to) {
		number, ok := numbers[Sum(chunk)]
		// Of equal chunks, the one that continues a copy is as good as the first one.
		if next := w.copyFirst + w.copyCount; ok && w.copyCount > 0 && next < len(from) && from[next] == from[number] {
			number = next
		}
		if ok {
			w.copy(number)
		} else {
			w.insert(chunk)
		}
	}
	w.flush()
	return w.patch
}

// writer writes the operations of a patch. At most one of the pending copy and the pending insertion is not empty.
type writer struct {
	patch []byte
	// copyFirst and copyCount are the chunks of the pending copy, and inserted the bytes of the pending insertion.
	copyFirst, copyCount int
	inserted             []byte
}

func (w *writer) copy(number int) {
	if w.copyCount > 0 && number == w.copyFirst+w.copyCount {
		w.copyCount++
		return
	}
	w.flush()
	w.copyFirst, w.copyCount = number, 1
}

func (w *writer) insert(chunk string) {
	if w.copyCount > 0 {
		w.flush()
	}
	w.inserted = append(w.inserted, chunk...)
}

// flush writes the pending operation.
func (w *writer) flush() {
	if w.copyCount > 0 {
		w.patch = binary.AppendUvarint(w.patch, uint64(w.copyFirst)<<1|opCopy)
		w.patch = binary.AppendUvarint(w.patch, uint64(w.copyCount))
	}
	if len(w.inserted) > 0 {
		w.patch = binary.AppendUvarint(w.patch, uint64(len(w.inserted))<<1|opInsert)
		w.patch = append(w.patch, w.inserted...)
	}
	w.copyCount, w.inserted = 0, nil
}

// Apply returns the text to which a patch leads from another one. The error wraps ErrPatch, also for a result of more than limit
// bytes.
func Apply(from string, patch []byte, limit int) (string, error) {
	// starts holds where each chunk begins, and the end of the last one.
	starts := []int{0}
	for chunk := range chunks(from) {
		starts = append(starts, starts[len(starts)-1]+len(chunk))
	}
	r := &reader{patch: patch}
	var to strings.Builder
	to.Grow(min(len(from)+len(patch), limit))
	for len(r.patch) > 0 && r.err == nil {
		piece := r.next(from, starts)
		if to.Len()+len(piece) > limit {
			return "", fmt.Errorf("%w: more than %d bytes", ErrPatch, limit)
		}
		to.WriteString(piece)
	}
	return to.String(), r.err
}

// reader reads the operations of a patch.
type reader struct {
	// patch is what has not been read.
	patch []byte
	err   error
}

// next returns the bytes of the next operation. They are empty after an error.
func (r *reader) next(from string, starts []int) string {
	head := r.uvarint()
	if head&1 == opInsert {
		count := head >> 1
		if count > uint64(len(r.patch)) {
			r.err = fmt.Errorf("%w: it is cut short", ErrPatch)
			return ""
		}
		piece := string(r.patch[:count])
		r.patch = r.patch[count:]
		return piece
	}
	first, count := head>>1, r.uvarint()
	available := uint64(len(starts) - 1)
	if r.err != nil || first > available || count > available-first {
		r.err = fmt.Errorf("%w: chunks %d and %d more of %d", ErrPatch, first, count, available)
		return ""
	}
	return from[starts[first]:starts[first+count]]
}

// uvarint reads an unsigned varint, or returns zero and sets the error.
func (r *reader) uvarint() uint64 {
	value, n := binary.Uvarint(r.patch)
	if n <= 0 {
		r.err = fmt.Errorf("%w: it is cut short", ErrPatch)
		r.patch = nil
		return 0
	}
	r.patch = r.patch[n:]
	return value
}

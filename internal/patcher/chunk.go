package patcher

// Sizes of chunks in bytes. All nodes must cut texts at the same places, so that these values and those below belong to the
// format of patches.
const (
	minChunkBytes = 32
	maxChunkBytes = 1024
	// boundaryShift leaves 7 bits of the rolling hash, which are zero at one in 128 bytes.
	boundaryShift = 64 - 7
)

// gear maps a byte to its part in the rolling hash.
var gear = newGear()

// newGear returns the first outputs of the generator SplitMix64 (Steele, Lea, Flood, 2014) with the seed zero.
func newGear() (table [256]uint64) {
	state := uint64(0)
	for i := range table {
		state += 0x9e3779b97f4a7c15
		z := state
		z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
		z = (z ^ z>>27) * 0x94d049bb133111eb
		table[i] = z ^ z>>31
	}
	return table
}

// chunkLength returns the length in bytes of the first chunk of a text that is not empty. The end depends on the bytes before
// it alone (content-defined chunking with a gear hash; Xia et al., FastCDC, 2016), so that texts that are equal in a part have the
// same chunks in nearly all of it, wherever it begins.
func chunkLength(text string) int {
	if len(text) <= minChunkBytes {
		return len(text)
	}
	end := min(len(text), maxChunkBytes)
	hash := uint64(0)
	for i := range end {
		hash = hash<<1 + gear[text[i]]
		if i >= minChunkBytes && hash>>boundaryShift == 0 {
			return i + 1
		}
	}
	return end
}

// chunks returns an iterator over the chunks of a text.
func chunks(text string) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		for text != "" {
			n := chunkLength(text)
			if !yield(text[:n]) {
				return
			}
			text = text[n:]
		}
	}
}

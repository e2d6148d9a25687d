package wiretester

import (
	"bytes"
	"math/rand/v2"
)

const (
	maxMutations = 3
	maxSplice    = 24 // Bytes.
)

// mutationBytes are bytes that matter to the framing of a message.
var mutationBytes = []byte("\r\n\r\n\t  ::;,/0123456789abcxAZ-_%?#@[]\x00\x1b\x7f\xff\"()")

// Mutate calls check with count mutations of the cases, which the seed determines.
func Mutate(cases []Case, seed uint64, count int, check func(wire []byte)) {
	random := rand.New(rand.NewPCG(seed, seed))
	for range count {
		wire := cases[random.IntN(len(cases))].Wire
		other := cases[random.IntN(len(cases))].Wire
		check(mutate(random, wire, other))
	}
}

// mutate returns a copy of wire with a few bytes inserted, replaced or removed, or replaced by a part of another message.
func mutate(random *rand.Rand, wire, other string) []byte {
	mutated := []byte(wire)
	for range 1 + random.IntN(maxMutations) {
		at := random.IntN(len(mutated) + 1)
		removed := random.IntN(min(len(mutated)-at, maxSplice) + 1)
		var inserted []byte
		switch random.IntN(4) {
		case 0:
			from := random.IntN(len(other) + 1)
			inserted = []byte(other[from:min(len(other), from+random.IntN(maxSplice))])
		case 1:
			removed = 0
			inserted = []byte{mutationBytes[random.IntN(len(mutationBytes))]}
		case 2:
			removed = min(removed, 1)
			inserted = []byte{mutationBytes[random.IntN(len(mutationBytes))]}
		}
		mutated = bytes.Join([][]byte{mutated[:at], inserted, mutated[at+removed:]}, nil)
	}
	return mutated
}

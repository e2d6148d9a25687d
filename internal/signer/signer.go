// Package signer authenticates messages between nodes by HMAC signatures with a shared key.
package signer

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"hash"
	"sync"

	"github.com/ansel1/merry/v2"
)

// SumBytes is the length of a signature in bytes.
const SumBytes = 16

// MinKeyBytes is the length in bytes of the shortest key that New accepts.
const MinKeyBytes = 16

// ErrShortKey is returned by New for a key of fewer than MinKeyBytes bytes.
var ErrShortKey = merry.Sentinel("the key is shorter than 16 bytes")

// Signer signs and verifies messages with HMAC-SHA256 (RFC 2104), truncated to SumBytes. It is safe for concurrent use.
type Signer struct {
	// macStates holds *macState values for reuse, so that the key is not hashed again for each signature.
	macStates sync.Pool
}

// New returns a signer with the given key. It returns ErrShortKey if the key is too short.
func New(key []byte) (*Signer, error) {
	if len(key) < MinKeyBytes {
		return nil, ErrShortKey
	}
	s := &Signer{}
	s.macStates.New = func() any { return &macState{mac: hmac.New(sha256.New, key)} }
	return s, nil
}

// Sum returns the signature of data for a purpose. The parts of data are concatenated without delimiters. A signature
// for one purpose is not valid for another.
func (s *Signer) Sum(purpose string, data ...[]byte) []byte {
	state, ok := s.macStates.Get().(*macState)
	if !ok {
		return nil
	}
	defer s.macStates.Put(state)
	state.mac.Reset()
	state.buffer = append(append(state.buffer[:0], purpose...), 0)
	state.mac.Write(state.buffer)
	for _, part := range data {
		state.mac.Write(part)
	}
	return state.mac.Sum(make([]byte, 0, sha256.Size))[:SumBytes]
}

// macState is a keyed hash with a buffer for the purpose.
type macState struct {
	buffer []byte
	mac    hash.Hash
}

// Hex returns the signature of data for the purpose, as lower-case hexadecimal digits.
func (s *Signer) Hex(purpose string, data ...[]byte) string {
	return hex.EncodeToString(s.Sum(purpose, data...))
}

// Verify reports whether sum is the signature of data for the purpose. It compares in constant time.
func (s *Signer) Verify(sum []byte, purpose string, data ...[]byte) bool {
	return subtle.ConstantTimeCompare(sum, s.Sum(purpose, data...)) == 1
}

// VerifyHex is like Verify for a signature in hexadecimal digits, as Hex returns it.
func (s *Signer) VerifyHex(sum, purpose string, data ...[]byte) bool {
	raw, err := hex.DecodeString(sum)
	if err != nil {
		return false
	}
	return s.Verify(raw, purpose, data...)
}

package replicator

import (
	"fmt"

	"github.com/marigoldrelay/marigoldrelay/internal/patcher"
)

// MinPatchedBytes is the size of the shortest text for which a patch is worth its making.
const MinPatchedBytes = 4 << 10

// TextPatch leads from one text to another.
type TextPatch struct {
	// Patch is one of patcher, compressed by Pack.
	Patch []byte `json:"patch,omitempty"`
	// Sum is patcher.Sum of the text that it leads to.
	Sum uint64 `json:"sum,omitempty"`
}

// NewTextPatch returns the patch that leads from the text with the signature to another text.
func NewTextPatch(from patcher.Signature, to string) TextPatch {
	return TextPatch{Patch: Pack(string(patcher.Make(from, to))), Sum: patcher.Sum(to)}
}

// ApplyTo returns the text that the patch leads to from a text. The error wraps ErrUnpack or patcher.ErrPatch if it doesn't fit.
func (p *TextPatch) ApplyTo(from string) (string, error) {
	patch, err := Unpack(p.Patch)
	if err != nil {
		return "", err
	}
	text, err := patcher.Apply(from, []byte(patch), MaxTextBytes)
	if err != nil {
		return "", err
	}
	if patcher.Sum(text) != p.Sum {
		return "", fmt.Errorf("%w: it gives another text", patcher.ErrPatch)
	}
	return text, nil
}

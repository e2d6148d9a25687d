package distributor

import (
	"errors"
	"fmt"

	"github.com/ansel1/merry/v2"

	"github.com/marigoldrelay/marigoldrelay/internal/patcher"
	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
)

// ErrNoBase is wrapped by the error of Document.Value if the text can't be made from the one that is in force.
var ErrNoBase = merry.Sentinel("the text that the document builds on is not in force")

// Document is a value of the register as nodes exchange it: without its history, and with the text compressed or as the difference
// from an earlier one. Without either it is a question whether the receiver has the revision.
type Document struct {
	// Base is the revision whose text Patch builds on; zero without a patch.
	Base       uint64 `json:"base,omitempty"`
	Deployment string `json:"deployment"`
	// Evacuated are the evacuated data centres.
	Evacuated []string `json:"evacuated,omitempty"`
	// Packed is the whole text, compressed by replicator.Pack.
	Packed []byte `json:"packed,omitempty"`
	// TextPatch leads from the text of Base to the text.
	replicator.TextPatch
	Replicas []replicator.Replica `json:"replicas"`
	// ReplicasRevision is that of the value.
	ReplicasRevision uint64 `json:"replicas-revision,omitempty"`
	Revision         uint64 `json:"revision"`
	// WholeBytes is the size of Packed, if a fetch leaves it out for its size.
	WholeBytes int    `json:"whole-bytes,omitempty"`
	Version    uint64 `json:"version"`
}

// newDocument returns the document of a value without its text.
func newDocument(value *replicator.Value) Document {
	return Document{
		Deployment: value.Deployment, Evacuated: value.Evacuated, Replicas: value.Replicas, ReplicasRevision: value.ReplicasRevision,
		Revision: value.Revision, Version: value.Version,
	}
}

// Size returns the number of bytes of the text or the patch, compressed.
func (d *Document) Size() int {
	return len(d.Packed) + len(d.Patch)
}

// IsLarge reports whether the document is too large to be sent without a question before it.
func (d *Document) IsLarge() bool {
	return d.Size() > MaxUnaskedBytes
}

// IsQuestion reports whether the document has no text.
func (d *Document) IsQuestion() bool {
	return d.Size() == 0
}

// Question returns the document without its text.
func (d *Document) Question() Document {
	question := *d
	question.Base, question.Packed, question.TextPatch = 0, nil, replicator.TextPatch{}
	return question
}

// Value returns the value without its history. The value in force can be nil. The error wraps ErrNoBase if that is not the one that the
// document builds on, or replicator.ErrUnpack if the text can't be decompressed.
func (d *Document) Value(inForce *replicator.Value) (*replicator.Value, error) {
	text, err := d.text(inForce)
	if err != nil {
		return nil, err
	}
	return &replicator.Value{
		Deployment: d.Deployment, Evacuated: d.Evacuated, Replicas: d.Replicas, ReplicasRevision: d.ReplicasRevision, Revision: d.Revision,
		Text: text, Version: d.Version,
	}, nil
}

func (d *Document) text(inForce *replicator.Value) (string, error) {
	switch {
	case d.IsQuestion():
		return "", fmt.Errorf("%w: revision %d comes without its text", ErrNoBase, d.Revision)
	case d.Base == 0:
		return replicator.Unpack(d.Packed)
	case inForce == nil || inForce.Revision != d.Base:
		return "", fmt.Errorf("%w: revision %d", ErrNoBase, d.Base)
	}
	text, err := d.ApplyTo(inForce.Text)
	if errors.Is(err, patcher.ErrPatch) {
		return "", fmt.Errorf("%w: from revision %d: %w", ErrNoBase, d.Base, err)
	}
	return text, err
}

package replicator

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/ansel1/merry/v2"

	"github.com/marigoldrelay/marigoldrelay/internal/patcher"
)

// ErrOtherBase is wrapped by the error of a difference that doesn't fit the value which the replica has accepted. The whole value does.
var ErrOtherBase = merry.Sentinel("the difference is from another value")

const (
	// minDifferenceBytes is the size of the smallest values that are sent as differences.
	minDifferenceBytes = 4 << 10
	// resultBytes is about the size of a ChangeResult on the wire.
	resultBytes = 48
)

// Difference leads from one value of the register to another one. It leaves out what both have in common: most of the text, the texts of
// the history, and the results of earlier changes.
type Difference struct {
	// Value is the other value without its text. Its history lacks the texts of the entries in Restored, and its results begin after
	// those of the first value.
	Value plainValue `json:"value"`
	// TextPatch leads from the first value's text to the other one's.
	TextPatch
	// Restored holds the indexes of entries of the history whose texts are those of the same version in the first value or, for the
	// newest one, the text itself.
	Restored []int `json:"restored,omitempty"`
	// ResultsGone is the number of results of the first value, from the oldest on, that the other one no longer has.
	ResultsGone int `json:"results-gone,omitempty"`
}

// NewDifference returns the difference that leads from one value to another, or nil if that wouldn't be much smaller than the value.
func NewDifference(from, to *Value) *Difference {
	if from == nil || from.Text == "" || len(to.Text)+resultBytes*len(to.Results) < minDifferenceBytes {
		return nil
	}
	return makeDifference(from, to)
}

// makeDifference returns the difference that leads from one value to another.
func makeDifference(from, to *Value) *Difference {
	d := &Difference{Value: plainValue(*to), TextPatch: NewTextPatch(patcher.Sign(from.Text), to.Text)}
	d.Value.Text = ""
	d.Value.History = slices.Clone(to.History)
	for i := range d.Value.History {
		entry := &d.Value.History[i]
		if packed := restoredText(from, to, i); len(entry.Packed) > 0 && bytes.Equal(packed, entry.Packed) {
			entry.Packed = nil
			d.Restored = append(d.Restored, i)
		}
	}
	d.ResultsGone = resultsGone(from.Results, to.Results)
	d.Value.Results = to.Results[len(from.Results)-d.ResultsGone:]
	return d
}

// resultsGone returns how many of the oldest results are no longer in the later ones, which go on with the others.
func resultsGone(from, to []ChangeResult) int {
	for gone := range from {
		kept := from[gone:]
		if len(kept) <= len(to) && slices.Equal(kept, to[:len(kept)]) {
			return gone
		}
	}
	return len(from)
}

// restoredText returns the packed text of an entry in a value's history, taken from an earlier value or, for the newest entry, from the
// value's own text. It returns nil if neither has it.
func restoredText(from, to *Value, index int) []byte {
	entry := &to.History[index]
	for i := range from.History {
		same := &from.History[i]
		if same.Version == entry.Version && same.ChangeID == entry.ChangeID && len(same.Packed) > 0 {
			return same.Packed
		}
	}
	if index == len(to.History)-1 && entry.Version == to.Version {
		return Pack(to.Text)
	}
	return nil
}

// Apply returns the value to which the difference leads from a value. The error wraps ErrOtherBase if it doesn't fit that.
func (d *Difference) Apply(from *Value) (*Value, error) {
	if from == nil {
		return nil, fmt.Errorf("%w: there is none", ErrOtherBase)
	}
	to := Value(d.Value)
	text, err := d.ApplyTo(from.Text)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrOtherBase, err)
	}
	to.Text = text
	to.History = slices.Clone(d.Value.History)
	for _, i := range d.Restored {
		if i < 0 || i >= len(to.History) {
			return nil, fmt.Errorf("%w: there is no entry %d", ErrOtherBase, i)
		}
		if to.History[i].Packed = restoredText(from, &to, i); to.History[i].Packed == nil {
			return nil, fmt.Errorf("%w: the text of version %d is missing", ErrOtherBase, to.History[i].Version)
		}
	}
	if d.ResultsGone < 0 || d.ResultsGone > len(from.Results) {
		return nil, fmt.Errorf("%w: %d of %d results are gone", ErrOtherBase, d.ResultsGone, len(from.Results))
	}
	to.Results = slices.Concat(from.Results[d.ResultsGone:], d.Value.Results)
	return &to, nil
}

// TextOf returns the text of a version: the value's own, or one that its history still has. The error wraps ErrOtherBase if it is
// neither. The value can be nil.
func (v *Value) TextOf(version uint64) (string, error) {
	if v != nil && v.Version == version {
		return v.Text, nil
	}
	if v != nil {
		for i := range v.History {
			if entry := &v.History[i]; entry.Version == version && len(entry.Packed) > 0 {
				return Unpack(entry.Packed)
			}
		}
	}
	return "", fmt.Errorf("%w: the text of version %d is missing", ErrOtherBase, version)
}

// leadsTo reports whether the difference leads to a value that was accepted under the same ballot.
func (d *Difference) leadsTo(value *Value) bool {
	return d.Value.Revision == value.Revision && d.Value.Version == value.Version && d.Sum == patcher.Sum(value.Text)
}

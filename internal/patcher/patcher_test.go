package patcher

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// textLimit is more than the length of each text of the tests, in bytes.
const textLimit = 1 << 20

// numbered returns a text of numbered lines.
func numbered(lines int) string {
	var text strings.Builder
	for i := range lines {
		fmt.Fprintf(&text, `{"name":"r-%d","path-prefix":"/further/%x/","service":"entries"},`, i, uint64(i)*0x9e3779b97f4a7c15)
	}
	return text.String()
}

// TestPatchLeadsToText guards against a patch whose result is not the text that it was made for, whichever parts of the earlier
// text were kept, moved, repeated or replaced.
func TestPatchLeadsToText(t *testing.T) {
	earlier := numbered(300)
	rapid.Check(t, func(t *rapid.T) {
		var to string
		for range rapid.IntRange(0, 6).Draw(t, "pieces") {
			start := rapid.IntRange(0, len(earlier)).Draw(t, "start")
			end := rapid.IntRange(start, len(earlier)).Draw(t, "end")
			to += earlier[start:end] + rapid.StringN(0, 40, 200).Draw(t, "inserted")
		}
		from := earlier[:rapid.IntRange(0, len(earlier)).Draw(t, "length")]
		got, err := Apply(from, Make(Sign(from), to), textLimit)
		if err != nil || got != to {
			t.Fatalf("%d bytes and %v, want %d bytes", len(got), err, len(to))
		}
	})
}

// TestPatchOfSmallChangeIsSmall guards against a patch that grows with the text instead of the change.
func TestPatchOfSmallChangeIsSmall(t *testing.T) {
	const (
		lines = 2800
		// mostBytes is room for the chunks of two changed lines.
		mostBytes = 4 * maxChunkBytes
	)
	from := numbered(lines)
	middle := strings.Index(from, `"r-1400"`)
	to := strings.Replace(from[:middle]+`"new":1,`+from[middle:], `"r-7"`, `"r-7-changed"`, 1)
	patch := Make(Sign(from), to)
	if len(patch) > mostBytes {
		t.Errorf("a patch of %d bytes for two changes in %d, want at most %d", len(patch), len(from), mostBytes)
	}
	if got, err := Apply(from, patch, textLimit); err != nil || got != to {
		t.Errorf("%d bytes and %v, want %d bytes", len(got), err, len(to))
	}
}

// TestMalformedPatches guards against a patch from the network that makes Apply panic, or return more than the limit.
func TestMalformedPatches(t *testing.T) {
	from := numbered(20)
	patch := Make(Sign(from), from[:700]+"changed"+from[800:])
	for length := range patch {
		if _, err := Apply(from, patch[:length], textLimit); err != nil && !errors.Is(err, ErrPatch) {
			t.Errorf("the first %d bytes: %v", length, err)
		}
	}
	if _, err := Apply("", patch, textLimit); !errors.Is(err, ErrPatch) {
		t.Errorf("chunks of a text that has none: %v", err)
	}
	if _, err := Apply(from, patch, len(from)/2); !errors.Is(err, ErrPatch) {
		t.Errorf("a result over the limit: %v", err)
	}
	rapid.Check(t, func(t *rapid.T) {
		text, err := Apply(from, rapid.SliceOf(rapid.Byte()).Draw(t, "patch"), textLimit)
		if len(text) > textLimit || err != nil && !errors.Is(err, ErrPatch) {
			t.Fatalf("%d bytes, %v", len(text), err)
		}
	})
}

// BenchmarkPatch measures the signature, the patch and its application for a text of 2,800 routes with one change.
func BenchmarkPatch(b *testing.B) {
	from := numbered(2800)
	to := strings.Replace(from, `"r-7"`, `"r-7-changed"`, 1)
	signature := Sign(from)
	patch := Make(signature, to)
	b.Run("sign", func(b *testing.B) {
		for b.Loop() {
			Sign(from)
		}
	})
	b.Run("make", func(b *testing.B) {
		for b.Loop() {
			Make(signature, to)
		}
	})
	b.Run("apply", func(b *testing.B) {
		for b.Loop() {
			if _, err := Apply(from, patch, textLimit); err != nil {
				b.Fatal(err)
			}
		}
	})
}

package distributor

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

// largeText returns a text of routes that can't be compressed to less than MaxUnaskedBytes. One route is that of the revision.
func largeText(revision uint64) string {
	const routes = 2800
	var text strings.Builder
	for i := range uint64(routes) {
		name := i * 0x9e3779b97f4a7c15
		if i == revision*7 {
			name++
		}
		fmt.Fprintf(&text, `{"path-prefix":"/further/%016x/","service":"entries"},`, name)
	}
	return text.String()
}

// largeValue returns a value with a large text.
func largeValue(revision uint64) *replicator.Value {
	return &replicator.Value{Deployment: "d", Revision: revision, Text: largeText(revision), Version: revision}
}

// TestDocumentsLeadToNewest guards against a document that brings a node with an earlier revision to another text than the newest, and
// against one that is sent whole for a change of one route.
func TestDocumentsLeadToNewest(t *testing.T) {
	const newest = 2 * maxSignatures
	h := NewHistory()
	for revision := uint64(1); revision <= newest; revision++ {
		h.Add(largeValue(revision))
	}
	for revision := range uint64(newest) {
		document := h.Document(revision)
		isKnown, base := revision > newest-maxSignatures, uint64(0)
		if isKnown {
			base = revision
		}
		if document.IsLarge() == isKnown || document.Base != base {
			t.Errorf("revision %d: a document of %d bytes on revision %d", revision, document.Size(), document.Base)
		}
		value, err := document.Value(largeValue(revision))
		if err != nil || value.Text != largeText(newest) || value.Revision != newest {
			t.Errorf("revision %d: revision %d with %d bytes, %v", revision, value.Revision, len(value.Text), err)
		}
	}
}

// TestPatchOnOtherTextIsRefused guards against a text that no operator has written, made by a patch on another text than its own.
func TestPatchOnOtherTextIsRefused(t *testing.T) {
	h := NewHistory()
	h.Add(largeValue(1))
	h.Add(largeValue(2))
	document := h.Document(1)
	other := largeValue(1)
	other.Text = strings.Replace(other.Text, "entries", "archive", 1)
	for name, inForce := range map[string]*replicator.Value{"none": nil, "other revision": largeValue(2), "other text": other} {
		if value, err := document.Value(inForce); !errors.Is(err, ErrNoBase) {
			t.Errorf("%s: %v, %v", name, value, err)
		}
	}
}

// largeMembers are members with a value in force, to which large documents are pushed.
type largeMembers struct {
	*scriptedMembers
	inForce map[string]*replicator.Value
	// rejects holds the members that take no patch.
	rejects map[string]bool
	// whole and bytes count the whole documents, and the bytes of all.
	whole, bytes int
	// isAsked holds the members that were asked since a value arrived.
	isAsked map[string]bool
	t       *testing.T
}

// Push implements PushNode.
func (l *largeMembers) Push(_ context.Context, to gossiper.Member, document Document) (PushReply, error) {
	time.Sleep(time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytes += document.Size()
	if document.IsLarge() && !l.isAsked[to.Name] {
		l.t.Errorf("%s gets a large document without a question", to.Name)
	}
	if len(document.Packed) > 0 {
		l.whole++
	}
	l.isAsked[to.Name] = true
	current := l.inForce[to.Name]
	value, err := document.Value(current)
	if errors.Is(err, ErrNoBase) || l.rejects[to.Name] && document.Base > 0 {
		reply := PushReply{IsMissing: true}
		if current != nil {
			reply.InForce = current.Revision
		}
		return reply, nil
	}
	l.inForce[to.Name], l.isAsked[to.Name] = value, false
	return PushReply{}, err
}

// reset lets all members take patches from now on, and returns the counts so far.
func (l *largeMembers) reset() (whole, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	whole, bytes = l.whole, l.bytes
	l.rejects, l.whole, l.bytes = nil, 0, 0
	return whole, bytes
}

// TestMembersGetWhatTheyLack pushes changes of a large document to members that have the value before, an older one, one that is too
// old, none, or that take no patch. It guards against whole documents for members that need a patch, and against members that stay
// behind.
func TestMembersGetWhatTheyLack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := &largeMembers{
			scriptedMembers: newScriptedMembers(8), inForce: make(map[string]*replicator.Value), rejects: map[string]bool{"m4": true},
			isAsked: make(map[string]bool), t: t,
		}
		h := NewHistory()
		for revision := uint64(10); revision <= 30; revision++ {
			h.Add(largeValue(revision))
		}
		for i, revision := range []uint64{30, 29, 5, 0, 30, 30, 30, 30} {
			if revision > 0 {
				members.inForce[fmt.Sprint("m", i)] = largeValue(revision)
			}
		}
		p := NewPusher(timekeeper.System{}, members, h)
		defer p.Close()
		push := func(revision uint64) {
			p.Push(largeValue(revision))
			time.Sleep(100 * time.Millisecond)
			members.mu.Lock()
			defer members.mu.Unlock()
			for _, name := range members.live {
				if got := members.inForce[name]; got == nil || got.Revision != revision || got.Text != largeText(revision) {
					t.Errorf("%s has not got revision %d", name, revision)
				}
			}
		}
		push(31)
		// Those of m2, m3 and m4.
		if whole, _ := members.reset(); whole != 3 {
			t.Errorf("%d whole documents for three members that need one", whole)
		}
		push(32)
		if whole, bytes := members.reset(); whole > 0 || bytes > len(members.live)*MaxUnaskedBytes {
			t.Errorf("%d whole documents, %d bytes for one changed route", whole, bytes)
		}
	})
}

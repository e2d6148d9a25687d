package maintainer

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"

	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
)

// TestNext checks Next against the views in testdata. A view lists the replicas as vm/disk, the nodes as vm/disk with
// their state, the silences of watched nodes that are not known, the target number of replicas, and the expected set, or
// "keep" if it should not change.
func TestNext(t *testing.T) {
	archive, err := txtar.ParseFile(filepath.Join("testdata", "views.txtar"))
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range archive.Files {
		t.Run(file.Name, func(t *testing.T) {
			view, want := parseView(t, string(file.Data))
			next, changed := Next(view)
			got := "keep"
			if changed {
				got = formatReplicas(next)
			}
			if got != want {
				t.Errorf("got %s, want %s", got, want)
			}
		})
	}
}

func parseView(t *testing.T, text string) (view View, want string) {
	t.Helper()
	view.Contacts = make(map[string]gossiper.Contact)
	for line := range strings.Lines(text) {
		key, rest, _ := strings.Cut(strings.TrimSpace(line), ": ")
		switch key {
		case "replicas":
			for _, word := range strings.Fields(rest) {
				vm, disk, _ := strings.Cut(word, "/")
				view.Replicas = append(view.Replicas, replicator.Replica{DiskID: disk, VM: vm})
			}
		case "nodes":
			for _, word := range strings.Fields(rest) {
				candidate, contact := parseCandidate(t, word)
				view.Candidates = append(view.Candidates, candidate)
				view.Contacts[candidate.Name] = contact
			}
		case "wanted":
			count, err := strconv.Atoi(rest)
			if err != nil {
				t.Fatal(err)
			}
			view.TargetReplicas = count
		case "unknown":
			name, silence, _ := strings.Cut(rest, "/unheard:")
			view.Contacts[name] = gossiper.Contact{Silence: parseDuration(t, silence)}
		case "next":
			want = rest
		default:
			t.Fatalf("unknown field: %q", line)
		}
	}
	return view, want
}

// parseCandidate parses vm/disk, vm/disk/leaving, vm/disk/left, vm/disk/silent:DURATION or, for a node that was never
// heard from, vm/disk/unheard:DURATION.
func parseCandidate(t *testing.T, word string) (Candidate, gossiper.Contact) {
	t.Helper()
	parts := strings.Split(word, "/")
	candidate, contact := Candidate{DiskID: parts[1], Name: parts[0]}, gossiper.Contact{Heard: true}
	if len(parts) < 3 {
		return candidate, contact
	}
	state, silence, _ := strings.Cut(parts[2], ":")
	switch state {
	case "leaving":
		candidate.Leaving = true
	case "left":
		candidate.Gone, candidate.Left = true, true
	case "silent":
		contact.Silence = parseDuration(t, silence)
	case "unheard":
		contact = gossiper.Contact{Silence: parseDuration(t, silence)}
	default:
		t.Fatalf("unknown state: %q", word)
	}
	return candidate, contact
}

func parseDuration(t *testing.T, text string) time.Duration {
	t.Helper()
	duration, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return duration
}

func formatReplicas(replicas []replicator.Replica) string {
	words := make([]string, 0, len(replicas))
	for _, replica := range replicas {
		words = append(words, fmt.Sprintf("%s/%s", replica.VM, replica.DiskID))
	}
	return strings.Join(words, " ")
}

// TestShouldActInOrderOfNames checks that the replicas that run take turns in the order of their names, that a leaving one
// acts at once and that silent nodes and nodes without a replica never act.
func TestShouldActInOrderOfNames(t *testing.T) {
	view := View{
		Candidates: []Candidate{
			{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}, {Name: "e", Leaving: true}, {Name: "f", Leaving: true},
		},
		Contacts: map[string]gossiper.Contact{"a": {Heard: true, Silence: time.Hour}},
		Replicas: []replicator.Replica{{VM: "e"}, {VM: "c"}, {VM: "b"}, {VM: "a"}},
	}
	tests := []struct {
		self   string
		waited time.Duration
		want   bool
	}{
		{"a", time.Hour, false},
		{"b", 0, true},
		{"c", 0, false},
		{"c", turnInterval, true},
		{"d", time.Hour, false},
		{"e", 0, true},
		{"f", time.Hour, false},
	}
	for _, test := range tests {
		view.Self = test.self
		if got := ShouldAct(view, test.waited); got != test.want {
			t.Errorf("node %s after %s: got %t", test.self, test.waited, got)
		}
	}
}

// TestWatchedNodesAreFew guards against a watch whose cost grows with the number of nodes.
func TestWatchedNodesAreFew(t *testing.T) {
	view := View{Contacts: make(map[string]gossiper.Contact), TargetReplicas: 5}
	for i := range 651 {
		name := fmt.Sprintf("vm-%03d", i)
		view.Candidates = append(view.Candidates, Candidate{Name: name, DiskID: "1"})
		if i < 5 {
			view.Replicas = append(view.Replicas, replicator.Replica{VM: name, DiskID: "1"})
		}
	}
	const most = 5 + 2*maxWatchedSpares
	for _, candidate := range view.Candidates {
		view.Self = candidate.Name
		watched, untilHeard := Watched(&view)
		if len(watched) > most || untilHeard == view.isReplica(view.Self) {
			t.Errorf("%s watches %d nodes, until it has heard from them: %t", view.Self, len(watched), untilHeard)
		}
	}
}

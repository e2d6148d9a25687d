package maintainer

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"

	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
)

// TestNext checks Next against the views in testdata. A view lists the replicas as vm/disk, the nodes as vm/disk with
// their state, the target number of replicas, and the expected set, or "keep" if it should not change.
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
	view.KnowsAllNodes = true
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
				view.Candidates = append(view.Candidates, parseCandidate(t, word))
			}
		case "wanted":
			count, err := strconv.Atoi(rest)
			if err != nil {
				t.Fatal(err)
			}
			view.TargetReplicas = count
		case "settled":
			view.KnowsAllNodes = rest == "yes"
		case "next":
			want = rest
		default:
			t.Fatalf("unknown field: %q", line)
		}
	}
	return view, want
}

// parseCandidate parses vm/disk, vm/disk/leaving or vm/disk/gone:DURATION.
func parseCandidate(t *testing.T, word string) Candidate {
	t.Helper()
	parts := strings.Split(word, "/")
	candidate := Candidate{DiskID: parts[1], Name: parts[0], StateAge: time.Hour}
	if len(parts) > 2 && parts[2] == "leaving" {
		candidate.Leaving = true
		return candidate
	}
	if len(parts) > 2 {
		stateAge, err := time.ParseDuration(strings.TrimPrefix(parts[2], "gone:"))
		if err != nil {
			t.Fatal(err)
		}
		candidate.Gone, candidate.StateAge = true, stateAge
	}
	return candidate
}

func formatReplicas(replicas []replicator.Replica) string {
	words := make([]string, 0, len(replicas))
	for _, replica := range replicas {
		words = append(words, fmt.Sprintf("%s/%s", replica.VM, replica.DiskID))
	}
	return strings.Join(words, " ")
}

// TestShouldActInOrderOfNames checks that the live replicas take turns in the order of their names, that a leaving one
// acts at once and that gone nodes and nodes without a replica never act.
func TestShouldActInOrderOfNames(t *testing.T) {
	view := View{
		Candidates: []Candidate{
			{Name: "a", Gone: true}, {Name: "b"}, {Name: "c"}, {Name: "d"}, {Name: "e", Leaving: true}, {Name: "f", Leaving: true},
		},
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
		if got := ShouldAct(view, test.self, test.waited); got != test.want {
			t.Errorf("node %s after %s: got %t", test.self, test.waited, got)
		}
	}
}

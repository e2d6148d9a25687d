package validator

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// TestHostsInNormalForm guards against a document in which two routes are for the same host and path, spelt differently, so
// that the callers of the second one are served by the service of the first. The validator and the matcher must agree.
func TestHostsInNormalForm(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "hosts.json"))
	if err != nil {
		t.Fatal(err)
	}
	var pairs []struct {
		First  string `json:"first"`
		Second string `json:"second"`
		Same   bool   `json:"same"`
	}
	if err := json.Unmarshal(text, &pairs); err != nil {
		t.Fatal(err)
	}
	for _, pair := range pairs {
		document := &Document{
			Budgets:    Budgets{ControlBytesPerSecond: 7000},
			Neighbours: []Neighbour{{Name: "n", Weight: 1}},
			Ranks:      []Rank{{Name: "r", GuaranteedShare: 1, TargetWait: Duration(time.Second)}},
			Services:   []Service{{Name: "s", Neighbour: "n"}, {Name: "t", Neighbour: "n"}},
		}
		for i, host := range []string{pair.First, pair.Second} {
			document.Routes = append(document.Routes, Route{
				Host: host, PathPrefix: "/a/", Service: document.Services[i].Name, Rank: "r", Deadline: Duration(time.Second),
			})
		}
		if isRefused := errors.Is(document.Validate(), ErrInvalid); isRefused != pair.Same {
			t.Errorf("%q and %q: refused: %t, want %t (%v)", pair.First, pair.Second, isRefused, pair.Same, document.Validate())
		}
		document.Routes = document.Routes[:1]
		matches := NewMatcher(document).Match(pair.Second, "GET", "/a/b") != nil && NewMatcher(document).Match(pair.First, "GET", "/a/b") != nil
		if matches != pair.Same {
			t.Errorf("%q and %q: matched alike: %t, want %t", pair.First, pair.Second, matches, pair.Same)
		}
	}
}

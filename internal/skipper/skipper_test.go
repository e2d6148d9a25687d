package skipper

import (
	"slices"
	"testing"
)

// TestListedTests guards against names that are read from comments or from the other fields of an entry.
func TestListedTests(t *testing.T) {
	list := "# A comment.\n\ntest: TestOne\ncommand: go test\n\ntest: TestTwo\nseen: test: no\n"
	got := ListedTests(list)
	if want := []string{"TestOne", "TestTwo"}; !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

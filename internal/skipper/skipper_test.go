package skipper

import (
	"slices"
	"testing"
)

func TestListed(t *testing.T) {
	list := "# A comment.\n\ntest: TestOne\ncommand: go test\n\ntest: TestTwo\nseen: test: no\n"
	got := Listed(list)
	if want := []string{"TestOne", "TestTwo"}; !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

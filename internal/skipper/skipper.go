// Package skipper passes over the tests that KNOWN-RED.txt lists, in CI and by hand alike.
package skipper

import (
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"testing"
)

const listName = "KNOWN-RED.txt"

// KnownRed skips the test, and prints why, if the list at the repository's root names it. A listed
// test calls it first.
func KnownRed(t *testing.T) {
	t.Helper()
	list, err := os.ReadFile(filepath.Join(root(), listName))
	if err != nil {
		t.Fatal(err)
	}
	if slices.Contains(Listed(string(list)), t.Name()) {
		t.Skipf("%s lists this test", listName)
	}
}

// Listed returns the names of the tests in a list.
func Listed(list string) []string {
	var names []string
	for line := range strings.Lines(list) {
		if name, ok := strings.CutPrefix(line, "test:"); ok {
			names = append(names, strings.TrimSpace(name))
		}
	}
	return names
}

// root returns the repository's root: two folders above this file's.
func root() string {
	_, file, _, _ := runtime.Caller(0)
	return filepath.Join(filepath.Dir(file), "..", "..")
}

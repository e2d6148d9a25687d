// Package skipper skips the tests that KNOWN-RED.txt lists as failing for a known fault, in CI and in local
// runs alike.
package skipper

import (
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"testing"
)

const listFile = "KNOWN-RED.txt"

// KnownRed skips the test, and prints why, if KNOWN-RED.txt in the root of the repository lists it. It fails
// the test if the file can't be read. A listed test calls it first.
func KnownRed(t *testing.T) {
	t.Helper()
	list, err := os.ReadFile(filepath.Join(repositoryRoot(), listFile))
	if err != nil {
		t.Fatal(err)
	}
	if slices.Contains(ListedTests(string(list)), t.Name()) {
		t.Skipf("%s lists this test", listFile)
	}
}

// ListedTests returns the names of the tests in a list: the rest of each line that starts with "test:".
func ListedTests(list string) []string {
	var names []string
	for line := range strings.Lines(list) {
		if name, ok := strings.CutPrefix(line, "test:"); ok {
			names = append(names, strings.TrimSpace(name))
		}
	}
	return names
}

// repositoryRoot returns the root of the repository, which is two folders above the folder of this file.
func repositoryRoot() string {
	_, file, _, _ := runtime.Caller(0)
	return filepath.Join(filepath.Dir(file), "..", "..")
}

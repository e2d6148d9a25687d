package explainer

import (
	"bytes"
	"io"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
	"github.com/sebdah/goldie/v2"
)

// TestFindAndWrite compares the output for each case in testdata/logs.txtar with a golden file. The files of a
// case, CASE/SOURCE, are the logs of its processes. The comment of the archive holds the id of the request that
// each case looks for.
func TestFindAndWrite(t *testing.T) {
	archive, err := txtar.ParseFile(filepath.Join("testdata", "logs.txtar"))
	if err != nil {
		t.Fatal(err)
	}
	golden := goldie.New(t, goldie.WithFixtureDir(filepath.Join("testdata", "golden")))
	for line := range strings.Lines(string(archive.Comment)) {
		testCase, request, ok := strings.Cut(strings.TrimSpace(line), ": ")
		if !ok {
			continue
		}
		t.Run(testCase, func(t *testing.T) {
			logs := make(map[string]io.Reader)
			for _, file := range archive.Files {
				if source, ok := strings.CutPrefix(file.Name, testCase+"/"); ok {
					logs[source] = bytes.NewReader(file.Data)
				}
			}
			lines, err := Find(request, logs)
			if err != nil {
				t.Fatal(err)
			}
			var text bytes.Buffer
			if err := Write(&text, lines); err != nil {
				t.Fatal(err)
			}
			golden.Assert(t, testCase, text.Bytes())
		})
	}
}

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

// TestStories joins the logs of each story in testdata. A story's files are the logs of its processes;
// the name before the slash is the story's, and the comment of the archive names the requests.
func TestStories(t *testing.T) {
	archive, err := txtar.ParseFile(filepath.Join("testdata", "stories.txtar"))
	if err != nil {
		t.Fatal(err)
	}
	golden := goldie.New(t, goldie.WithFixtureDir(filepath.Join("testdata", "golden")))
	for line := range strings.Lines(string(archive.Comment)) {
		story, request, ok := strings.Cut(strings.TrimSpace(line), ": ")
		if !ok {
			continue
		}
		t.Run(story, func(t *testing.T) {
			logs := make(map[string]io.Reader)
			for _, file := range archive.Files {
				if source, ok := strings.CutPrefix(file.Name, story+"/"); ok {
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
			golden.Assert(t, story, text.Bytes())
		})
	}
}

package relayer_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"testing"

	"github.com/marigoldrelay/marigoldrelay/internal/validator"
)

// sharedParser parses the text that is newest once for all nodes of a test. Documents are not changed.
type sharedParser struct {
	mu       sync.Mutex
	text     string
	document *validator.Document
}

func (p *sharedParser) parse(text string) (*validator.Document, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.document != nil && p.text == text {
		return p.document, nil
	}
	document, err := validator.Parse([]byte(text))
	if err == nil {
		p.text, p.document = text, document
	}
	return document, err
}

// documentWithRoutes returns the demonstration's document with further routes.
func documentWithRoutes(t *testing.T, count int) string {
	t.Helper()
	text, err := os.ReadFile("../demonstrator/document.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	document, err := validator.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	// Names without a pattern, so that the text can't be compressed to much less than those of the pages.
	random := rand.New(rand.NewPCG(uint64(count), 5))
	for range count {
		route := document.Routes[0]
		route.PathPrefix = fmt.Sprintf(furtherPath+"%016x", random.Uint64())
		document.Routes = append(document.Routes, route)
	}
	encoded, err := json.Marshal(document)
	if err != nil {
		t.Fatal(err)
	}
	return string(encoded)
}

// textOf returns the document's text in a version. One of the further routes differs from that of other versions.
func (f *spreadFleet) textOf(version uint64) string {
	if f.scenario.Routes == 0 {
		return f.text
	}
	parts := strings.Split(f.text, furtherPath)
	changed := 1 + int(version)*7919%f.scenario.Routes
	return strings.Join(parts[:changed], furtherPath) + furtherPath + fmt.Sprintf("%d-", version) + strings.Join(parts[changed:], furtherPath)
}

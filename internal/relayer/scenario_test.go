package relayer_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
	"github.com/marigoldrelay/marigoldrelay/internal/skipper"
	"github.com/marigoldrelay/marigoldrelay/internal/validator"
)

// playScenarios plays the scenario in each data file that matches the pattern, in virtual time.
func playScenarios[S any](t *testing.T, pattern string, play func(t *testing.T, scenario *S)) {
	t.Helper()
	files, err := filepath.Glob(pattern)
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenarios: %v", err)
	}
	// The HTTP library's clock starts with the first answer that is written and never stops, so this starts it outside
	// the synctest bubble.
	carrier.EncodeResponse(&fasthttp.Response{})
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".json"), func(t *testing.T) {
			skipper.KnownRed(t)
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			scenario := new(S)
			if err := validator.DecodeStrict(text, scenario); err != nil {
				t.Fatal(err)
			}
			synctest.Test(t, func(t *testing.T) { play(t, scenario) })
		})
	}
}

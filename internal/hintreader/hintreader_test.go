package hintreader

import (
	"testing"

	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
	"github.com/marigoldrelay/marigoldrelay/internal/wiretester"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

func TestMisleadingHints(t *testing.T) {
	tests := map[string]struct {
		hints    Hints
		observed Observation
		want     bool
	}{
		"accurate hints":                {Hints{true, 5}, Observation{Running: 6, Slots: 12}, false},
		"reports healthy but fails":     {Hints{true, -1}, Observation{FailureRate: 0.9, Slots: 12}, true},
		"reports unhealthy but answers": {Hints{false, -1}, Observation{Slots: 12}, true},
		"reports unhealthy and fails":   {Hints{false, -1}, Observation{FailureRate: 0.9, Slots: 12}, false},
		"reports idle but is busy": {
			Hints{true, 0}, Observation{Running: 12, Slots: 12}, true,
		},
		"no load endpoint": {Hints{true, -1}, Observation{Running: 12, Slots: 12}, false},
	}
	for name, test := range tests {
		if got := isMisleading(&test.hints, &test.observed); got != test.want {
			t.Errorf("%s: %t, want %t", name, got, test.want)
		}
	}
}

// countingCounter is a Counter.
type countingCounter map[string]int

func (c countingCounter) Event(name string) { c[name]++ }

// TestMalformedHealthAnswerIsUnhealthy guards against a health answer with the status 000 that counts as a healthy one.
func TestMalformedHealthAnswerIsUnhealthy(t *testing.T) {
	address := wiretester.Serve(t, wiretester.MalformedAnswer)
	counter := make(countingCounter)
	observed := Observation{
		Announcement: announcer.Announcement{Address: address.String(), HealthPath: "/health", State: announcer.StateReady},
	}
	r := New(timekeeper.System{}, counter, func() Observation { return observed })
	r.Read(t.Context())
	if r.Current().Healthy || counter["malformed_hints"] != 1 {
		t.Errorf("healthy: %t, %d malformed hints; want unhealthy and one", r.Current().Healthy, counter["malformed_hints"])
	}
}

package hintreader

import "testing"

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

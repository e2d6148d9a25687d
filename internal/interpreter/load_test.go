package interpreter

import "testing"

// TestParseLoadRefusesWhatIsNoNumber guards against "NaN" in a load report: it passes comparisons with both bounds, and
// became a negative number of requests.
func TestParseLoadRefusesWhatIsNoNumber(t *testing.T) {
	for _, text := range []string{"NaN,0,12,100", "0,nan,12", "0,0,NaN", "0,0,12,NaN", "Inf,0,12", "-1,0,12", "1e300,0,12", "a,0,12", "0,12", ""} {
		if load, ok := ParseLoad(text); ok {
			t.Errorf("%q was accepted as %+v", text, load)
		}
	}
	if load, ok := ParseLoad("3, 0,8,700"); !ok || load != (Load{Running: 3, Slots: 8, Slowdown: 7}) {
		t.Errorf("a proper load was read as %+v, %t", load, ok)
	}
}

package quarantiner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

func TestSecondCrashQuarantines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(timekeeper.System{}, nil)
		q.Report(Crash{Fingerprints: []Fingerprint{1, 2}, Instance: "u1"})
		q.Report(Crash{Fingerprints: []Fingerprint{1, 2}, Instance: "u1"})
		if q.QuarantineLeft(1) > 0 || !q.IsSuspect(1) {
			t.Error("the same crash reported twice must suspect and not quarantine")
		}
		q.Report(Crash{Fingerprints: []Fingerprint{1}, Instance: "u2"})
		if q.QuarantineLeft(1) <= 0 {
			t.Error("a second crash must quarantine")
		}
		if q.QuarantineLeft(2) > 0 {
			t.Error("a request that ran during one crash must not be quarantined")
		}
		time.Sleep(quarantineTime + time.Second)
		if q.QuarantineLeft(1) > 0 || q.IsSuspect(2) {
			t.Error("the quarantine must expire")
		}
	})
}

// TestKnownCrashesKeepTheirAge guards against quarantines that are prolonged when nodes pass crashes on to each other:
// at the next node they must end when they would have ended at the first.
func TestKnownCrashesKeepTheirAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, next := New(timekeeper.System{}, nil), New(timekeeper.System{}, nil)
		first.Report(Crash{Fingerprints: []Fingerprint{1, 2}, Instance: "u1", Service: "s"})
		first.Report(Crash{Fingerprints: []Fingerprint{1}, Instance: "u2", Service: "s"})
		time.Sleep(quarantineTime / 2)
		if known := first.KnownCrashes("other"); len(known) > 0 {
			t.Errorf("crashes of another service: %v", known)
		}
		for _, crash := range first.KnownCrashes("s") {
			next.Report(crash)
		}
		if left := next.QuarantineLeft(1); left <= 0 || left > quarantineTime/2 || next.QuarantineLeft(2) > 0 || !next.IsSuspect(2) {
			t.Errorf("quarantined for %s, the other for %s", left, next.QuarantineLeft(2))
		}
		time.Sleep(quarantineTime/2 + time.Second)
		if next.QuarantineLeft(1) > 0 || next.IsSuspect(2) {
			t.Error("the quarantine outlasts the first node's")
		}
	})
}

func TestFingerprintSeparatesParts(t *testing.T) {
	a := FingerprintOf("s", []byte("GET"), []byte("/a"), []byte("b"))
	b := FingerprintOf("s", []byte("GET"), []byte("/ab"), nil)
	if a == b {
		t.Error("paths and bodies that concatenate to the same bytes have the same fingerprint")
	}
}

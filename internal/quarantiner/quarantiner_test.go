package quarantiner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

func TestSecondCrashBarsForATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(timekeeper.System{}, nil)
		q.Report(Crash{Fingerprints: []Fingerprint{1, 2}, Instance: "u1"})
		q.Report(Crash{Fingerprints: []Fingerprint{1, 2}, Instance: "u1"})
		if q.Barred(1) > 0 || !q.IsSuspect(1) {
			t.Error("the same crash reported twice must suspect and not bar")
		}
		q.Report(Crash{Fingerprints: []Fingerprint{1}, Instance: "u2"})
		if q.Barred(1) <= 0 {
			t.Error("a second crash must bar")
		}
		if q.Barred(2) > 0 {
			t.Error("a request that was part of one crash must not be barred")
		}
		time.Sleep(barTime + time.Second)
		if q.Barred(1) > 0 || q.IsSuspect(2) {
			t.Error("the bar must expire")
		}
	})
}

// TestKnownCrashesAreToldWithTheirAge passes bars on from node to node: they end when they would have ended at
// the first.
func TestKnownCrashesAreToldWithTheirAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, next := New(timekeeper.System{}, nil), New(timekeeper.System{}, nil)
		first.Report(Crash{Fingerprints: []Fingerprint{1, 2}, Instance: "u1", Service: "s"})
		first.Report(Crash{Fingerprints: []Fingerprint{1}, Instance: "u2", Service: "s"})
		time.Sleep(barTime / 2)
		if known := first.Known("other"); len(known) > 0 {
			t.Errorf("crashes of another service: %v", known)
		}
		for _, crash := range first.Known("s") {
			next.Report(crash)
		}
		if left := next.Barred(1); left <= 0 || left > barTime/2 || next.Barred(2) > 0 || !next.IsSuspect(2) {
			t.Errorf("barred for %s, the other for %s", left, next.Barred(2))
		}
		time.Sleep(barTime/2 + time.Second)
		if next.Barred(1) > 0 || next.IsSuspect(2) {
			t.Error("the bar outlasts the first node's")
		}
	})
}

func TestFingerprintTellsPartsApart(t *testing.T) {
	a := FingerprintOf("s", []byte("GET"), []byte("/a"), []byte("b"))
	b := FingerprintOf("s", []byte("GET"), []byte("/ab"), nil)
	if a == b {
		t.Error("a path and a body that join to the same bytes have the same fingerprint")
	}
}

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

func TestFingerprintTellsPartsApart(t *testing.T) {
	a := FingerprintOf("s", []byte("GET"), []byte("/a"), []byte("b"))
	b := FingerprintOf("s", []byte("GET"), []byte("/ab"), nil)
	if a == b {
		t.Error("a path and a body that join to the same bytes have the same fingerprint")
	}
}

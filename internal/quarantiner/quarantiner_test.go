package quarantiner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

func TestSecondCrashQuarantines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(timekeeper.System{}, nil)
		q.Report(Crash{Fingerprints: []Fingerprint{1, 2}, Process: announcer.Process{Instance: "u1"}})
		q.Report(Crash{Fingerprints: []Fingerprint{1, 2}, Process: announcer.Process{Instance: "u1"}})
		if q.QuarantineLeft(1) > 0 || !q.IsSuspect(1) {
			t.Error("the same crash reported twice must suspect and not quarantine")
		}
		q.Report(Crash{Fingerprints: []Fingerprint{1}, Process: announcer.Process{Instance: "u2"}})
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
		first.Report(Crash{Fingerprints: []Fingerprint{1, 2}, Process: announcer.Process{Instance: "u1"}, Service: "s"})
		first.Report(Crash{Fingerprints: []Fingerprint{1}, Process: announcer.Process{Instance: "u2"}, Service: "s"})
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

// TestCrashesAreCountedByProcess guards against crashes of several processes that count as one because they share an id,
// and against one crash that counts twice because it was reported twice.
func TestCrashesAreCountedByProcess(t *testing.T) {
	first := Crash{Process: announcer.Process{Instance: "u", Born: 100}, Reporter: "n1.1", Run: 1}
	tests := []struct {
		name   string
		second Crash
		counts bool
	}{
		{"the same report", first, false},
		{"the same process, seen by another node", Crash{Process: first.Process, Reporter: "n2.1", Run: 7}, false},
		{"the same process, seen by the restarted node", Crash{Process: first.Process, Reporter: "n1.2", Run: 1}, false},
		{"a later start", Crash{Process: announcer.Process{Instance: "u", Born: 200}, Reporter: "n1.1", Run: 2}, true},
		{"an earlier start, at another node", Crash{Process: announcer.Process{Instance: "u", Born: 50}, Reporter: "n2.1", Run: 1}, true},
		{"a process with the same start, at the same node", Crash{Process: first.Process, Reporter: "n1.1", Run: 2}, true},
		{"a process with an unknown start", Crash{Process: announcer.Process{Instance: "u"}, Reporter: "n1.1", Run: 2}, true},
		{"another instance", Crash{Process: announcer.Process{Instance: "v", Born: 100}, Reporter: "n1.1", Run: 1}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			q := New(timekeeper.System{}, nil)
			for _, crash := range []Crash{first, test.second} {
				crash.Fingerprints = []Fingerprint{1}
				q.Report(crash)
			}
			if counts := q.QuarantineLeft(1) > 0; counts != test.counts {
				t.Errorf("two crashes: %t, want %t", counts, test.counts)
			}
		})
	}
}

// TestQuarantineGrows guards against a request that crashes two more processes each time that its quarantine is over. One
// that runs without a crash is forgotten.
func TestQuarantineGrows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(timekeeper.System{}, nil)
		run := uint64(0)
		crash := func() {
			run++
			q.Report(Crash{Process: announcer.Process{Instance: "u"}, Reporter: "n1.1", Run: run, Fingerprints: []Fingerprint{1}})
		}
		crash()
		crash()
		for _, want := range []time.Duration{quarantineTime, 8 * quarantineTime, 64 * quarantineTime, maxQuarantineTime, maxQuarantineTime} {
			if left := q.QuarantineLeft(1); left != want {
				t.Errorf("after crash %d: quarantined for %s, want %s", run, left, want)
			}
			time.Sleep(want + time.Second)
			if left := q.QuarantineLeft(1); left > 0 {
				t.Errorf("still quarantined for %s", left)
			}
			crash()
		}
		time.Sleep(maxQuarantineTime + time.Second)
		if !q.Clear(1) {
			t.Error("a request that runs without a crash is not forgotten")
		}
		crash()
		if left := q.QuarantineLeft(1); left > 0 {
			t.Errorf("a single crash after that: quarantined for %s", left)
		}
	})
}

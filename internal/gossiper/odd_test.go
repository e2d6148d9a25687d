package gossiper

import (
	"math"
	"net/netip"
	"testing"
)

// TestOddRecordsAreRefused guards against records with fields out of range, which would shut out a member's own records or
// spoil the sums of slots, and against load reports that attract requests.
func TestOddRecordsAreRefused(t *testing.T) {
	address := netip.MustParseAddrPort("127.0.0.1:80")
	proper := Member{Name: "n", Control: address, Peer: address, Incarnation: 1_700_000_000_000, Sequence: 3, Slots: 12}
	if !isValidRecord(&proper) {
		t.Error("a proper record is refused")
	}
	odd := map[string]func(m *Member){
		"control port zero":       func(m *Member) { m.Control = netip.MustParseAddrPort("127.0.0.1:0") },
		"unspecified peer":        func(m *Member) { m.Peer = netip.MustParseAddrPort("0.0.0.0:80") },
		"largest slots":           func(m *Member) { m.Slots = math.MaxInt },
		"largest incarnation":     func(m *Member) { m.Incarnation = math.MaxUint64 },
		"largest sequence number": func(m *Member) { m.Sequence = math.MaxUint64 },
	}
	for name, corrupt := range odd {
		m := proper
		corrupt(&m)
		if isValidRecord(&m) {
			t.Errorf("%s: the record is taken", name)
		}
	}
	for _, load := range []Load{{Running: -1}, {Queued: math.MaxInt}, {Slots: -5}, {SlowdownPercent: -1}, {BestSlotsPercent: 1000}, {StartDelayMillis: math.MaxInt}} {
		if isValidLoad(&load) {
			t.Errorf("the load %+v is taken", load)
		}
	}
	if !isValidLoad(&Load{Queued: 3, Running: 12, Slots: 12, SlowdownPercent: 700, BestSlotsPercent: 75, StartDelayMillis: 400}) {
		t.Error("a proper load is refused")
	}
}

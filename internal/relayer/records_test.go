package relayer

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
)

// TestMemberRecordsRoundTrip encodes and decodes no records, those of a few members, and 300 as when a fleet starts.
func TestMemberRecordsRoundTrip(t *testing.T) {
	const perRecord = 60
	for _, count := range []int{0, 3, 300} {
		var sent, got memberRecords
		for i := range count {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
			sent = append(sent, gossiper.Member{
				Name: fmt.Sprintf("node-%d", i), Control: address, DataCentre: "flacq", Incarnation: 1_779_183_847_114,
				Peer: address, Region: "mauritius", Service: "entries", Slots: 12,
			})
		}
		text, err := json.Marshal(sent)
		if err != nil {
			t.Fatal(err)
		}
		if err := json.Unmarshal(text, &got); err != nil {
			t.Fatal(err)
		}
		if !slices.Equal(sent, got) {
			t.Errorf("%d records differ after decoding", count)
		}
		if count >= minCompressedRecords && len(text) > perRecord*count {
			t.Errorf("%d records take %d bytes, want at most %d each", count, len(text), perRecord)
		}
	}
	var got memberRecords
	if err := json.Unmarshal([]byte(`"bm8gcmVjb3Jkcw=="`), &got); !errors.Is(err, replicator.ErrUnpack) {
		t.Errorf("records that can't be unpacked give %v", err)
	}
}

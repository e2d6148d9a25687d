package gossiper

import (
	"fmt"
	"net/netip"

	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

// Status is what the members believe about one of them.
type Status uint8

// The statuses, in the order in which they override each other at the same sequence number.
const (
	StatusAlive Status = iota
	StatusSuspect
	StatusDead
	StatusLeft
)

// String implements fmt.Stringer.
func (s Status) String() string {
	switch s {
	case StatusAlive:
		return "alive"
	case StatusSuspect:
		return "suspect"
	case StatusDead:
		return "dead"
	case StatusLeft:
		return "left"
	default:
		return "unknown"
	}
}

// MarshalText implements encoding.TextMarshaler.
func (s Status) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Status) UnmarshalText(text []byte) error {
	for _, known := range []Status{StatusAlive, StatusSuspect, StatusDead, StatusLeft} {
		if known.String() == string(text) {
			*s = known
			return nil
		}
	}
	return fmt.Errorf("unknown member status %q", text)
}

// Member is one node as the others know it, with the upstream beside it.
type Member struct {
	Name       string `cbor:"1,keyasint" json:"name"`
	DataCentre string `cbor:"2,keyasint" json:"data-centre"`
	Region     string `cbor:"3,keyasint" json:"region"`
	// Control is where the node takes datagrams and control connections.
	Control netip.AddrPort `cbor:"4,keyasint" json:"control-address"`
	// Peer is where the node takes requests from other nodes.
	Peer netip.AddrPort `cbor:"5,keyasint" json:"peer-address"`
	// Incarnation is new, and higher, for each start of the node's process.
	Incarnation uint64 `cbor:"6,keyasint" json:"incarnation"`
	// Sequence rises with each change that the node makes to its own record.
	Sequence uint64          `cbor:"7,keyasint" json:"sequence"`
	Status   Status          `cbor:"8,keyasint" json:"status"`
	Service  string          `cbor:"9,keyasint,omitempty" json:"service,omitempty"`
	Slots    int             `cbor:"10,keyasint,omitempty" json:"slots,omitempty"`
	Upstream announcer.State `cbor:"11,keyasint,omitempty" json:"upstream,omitempty"`
	// DiskID identifies the disk of a node that can be a control replica.
	DiskID string `cbor:"12,keyasint,omitempty" json:"disk-id,omitempty"`
}

// IsServing reports whether the member can be sent new requests for its service.
func (m *Member) IsServing() bool {
	return m.Status <= StatusSuspect && m.Upstream == announcer.StateReady
}

// isNewer reports whether m replaces old.
func (m *Member) isNewer(old *Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	if m.Sequence != old.Sequence {
		return m.Sequence > old.Sequence
	}
	return m.Status > old.Status
}

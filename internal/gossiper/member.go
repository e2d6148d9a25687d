package gossiper

import (
	"fmt"
	"net/netip"

	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

// Status is the state of a member as the failure detector sees it.
type Status uint8

// The statuses of a member. For the same incarnation and sequence number a later one overrides an earlier one.
const (
	// StatusAlive means that the member is taken to be running.
	StatusAlive Status = iota
	// StatusSuspect means that a probe of the member got no ack, and that it has not refuted this yet.
	StatusSuspect
	// StatusDead means that the suspicion was not refuted in time.
	StatusDead
	// StatusLeft means that the member has announced that it is leaving.
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

// Member is the record of a node and its upstream that the nodes exchange.
type Member struct {
	Name       string `cbor:"1,keyasint" json:"name"`
	DataCentre string `cbor:"2,keyasint" json:"data-centre"`
	Region     string `cbor:"3,keyasint" json:"region"`
	// Control is the address on which the node receives datagrams and control connections.
	Control netip.AddrPort `cbor:"4,keyasint" json:"control-address"`
	// Peer is the address on which the node receives requests from other nodes.
	Peer netip.AddrPort `cbor:"5,keyasint" json:"peer-address"`
	// Incarnation identifies a start of the node's process and increases with each one.
	Incarnation uint64 `cbor:"6,keyasint" json:"incarnation"`
	// Sequence increases with each change that the node makes to its own record.
	Sequence uint64 `cbor:"7,keyasint" json:"sequence"`
	Status   Status `cbor:"8,keyasint" json:"status"`
	Service  string `cbor:"9,keyasint,omitempty" json:"service,omitempty"`
	Slots    int    `cbor:"10,keyasint,omitempty" json:"slots,omitempty"`
	// Upstream is the state of the node's upstream.
	Upstream announcer.State `cbor:"11,keyasint,omitempty" json:"upstream,omitempty"`
	// DiskID identifies the disk of a node that is able to be a control replica.
	DiskID string `cbor:"12,keyasint,omitempty" json:"disk-id,omitempty"`
	// LeavingInstance and LeavingBorn identify the last process of the upstream that has said that it leaves; see Leaving.
	LeavingInstance string `cbor:"13,keyasint,omitempty" json:"leaving-instance,omitempty"`
	LeavingBorn     int64  `cbor:"14,keyasint,omitempty" json:"leaving-born,omitempty"`
}

// Leaving returns the last process of the node's upstream that has said that it leaves. Its instance is empty if there was
// none.
func (m *Member) Leaving() announcer.Process {
	return announcer.Process{Born: m.LeavingBorn, Instance: m.LeavingInstance}
}

// IsServing reports whether new requests for the member's service can be sent to it: its upstream is
// ready, and it is alive or suspect.
func (m *Member) IsServing() bool {
	return m.Status <= StatusSuspect && m.Upstream == announcer.StateReady
}

// isNewer reports whether m replaces old: the incarnation decides, then the sequence number, then the
// status.
func (m *Member) isNewer(old *Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	if m.Sequence != old.Sequence {
		return m.Sequence > old.Sequence
	}
	return m.Status > old.Status
}

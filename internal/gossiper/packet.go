package gossiper

import (
	"fmt"
	"math"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/marigoldrelay/marigoldrelay/internal/dialer"
	"github.com/marigoldrelay/marigoldrelay/internal/signer"
)

// MaxPacketBytes is the largest size of a datagram, with its signature.
const MaxPacketBytes = 1200

// ErrMalformed is wrapped by the errors for datagrams and digests that can't be decoded.
var ErrMalformed = merry.Sentinel("malformed datagram")

// purposePacket is the purpose of the packets' signatures.
const purposePacket = "gossip"

// Kind is the type of a packet.
type Kind uint8

// The kinds of packet.
const (
	// KindPing asks the receiver for a KindAck with the same sequence number.
	KindPing Kind = iota + 1
	// KindAck answers a KindPing.
	KindAck
	// KindIndirectPing asks the receiver to ping the target and to pass its ack on.
	KindIndirectPing
	// KindUpdate only carries member records and the document version.
	KindUpdate
	// KindLoad carries the current load of the sender's upstream.
	KindLoad
)

// Load is the current load of a member's upstream: its queued and running requests and its slots.
type Load struct {
	Queued  int `cbor:"1,keyasint,omitempty"`
	Running int `cbor:"2,keyasint,omitempty"`
	Slots   int `cbor:"3,keyasint,omitempty"`
	// SlowdownPercent is the ratio of the current to the usual service time, in percent; zero if unknown.
	SlowdownPercent int `cbor:"4,keyasint,omitempty"`
	// BestSlotsPercent is the share of its slots, in percent, at which the upstream has its highest throughput;
	// zero if its node has not learned it.
	BestSlotsPercent int `cbor:"5,keyasint,omitempty"`
	// StartDelayMillis is how long the upstream's rate limit would delay a new request, in milliseconds; zero if it can
	// start at once.
	StartDelayMillis int `cbor:"6,keyasint,omitempty"`
}

// Packet is the decoded content of one datagram between members.
type Packet struct {
	Kind     Kind   `cbor:"1,keyasint"`
	Sender   string `cbor:"2,keyasint"`
	Sequence uint64 `cbor:"3,keyasint,omitempty"`
	// Target is the name of the member to ping, in packets of KindPing and KindIndirectPing. A ping without a target is
	// for whoever is at the address.
	Target string `cbor:"4,keyasint,omitempty"`
	// Version is the document version that the sender has in force; zero if it has none.
	Version uint64   `cbor:"5,keyasint,omitempty"`
	Members []Member `cbor:"6,keyasint,omitempty"`
	// ViewHash is the hash of the sender's view, in packets of KindPing and KindAck.
	ViewHash uint64 `cbor:"7,keyasint,omitempty"`
	// Load is set in packets of KindLoad.
	Load *Load `cbor:"8,keyasint,omitempty"`
}

// Codec encodes and signs packets, and verifies and decodes them. A datagram is a signature followed by
// CBOR (RFC 8949).
type Codec struct {
	decoder cbor.DecMode
	encoder cbor.EncMode
	key     *signer.Signer
}

// NewCodec returns a codec that signs and verifies with key.
func NewCodec(key *signer.Signer) (*Codec, error) {
	encoder, err := cbor.EncOptions{BinaryMarshaler: cbor.BinaryMarshalerByteString}.EncMode()
	if err != nil {
		return nil, err
	}
	decoder, err := cbor.DecOptions{
		MaxArrayElements:  1024,
		MaxMapPairs:       64,
		MaxNestedLevels:   8,
		BinaryUnmarshaler: cbor.BinaryUnmarshalerByteString,
	}.DecMode()
	if err != nil {
		return nil, err
	}
	return &Codec{decoder: decoder, encoder: encoder, key: key}, nil
}

// Encode returns the signed datagram of p: the signature, then CBOR (RFC 8949). It does not check the
// size against MaxPacketBytes.
func (c *Codec) Encode(p *Packet) ([]byte, error) {
	body, err := c.encoder.Marshal(p)
	if err != nil {
		return nil, err
	}
	return append(c.key.Sum(purposePacket, body), body...), nil
}

// Decode verifies and decodes a datagram. The error wraps ErrMalformed.
func (c *Codec) Decode(data []byte) (*Packet, error) {
	if len(data) <= signer.SumBytes || len(data) > MaxPacketBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrMalformed, len(data))
	}
	body := data[signer.SumBytes:]
	if !c.key.Verify(data[:signer.SumBytes], purposePacket, body) {
		return nil, fmt.Errorf("%w: wrong signature", ErrMalformed)
	}
	return c.decodeBody(body)
}

// decodeBody decodes a datagram's CBOR part and validates the packet.
func (c *Codec) decodeBody(body []byte) (*Packet, error) {
	var p Packet
	if err := c.decoder.Unmarshal(body, &p); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if p.Kind < KindPing || p.Kind > KindLoad || (p.Kind == KindLoad) != (p.Load != nil) || p.Sender == "" {
		return nil, fmt.Errorf("%w: invalid packet of kind %d from %q", ErrMalformed, p.Kind, p.Sender)
	}
	if p.Load != nil && !isValidLoad(p.Load) {
		return nil, fmt.Errorf("%w: invalid load of %q", ErrMalformed, p.Sender)
	}
	for i := range p.Members {
		if !isValidRecord(&p.Members[i]) {
			return nil, fmt.Errorf("%w: invalid record of member %q", ErrMalformed, p.Members[i].Name)
		}
	}
	return &p, nil
}

// Limits of the fields of records and loads from other nodes.
const (
	// maxVersion limits incarnations and sequence numbers. It leaves room to refute a record.
	maxVersion = 1 << 62
	maxSlots   = 1 << 20
	maxCount   = math.MaxInt32
	maxPercent = 100
)

// isValidRecord reports whether a record from another node has a name, a known status, addresses of a host, and numbers
// within their limits.
func isValidRecord(m *Member) bool {
	if m.Name == "" || m.Status > StatusLeft || !isWithin(m.Slots, maxSlots) {
		return false
	}
	if m.Incarnation > maxVersion || m.Sequence > maxVersion || m.LeavingBorn < 0 {
		return false
	}
	return dialer.IsHost(m.Control) && dialer.IsHost(m.Peer)
}

// isValidLoad reports whether the numbers of a load from another node are within their limits.
func isValidLoad(load *Load) bool {
	return isWithin(load.Queued, maxCount) && isWithin(load.Running, maxCount) && isWithin(load.Slots, maxSlots) &&
		isWithin(load.SlowdownPercent, maxCount) && isWithin(load.BestSlotsPercent, maxPercent) &&
		isWithin(load.StartDelayMillis, maxCount)
}

// isWithin reports whether the value is from 0 to limit.
func isWithin(value, limit int) bool {
	return value >= 0 && value <= limit
}

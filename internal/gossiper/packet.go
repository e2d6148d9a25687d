package gossiper

import (
	"fmt"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/marigoldrelay/marigoldrelay/internal/signer"
)

// MaxPacketBytes bounds a datagram.
const MaxPacketBytes = 1200

// ErrMalformed is wrapped by the error of a datagram that can't be used.
var ErrMalformed = merry.Sentinel("malformed datagram")

const purposePacket = "gossip"

// Kind is the type of a packet.
type Kind uint8

// The kinds of packet.
const (
	KindPing Kind = iota + 1
	KindAck
	KindIndirectPing
	KindUpdate
	// KindLoad tells what the sender's upstream can take at the moment.
	KindLoad
)

// Load is what the upstream beside a member can take at the moment.
type Load struct {
	Queued  int `cbor:"1,keyasint,omitempty"`
	Running int `cbor:"2,keyasint,omitempty"`
	Slots   int `cbor:"3,keyasint,omitempty"`
	// Slowdown is how much longer than usual work takes, in percent; zero where it is not known.
	Slowdown int `cbor:"4,keyasint,omitempty"`
	// Best is the part of its slots with which the upstream gets most done, in percent; zero where its node
	// has not learned that.
	Best int `cbor:"5,keyasint,omitempty"`
}

// Packet is one datagram between members.
type Packet struct {
	Kind     Kind   `cbor:"1,keyasint"`
	Sender   string `cbor:"2,keyasint"`
	Sequence uint64 `cbor:"3,keyasint,omitempty"`
	// Target is the member that an indirect ping asks about.
	Target string `cbor:"4,keyasint,omitempty"`
	// Version is the version of the document that the sender has in force.
	Version uint64   `cbor:"5,keyasint,omitempty"`
	Members []Member `cbor:"6,keyasint,omitempty"`
	// View is the hash of the sender's view, in pings and acks.
	View uint64 `cbor:"7,keyasint,omitempty"`
	// Load is set in packets of KindLoad.
	Load *Load `cbor:"8,keyasint,omitempty"`
}

// Codec encodes packets and signs them.
type Codec struct {
	decoder cbor.DecMode
	encoder cbor.EncMode
	key     *signer.Signer
}

// NewCodec returns a codec that signs with key.
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

// Encode returns the signed datagram of p: the signature, then CBOR (RFC 8949).
func (c *Codec) Encode(p *Packet) ([]byte, error) {
	body, err := c.encoder.Marshal(p)
	if err != nil {
		return nil, err
	}
	return append(c.key.Sum(purposePacket, body), body...), nil
}

// Decode verifies and parses a datagram. The error wraps ErrMalformed.
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

func (c *Codec) decodeBody(body []byte) (*Packet, error) {
	var p Packet
	if err := c.decoder.Unmarshal(body, &p); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if p.Kind < KindPing || p.Kind > KindLoad || (p.Kind == KindLoad) != (p.Load != nil) || p.Sender == "" {
		return nil, fmt.Errorf("%w: kind %d from %q", ErrMalformed, p.Kind, p.Sender)
	}
	for i := range p.Members {
		if !isPlausible(&p.Members[i]) {
			return nil, fmt.Errorf("%w: member %q", ErrMalformed, p.Members[i].Name)
		}
	}
	return &p, nil
}

func isPlausible(m *Member) bool {
	if m.Name == "" || m.Status > StatusLeft || m.Slots < 0 {
		return false
	}
	return m.Control.IsValid() && m.Peer.IsValid()
}

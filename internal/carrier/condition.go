package carrier

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

// UpstreamCondition is what one process of an upstream asks of its callers, as its node has last heard it. Entry nodes
// remember it and send it with their attempts, since a node that has been restarted beside the upstream knows nothing.
type UpstreamCondition struct {
	// Node is the node beside the upstream; empty in attempts.
	Node string `cbor:"1,keyasint,omitempty" json:"node"`
	// Instance and Born identify the process. Born is in milliseconds since the Unix epoch; zero if it is not known.
	Instance string `cbor:"2,keyasint,omitempty" json:"instance"`
	Born     int64  `cbor:"3,keyasint,omitempty" json:"born,omitempty"`
	// RateLimit is in requests per second; zero if there is none.
	RateLimit float64 `cbor:"4,keyasint,omitempty" json:"rate-limit,omitempty"`
	// Leaving is true if the process is about to end and must not get new requests.
	Leaving bool `cbor:"5,keyasint,omitempty" json:"leaving,omitempty"`
}

// IsNone reports whether the process asks for nothing.
func (c *UpstreamCondition) IsNone() bool {
	return c.RateLimit == 0 && !c.Leaving
}

// Process returns the process whose condition it is.
func (c *UpstreamCondition) Process() announcer.Process {
	return announcer.Process{Born: c.Born, Instance: c.Instance}
}

// IsOf reports whether the condition is that of the announced process, as far as is known.
func (c *UpstreamCondition) IsOf(a announcer.Announcement) bool {
	return a.Process().IsSame(c.Process())
}

// writeCondition writes the condition into the headers of a peer's response, unless it is nil.
func writeCondition(resp *fasthttp.Response, condition *UpstreamCondition) {
	if condition == nil {
		return
	}
	// The fields are plain strings and finite numbers, which always encode.
	text, _ := json.Marshal(condition)
	resp.Header.SetBytesV(headerCondition, text)
}

// readCondition reads the condition from the headers of a peer's response. It returns nil if there is none, or one that
// can't be parsed, which a node of another version has written.
func readCondition(resp *fasthttp.Response) *UpstreamCondition {
	text := resp.Header.Peek(headerCondition)
	if len(text) == 0 {
		return nil
	}
	condition := &UpstreamCondition{}
	if err := json.Unmarshal(text, condition); err != nil {
		return nil
	}
	return condition
}

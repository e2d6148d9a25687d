// Package carrier takes attempts from one node to another and finds out their outcome when a
// connection is lost.
package carrier

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/recorder"
	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
	"github.com/marigoldrelay/marigoldrelay/internal/signer"
)

// Headers between nodes. Those that start with HeaderPrefix are removed from callers' requests.
const (
	HeaderPrefix    = "Marigoldrelay-"
	headerArrived   = "Marigoldrelay-Arrived"
	headerAttempt   = "Marigoldrelay-Attempt"
	headerEcho      = "Marigoldrelay-Echo"
	headerLoad      = "Marigoldrelay-Load"
	headerRefusal   = "Marigoldrelay-Refusal"
	headerResolve   = "Marigoldrelay-Resolve"
	headerSignature = "Marigoldrelay-Signature"
	headerSpent     = "Marigoldrelay-Retry-Spent"
	headerState     = "Marigoldrelay-State"
	headerUsed      = "Marigoldrelay-Used"
)

// ResolvePath is where a node's peer listener answers questions about attempts.
const ResolvePath = "/marigoldrelay/resolve"

// ErrUnsigned is returned for a request that no node of the deployment has signed.
var ErrUnsigned = merry.Sentinel("request is not signed by a node")

const (
	purposeAttempt = "attempt"
	purposeResolve = "resolve"
)

// Attempt is one try to run a caller's request at one node.
type Attempt struct {
	// Age is the time since the caller's request came to its entry node.
	Age time.Duration `cbor:"21,keyasint,omitempty"`
	// Caller is the service on the VM where the call began.
	Caller string `cbor:"1,keyasint,omitempty"`
	// Call identifies the caller's request over all of its attempts.
	Call string `cbor:"2,keyasint,omitempty"`
	// RootCall is the id of the outermost call that this one is nested in, or empty.
	RootCall string `cbor:"3,keyasint,omitempty"`
	// Depth is the number of calls above this one.
	Depth int `cbor:"4,keyasint,omitempty"`
	// Grant names the slot that the receiver holds for the attempt; zero for none.
	Grant uint64 `cbor:"5,keyasint,omitempty"`
	// HandedOn is true for an attempt that another node of the service could not take at once.
	HandedOn   bool `cbor:"6,keyasint,omitempty"`
	Idempotent bool `cbor:"7,keyasint,omitempty"`
	// Incarnation is the receiver's incarnation that the attempt is meant for.
	Incarnation uint64 `cbor:"8,keyasint,omitempty"`
	// Key is the caller's idempotency key, or empty.
	Key       string `cbor:"9,keyasint,omitempty"`
	Neighbour string `cbor:"10,keyasint,omitempty"`
	// Optional is true where the sender has another node to try: the receiver hands the attempt back if
	// it can't begin it at once on an upstream that is as fast as usual.
	Optional bool   `cbor:"11,keyasint,omitempty"`
	Rank     string `cbor:"12,keyasint,omitempty"`
	// Relaxed is true where the answer comes in time even if the upstream is slow for a moment.
	Relaxed bool `cbor:"13,keyasint,omitempty"`
	// Request is the id that the caller gave its request, or empty.
	Request string `cbor:"14,keyasint,omitempty"`
	// Sender and Sequence identify the attempt.
	Sender   string `cbor:"15,keyasint,omitempty"`
	Sequence uint64 `cbor:"16,keyasint,omitempty"`
	Service  string `cbor:"17,keyasint,omitempty"`
	// Timeout is the time left until the deadline when the attempt was sent.
	Timeout time.Duration `cbor:"18,keyasint,omitempty"`
	// Useful is how long the attempt may wait for its start to be answered in time; zero where no target
	// latency is set.
	Useful time.Duration `cbor:"19,keyasint,omitempty"`
	Try    Try           `cbor:"20,keyasint,omitempty"`
}

// Try tells whether an arrival of the attempt at an upstream is the first of its request.
type Try int

// The values of Try.
const (
	TryFirst Try = iota
	// TryRetry is an attempt of a request that an upstream may have received before.
	TryRetry
	// TryBelowFurther is an attempt of a call that an upstream makes while it runs a further try.
	TryBelowFurther
)

// Tries returns every value.
func Tries() []Try {
	return []Try{TryFirst, TryRetry, TryBelowFurther}
}

// String returns the name of the value in logs and metrics.
func (t Try) String() string {
	switch t {
	case TryRetry:
		return "further"
	case TryBelowFurther:
		return "below-further"
	default:
		return "first"
	}
}

// ID returns the identity of the attempt.
func (a *Attempt) ID() recorder.ID {
	return recorder.ID{Sender: a.Sender, Sequence: a.Sequence}
}

func (a *Attempt) echo() string {
	return a.Sender + "/" + strconv.FormatUint(a.Sequence, 10)
}

// Load is what a node tells about its upstream with each answer.
type Load struct {
	// Best is the part of its slots with which the upstream gets most done; zero where its node has not
	// learned that.
	Best float64 `json:"best,omitempty"`
	// Slowdown is how much longer than usual work takes at the upstream; zero where it is not known.
	Slowdown float64 `json:"slowdown,omitempty"`
	// Latency is the mean service time of recent requests.
	Latency time.Duration `json:"latency"`
	Queued  int           `json:"queued"`
	Running int           `json:"running"`
	Slots   int           `json:"slots"`
}

// slowFactor is the slowdown from which an upstream counts as slow; one that has just started is about
// twice as slow for longer than a request can wait.
const slowFactor = 3.0

// IsSlow reports whether work at the upstream takes much longer than usual.
func (l Load) IsSlow() bool {
	return l.Slowdown >= slowFactor
}

func bodySum(req *fasthttp.Request) []byte {
	sum := xxhash.Sum64(req.Body())
	return strconv.AppendUint(nil, sum, 16)
}

// seal writes the attempt and its signature into the headers of out.
func seal(key *signer.Signer, a *Attempt, out *fasthttp.Request) error {
	packed, err := cbor.Marshal(a)
	if err != nil {
		return err
	}
	meta := base64.RawStdEncoding.AppendEncode(nil, packed)
	out.Header.SetBytesV(headerAttempt, meta)
	out.Header.Set(headerSignature, key.Hex(purposeAttempt, meta, out.Header.Method(), out.Header.RequestURI(), bodySum(out)))
	return nil
}

// Open verifies a request from a peer, removes the headers between nodes from it and returns the
// attempt. The error wraps ErrUnsigned.
func Open(key *signer.Signer, req *fasthttp.Request) (*Attempt, error) {
	meta := req.Header.Peek(headerAttempt)
	signature := string(req.Header.Peek(headerSignature))
	if !key.VerifyHex(signature, purposeAttempt, meta, req.Header.Method(), req.Header.RequestURI(), bodySum(req)) {
		return nil, ErrUnsigned
	}
	var a Attempt
	packed, err := base64.RawStdEncoding.AppendDecode(nil, meta)
	if err != nil {
		return nil, err
	}
	if err := cbor.Unmarshal(packed, &a); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnsigned, err)
	}
	req.Header.Del(headerAttempt)
	req.Header.Del(headerSignature)
	return &a, nil
}

// wireRefusal is a refusal between nodes.
type wireRefusal struct {
	Reason     refuser.Reason `json:"reason"`
	NotRun     refuser.NotRun `json:"not-run"`
	RetryAfter time.Duration  `json:"retry-after,omitempty"`
	Detail     string         `json:"detail,omitempty"`
}

// Seal marks resp as the outcome of the attempt for the peer that sent it.
func Seal(a *Attempt, resp *fasthttp.Response, outcome Outcome) {
	if outcome.Refusal != nil {
		resp.Reset()
		resp.SetStatusCode(outcome.Refusal.Status())
		// The fields are plain strings and numbers, which always encode.
		refusal, _ := json.Marshal(wireRefusal(*outcome.Refusal))
		resp.Header.SetBytesV(headerRefusal, refusal)
	}
	if outcome.Arrived {
		resp.Header.Set(headerArrived, "1")
	}
	if outcome.Spent {
		resp.Header.Set(headerSpent, "1")
	}
	resp.Header.Set(headerEcho, a.echo())
	resp.Header.Set(headerUsed, strconv.FormatInt(int64(outcome.Used), 10))
	load := outcome.Load
	resp.Header.Set(headerLoad, fmt.Sprintf("%d %d %d %d %.2f %.2f", load.Running, load.Queued, load.Slots, load.Latency, load.Slowdown, load.Best))
}

// Outcome is how an attempt ended.
type Outcome struct {
	// Arrived is true where the upstream got the request, also if it has not run it.
	Arrived bool
	Load    Load
	// Lost is true when an idempotent attempt's outcome did not arrive.
	Lost bool
	// Refusal is nil when the upstream has answered.
	Refusal *refuser.Refusal
	// Spent is true when a call below this one failed and must not be retried again above.
	Spent bool
	// Used is the time that the upstream took.
	Used time.Duration
}

// Reached reports whether an upstream has got the request, or may have.
func (o *Outcome) Reached() bool {
	return o.Arrived || o.Lost
}

// IsNotRun reports whether the attempt has certainly not run.
func (o *Outcome) IsNotRun() bool {
	return o.Refusal != nil && o.Refusal.IsNotRun()
}

// IsRefusedAs reports whether the attempt was refused for the reason.
func (o *Outcome) IsRefusedAs(reason refuser.Reason) bool {
	return o.Refusal != nil && o.Refusal.Reason == reason
}

// unseal reads the outcome from a peer's answer and removes the headers between nodes from it. It
// reports false when the answer belongs to another attempt.
func unseal(a *Attempt, resp *fasthttp.Response) (Outcome, bool) {
	if string(resp.Header.Peek(headerEcho)) != a.echo() {
		return Outcome{}, false
	}
	outcome := Outcome{Load: parseLoad(string(resp.Header.Peek(headerLoad)))}
	used, _ := strconv.ParseInt(string(resp.Header.Peek(headerUsed)), 10, 64)
	outcome.Used = time.Duration(used)
	outcome.Arrived = len(resp.Header.Peek(headerArrived)) > 0
	outcome.Spent = len(resp.Header.Peek(headerSpent)) > 0
	if refusal := resp.Header.Peek(headerRefusal); len(refusal) > 0 {
		var wire wireRefusal
		if err := json.Unmarshal(refusal, &wire); err != nil {
			return Outcome{}, false
		}
		typed := refuser.Refusal(wire)
		outcome.Refusal = &typed
	}
	for _, name := range []string{headerArrived, headerEcho, headerLoad, headerUsed, headerSpent, headerRefusal} {
		resp.Header.Del(name)
	}
	return outcome, true
}

// parseLoad returns the zero load for a text that is not one.
func parseLoad(text string) Load {
	var load Load
	var latency int64
	if _, err := fmt.Sscan(text, &load.Running, &load.Queued, &load.Slots, &latency, &load.Slowdown, &load.Best); err != nil {
		return Load{}
	}
	load.Latency = time.Duration(latency)
	return load
}

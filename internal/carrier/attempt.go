// Package carrier sends attempts from one node to another, and queries their outcome if a connection is lost.
package carrier

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/headereditor"
	"github.com/marigoldrelay/marigoldrelay/internal/recorder"
	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
	"github.com/marigoldrelay/marigoldrelay/internal/signer"
)

// Headers between nodes. Headers that start with HeaderPrefix are removed from callers' requests.
const (
	HeaderPrefix    = "Marigoldrelay-"
	headerArrived   = "Marigoldrelay-Arrived"
	headerAttempt   = "Marigoldrelay-Attempt"
	headerCondition = "Marigoldrelay-Condition"
	headerEcho      = "Marigoldrelay-Echo"
	headerLoad      = "Marigoldrelay-Load"
	headerRefusal   = "Marigoldrelay-Refusal"
	headerResolve   = "Marigoldrelay-Resolve"
	headerSignature = "Marigoldrelay-Signature"
	headerSpent     = "Marigoldrelay-Retry-Spent"
	headerState     = "Marigoldrelay-State"
	headerUsed      = "Marigoldrelay-Used"
)

// ResolvePath is the path at which a node's peer listener answers queries about attempts.
const ResolvePath = "/marigoldrelay/resolve"

// ErrUnsigned is the error for a request without a valid signature of a node of the deployment.
var ErrUnsigned = merry.Sentinel("request is not signed by a node")

// Purposes of signatures. A signature for one purpose is not valid for another.
const (
	purposeAttempt = "attempt"
	purposeResolve = "resolve"
)

// Attempt is one attempt to run a caller's request at one node. It is encoded in CBOR between nodes, with the
// numbers of the tags as keys.
type Attempt struct {
	// Age is the time from the arrival of the caller's request at its entry node until the attempt was made.
	Age time.Duration `cbor:"21,keyasint,omitempty"`
	// Caller is the service on the VM where the call began.
	Caller string `cbor:"1,keyasint,omitempty"`
	// Call is the id of the caller's request, the same for all of its attempts.
	Call string `cbor:"2,keyasint,omitempty"`
	// RootCall is the id of the outermost call that this one is nested in, or empty.
	RootCall string `cbor:"3,keyasint,omitempty"`
	// Conditions are those that upstreams of the service have named in answers which the entry node has passed on.
	Conditions []UpstreamCondition `cbor:"22,keyasint,omitempty"`
	// Depth is the number of calls that this one is nested in.
	Depth int `cbor:"4,keyasint,omitempty"`
	// Grant identifies the slot that the receiver has reserved for the attempt; zero for none.
	Grant uint64 `cbor:"5,keyasint,omitempty"`
	// HandedOff is true if another node of the service could not start the attempt at once, and for hedges.
	HandedOff  bool `cbor:"6,keyasint,omitempty"`
	Idempotent bool `cbor:"7,keyasint,omitempty"`
	// Incarnation is the incarnation of the receiver that the attempt is sent to.
	Incarnation uint64 `cbor:"8,keyasint,omitempty"`
	// Key is the caller's idempotency key, or empty.
	Key       string `cbor:"9,keyasint,omitempty"`
	Neighbour string `cbor:"10,keyasint,omitempty"`
	// Optional is true if the sender has another node to try. The receiver then hands the attempt back unless it
	// can start it at once on an upstream that has its usual speed.
	Optional bool   `cbor:"11,keyasint,omitempty"`
	Rank     string `cbor:"12,keyasint,omitempty"`
	// RequestID is the request id that the caller set, or empty.
	RequestID string `cbor:"14,keyasint,omitempty"`
	// Sender and Sequence identify the attempt.
	Sender   string `cbor:"15,keyasint,omitempty"`
	Sequence uint64 `cbor:"16,keyasint,omitempty"`
	Service  string `cbor:"17,keyasint,omitempty"`
	// Timeout is the time from the sending of the attempt until its deadline.
	Timeout time.Duration `cbor:"18,keyasint,omitempty"`
	// UsefulWait is how long the attempt can wait to start and still be answered in time; zero if the route sets no
	// target latency.
	UsefulWait time.Duration `cbor:"19,keyasint,omitempty"`
	Try        Try           `cbor:"20,keyasint,omitempty"`
	// Workspace is the workspace whose API key the request carries; empty if it needs none.
	Workspace string `cbor:"23,keyasint,omitempty"`
	// AllowedRegions are the regions in which the request can run; empty for all.
	AllowedRegions []string `cbor:"24,keyasint,omitempty"`
	// SharesOf is the workspace in whose share a call without one of its own runs: that of the outermost request that it is made
	// for. Upstreams don't learn it.
	SharesOf string `cbor:"25,keyasint,omitempty"`
	// ReadsCompact is compactVersion if the sender reads compact outcomes.
	ReadsCompact int `cbor:"30,keyasint,omitempty"`
}

// Try is the kind of an attempt: whether its arrival at an upstream is the first of its request.
type Try int

// The values of Try.
const (
	// TryFirst is an attempt of a request that no upstream has received before.
	TryFirst Try = iota
	// TryRetry is an attempt of a request that an upstream may have received before.
	TryRetry
	// TryBelowRetry is an attempt of a call that is nested in a retry, at any depth.
	TryBelowRetry
)

// Tries returns all values of Try in order.
func Tries() []Try {
	return []Try{TryFirst, TryRetry, TryBelowRetry}
}

// String returns the name of the value as used in logs and metrics.
func (t Try) String() string {
	switch t {
	case TryRetry:
		return "further"
	case TryBelowRetry:
		return "below-further"
	default:
		return "first"
	}
}

// ShareOwner returns the workspace in whose share the attempt runs, or the empty string.
func (a *Attempt) ShareOwner() string {
	if a.Workspace != "" {
		return a.Workspace
	}
	return a.SharesOf
}

// ID returns the identity of the attempt: its sender and sequence number.
func (a *Attempt) ID() recorder.ID {
	return recorder.ID{Sender: a.Sender, Sequence: a.Sequence}
}

func (a *Attempt) echoValue() string {
	return a.Sender + "/" + strconv.FormatUint(a.Sequence, 10)
}

// Load is the report on its upstream's load that a node sends with each outcome.
type Load struct {
	// BestSlotFraction is the fraction of its slots at which the upstream has the highest throughput; zero if its
	// node has not learned that yet.
	BestSlotFraction float64 `json:"best,omitempty"`
	// Slowdown is the ratio of the upstream's current to its usual service time; zero if unknown.
	Slowdown float64 `json:"slowdown,omitempty"`
	// Latency is the mean service time of recent requests.
	Latency time.Duration `json:"latency"`
	Queued  int           `json:"queued"`
	Running int           `json:"running"`
	// StartDelay is how long the upstream's rate limit would delay a new request; zero if it can start at once.
	StartDelay time.Duration `json:"start-delay,omitempty"`
	Slots      int           `json:"slots"`
}

// slowThreshold is the slowdown from which an upstream counts as slow. It is above 2 because an upstream that has
// just started is about twice as slow as usual, for longer than a request can wait.
const slowThreshold = 3.0

// IsSlow reports whether the upstream takes much longer than usual: at least slowThreshold times as long.
func (l Load) IsSlow() bool {
	return l.Slowdown >= slowThreshold
}

func bodyHash(req *fasthttp.Request) []byte {
	hash := xxhash.Sum64(req.Body())
	return strconv.AppendUint(nil, hash, 16)
}

// signAttempt writes the attempt and its signature into the headers of out. The signature covers the attempt and
// the method, URI and body of out.
func signAttempt(key *signer.Signer, a *Attempt, out *fasthttp.Request) error {
	data, err := cbor.Marshal(a)
	if err != nil {
		return err
	}
	encoded := base64.RawStdEncoding.AppendEncode(nil, data)
	headereditor.Replace(&out.Header, headerAttempt, string(encoded))
	headereditor.Replace(&out.Header, headerSignature, key.Hex(purposeAttempt, encoded, out.Header.Method(), out.Header.RequestURI(), bodyHash(out)))
	return nil
}

// ReadAttempt verifies the signature of a request from a peer, removes the attempt's headers from it and returns the
// attempt, in either form. The error wraps ErrUnsigned, except for an attempt that is signed but not valid base64.
func ReadAttempt(key *signer.Signer, req *fasthttp.Request, readID RequestIDReader) (*Attempt, error) {
	if headereditor.Has(&req.Header, headerCompactAttempt) {
		return readCompact(key, req, readID)
	}
	encoded := []byte(headereditor.OnlyOrNone(&req.Header, headerAttempt))
	signature := headereditor.OnlyOrNone(&req.Header, headerSignature)
	if !key.VerifyHex(signature, purposeAttempt, encoded, req.Header.Method(), req.Header.RequestURI(), bodyHash(req)) {
		return nil, ErrUnsigned
	}
	var a Attempt
	data, err := base64.RawStdEncoding.AppendDecode(nil, encoded)
	if err != nil {
		return nil, err
	}
	if err := cbor.Unmarshal(data, &a); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnsigned, err)
	}
	req.Header.Del(headerAttempt)
	req.Header.Del(headerSignature)
	return &a, nil
}

// wireRefusal is the JSON form of a refusal between nodes.
type wireRefusal struct {
	Reason     refuser.Reason `json:"reason"`
	NotRun     refuser.NotRun `json:"not-run"`
	RetryAfter time.Duration  `json:"retry-after,omitempty"`
	Detail     string         `json:"detail,omitempty"`
	// Cause is the reason itself where Reason is one that nodes of earlier versions know: they take a reason that they don't
	// know for the promise that the request was not run.
	Cause refuser.Reason `json:"cause,omitempty"`
}

func newWireRefusal(refusal *refuser.Refusal) wireRefusal {
	wire := wireRefusal{
		Reason: refusal.Reason, NotRun: refusal.NotRun, RetryAfter: refusal.RetryAfter, Detail: refusal.Detail,
	}
	if refusal.Reason == refuser.ReasonAnswerMemory {
		wire.Reason, wire.Cause = refuser.ReasonUpstreamFailed, refusal.Reason
	}
	return wire
}

func (w *wireRefusal) refusal() *refuser.Refusal {
	reason := w.Reason
	if slices.Contains(refuser.Reasons(), w.Cause) {
		reason = w.Cause
	}
	return &refuser.Refusal{Reason: reason, NotRun: w.NotRun, RetryAfter: w.RetryAfter, Detail: w.Detail}
}

// WriteOutcome writes the outcome of the attempt into the headers of resp, for the peer that sent the attempt. If the
// outcome is a refusal, it replaces the response.
func WriteOutcome(a *Attempt, resp *fasthttp.Response, outcome Outcome) {
	if outcome.Refusal != nil {
		resp.Reset()
		resp.SetStatusCode(outcome.Refusal.Status())
		// The fields are plain strings and numbers, which always encode.
		refusal, _ := json.Marshal(newWireRefusal(outcome.Refusal))
		resp.Header.SetBytesV(headerRefusal, refusal)
	}
	writeCondition(resp, outcome.Condition)
	if a.ReadsCompact >= compactVersion {
		resp.Header.Set(headerCompactOutcome, formatCompact(a, &outcome))
		return
	}
	if outcome.Arrived {
		resp.Header.Set(headerArrived, "1")
	}
	if outcome.RetrySpent {
		resp.Header.Set(headerSpent, "1")
	}
	resp.Header.Set(headerEcho, a.echoValue())
	resp.Header.Set(headerUsed, strconv.FormatInt(int64(outcome.UpstreamTime), 10))
	resp.Header.Set(headerLoad, formatLoad(outcome.Load))
}

// Outcome is how an attempt ended.
type Outcome struct {
	// Arrived is true if the upstream received the request or may have, even if it has not run it.
	Arrived bool
	// Condition is that of the upstream beside the node that had the attempt last; nil if it asks for nothing.
	Condition *UpstreamCondition
	Load      Load
	// Lost is true if the outcome of an idempotent attempt did not arrive, at the node or from its upstream.
	Lost bool
	// Refusal is nil if the upstream has responded.
	Refusal *refuser.Refusal
	// RetrySpent is true if a call nested in this one has failed after its own retries, so that this one must not
	// be retried as well.
	RetrySpent bool
	// UpstreamTime is the time spent at the upstream.
	UpstreamTime time.Duration
}

// Reached reports whether an upstream received the request or may have.
func (o *Outcome) Reached() bool {
	return o.Arrived || o.Lost
}

// IsNotRun reports whether the attempt is known not to have run.
func (o *Outcome) IsNotRun() bool {
	return o.Refusal != nil && o.Refusal.IsNotRun()
}

// IsRefusedAs reports whether the attempt was refused for the given reason.
func (o *Outcome) IsRefusedAs(reason refuser.Reason) bool {
	return o.Refusal != nil && o.Refusal.Reason == reason
}

// readOutcome reads the outcome from a peer's response and removes the outcome's headers. It reports false if the
// response belongs to another attempt or its refusal can't be parsed.
func readOutcome(a *Attempt, resp *fasthttp.Response) (Outcome, bool) {
	outcome, ok := readNumbers(a, resp)
	if !ok {
		return Outcome{}, false
	}
	outcome.Condition = readCondition(resp)
	if refusal := resp.Header.Peek(headerRefusal); len(refusal) > 0 {
		var wire wireRefusal
		if err := json.Unmarshal(refusal, &wire); err != nil {
			return Outcome{}, false
		}
		outcome.Refusal = wire.refusal()
		outcome.Lost = a.Idempotent && !outcome.Refusal.IsNotRun()
	}
	RemoveOutcome(resp)
	return outcome, true
}

// readNumbers reads the outcome without its refusal and condition, in either form.
func readNumbers(a *Attempt, resp *fasthttp.Response) (Outcome, bool) {
	if isCompact(resp) {
		return parseCompact(a, string(resp.Header.Peek(headerCompactOutcome)))
	}
	if string(resp.Header.Peek(headerEcho)) != a.echoValue() {
		return Outcome{}, false
	}
	used, _ := strconv.ParseInt(string(resp.Header.Peek(headerUsed)), 10, 64)
	return Outcome{
		Arrived:      len(resp.Header.Peek(headerArrived)) > 0,
		Load:         parseLoad(string(resp.Header.Peek(headerLoad))),
		RetrySpent:   len(resp.Header.Peek(headerSpent)) > 0,
		UpstreamTime: time.Duration(used),
	}, true
}

// isCompact reports whether a peer's response holds a compact outcome.
func isCompact(resp *fasthttp.Response) bool {
	return len(resp.Header.Peek(headerCompactOutcome)) > 0
}

// RemoveOutcome removes the headers that hold an outcome, also those that an upstream has written.
func RemoveOutcome(resp *fasthttp.Response) {
	for _, name := range []string{headerArrived, headerCompactOutcome, headerCondition, headerEcho, headerLoad, headerUsed, headerSpent, headerRefusal} {
		resp.Header.Del(name)
	}
}

// minLoadFields is the number of numbers in a load header without a start delay, which nodes leave out if it is zero.
const minLoadFields = 6

// formatLoad returns the text of the load header. Times are in nanoseconds.
func formatLoad(load Load) string {
	text := fmt.Sprintf("%d %d %d %d %.2f %.2f", load.Running, load.Queued, load.Slots, load.Latency, load.Slowdown, load.BestSlotFraction)
	if load.StartDelay > 0 {
		text += fmt.Sprintf(" %d", load.StartDelay)
	}
	return text
}

// parseLoad parses the load header. It returns the zero Load if the text is not valid.
func parseLoad(text string) Load {
	var load Load
	var latency, startDelay int64
	parsed, _ := fmt.Sscan(text, &load.Running, &load.Queued, &load.Slots, &latency, &load.Slowdown, &load.BestSlotFraction, &startDelay)
	if parsed < minLoadFields {
		return Load{}
	}
	load.Latency, load.StartDelay = time.Duration(latency), time.Duration(startDelay)
	return load
}

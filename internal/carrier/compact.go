package carrier

import (
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/headereditor"
	"github.com/marigoldrelay/marigoldrelay/internal/signer"
)

// The compact form of attempts and outcomes. An attempt in the first form tells that its sender reads compact outcomes, which
// nodes of earlier versions ignore. A node that answers with a compact outcome reads compact attempts, and gets them as long
// as its incarnation stays the same.
const (
	headerCompactAttempt = "Marigoldrelay-A"
	headerCompactOutcome = "Marigoldrelay-O"
	// compactVersion is the value of Attempt.ReadsCompact.
	compactVersion = 1
	// compactTick is the unit of durations in compact attempts.
	compactTick = 100 * time.Microsecond
	// senderCheckMask limits the hash of the sender in a compact outcome to three digits.
	senderCheckMask = 0xffff
	base36          = 36
)

// purposeCompact is the purpose of the signatures of compact attempts.
const purposeCompact = "compact-attempt"

// RequestIDReader returns the request id in the header of a request, or the empty string if there is none.
type RequestIDReader func(header *fasthttp.RequestHeader) string

// compactAttempt is the compact form of an attempt. Its durations are in units of compactTick, and what the receiver can
// derive is left out.
type compactAttempt struct {
	Attempt
	// CallSequence replaces Call if that is the sender, a dot and this number.
	CallSequence uint64 `cbor:"31,keyasint,omitempty"`
	// HasRequestID is true if RequestID is left out because it is the one in the request's header.
	HasRequestID bool `cbor:"32,keyasint,omitempty"`
}

// newCompactAttempt returns the compact form of an attempt whose request's header holds the id.
func newCompactAttempt(a *Attempt, id string) *compactAttempt {
	c := &compactAttempt{Attempt: *a}
	// Who writes the compact form reads it.
	c.ReadsCompact = 0
	c.Age, c.Timeout, c.UsefulWait = ticks(a.Age), ticks(a.Timeout), ticks(a.UsefulWait)
	if rest, ok := strings.CutPrefix(a.Call, a.Sender+"."); ok {
		sequence, err := strconv.ParseUint(rest, 10, 64)
		if err == nil && sequence > 0 && strconv.FormatUint(sequence, 10) == rest {
			c.Call, c.CallSequence = "", sequence
		}
	}
	if a.RequestID != "" && a.RequestID == id {
		c.RequestID, c.HasRequestID = "", true
	}
	return c
}

// ticks returns a duration in units of compactTick, rounded down but not to zero, which has a meaning of its own.
func ticks(d time.Duration) time.Duration {
	if d > 0 && d < compactTick {
		return 1
	}
	return d / compactTick
}

// attempt returns the attempt, given the request id in the request's header.
func (c *compactAttempt) attempt(id string) *Attempt {
	a := c.Attempt
	a.ReadsCompact = compactVersion
	a.Age, a.Timeout, a.UsefulWait = a.Age*compactTick, a.Timeout*compactTick, a.UsefulWait*compactTick
	if c.CallSequence > 0 {
		a.Call = a.Sender + "." + strconv.FormatUint(c.CallSequence, 10)
	}
	if c.HasRequestID {
		a.RequestID = id
	}
	return &a
}

// signCompact writes the compact form of the attempt, behind its signature, into a header of out.
func signCompact(key *signer.Signer, a *Attempt, out *fasthttp.Request, readID RequestIDReader) error {
	data, err := cbor.Marshal(newCompactAttempt(a, readID(&out.Header)))
	if err != nil {
		return err
	}
	sum := key.Sum(purposeCompact, data, out.Header.Method(), out.Header.RequestURI(), bodyHash(out))
	headereditor.Replace(&out.Header, headerCompactAttempt, base64.RawStdEncoding.EncodeToString(append(sum, data...)))
	return nil
}

// readCompact verifies and returns the compact attempt of a request from a peer, and removes its header.
func readCompact(key *signer.Signer, req *fasthttp.Request, readID RequestIDReader) (*Attempt, error) {
	signed, err := base64.RawStdEncoding.DecodeString(headereditor.OnlyOrNone(&req.Header, headerCompactAttempt))
	if err != nil || len(signed) <= signer.SumBytes {
		return nil, ErrUnsigned
	}
	sum, data := signed[:signer.SumBytes], signed[signer.SumBytes:]
	if !key.Verify(sum, purposeCompact, data, req.Header.Method(), req.Header.RequestURI(), bodyHash(req)) {
		return nil, ErrUnsigned
	}
	var c compactAttempt
	if err := cbor.Unmarshal(data, &c); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnsigned, err)
	}
	req.Header.Del(headerCompactAttempt)
	return c.attempt(readID(&req.Header)), nil
}

// Flags in a compact outcome.
const (
	flagArrived    = "a"
	flagRetrySpent = "s"
)

// compactEcho returns the text by which a compact outcome names its attempt: the sequence number and a hash of the sender, whose
// connection it is.
func (a *Attempt) compactEcho() string {
	check := xxhash.Sum64String(a.Sender) & senderCheckMask
	return strconv.FormatUint(a.Sequence, base36) + "/" + strconv.FormatUint(check, base36)
}

// formatCompact returns the compact text of an outcome without its refusal and condition: the echo, the microseconds at the
// upstream, the load with its latency in microseconds, and the flags.
func formatCompact(a *Attempt, outcome *Outcome) string {
	load := outcome.Load
	load.Latency, load.StartDelay = load.Latency/time.Microsecond, load.StartDelay/time.Microsecond
	flags := ""
	if outcome.Arrived {
		flags += flagArrived
	}
	if outcome.RetrySpent {
		flags += flagRetrySpent
	}
	return fmt.Sprintf("%s %d%s %s", a.compactEcho(), outcome.UpstreamTime.Microseconds(), flags, formatLoad(load))
}

// parseCompact reads a compact text. It reports false if it belongs to another attempt or is malformed.
func parseCompact(a *Attempt, text string) (Outcome, bool) {
	echo, rest, _ := strings.Cut(text, " ")
	used, load, ok := strings.Cut(rest, " ")
	if !ok || echo != a.compactEcho() {
		return Outcome{}, false
	}
	var outcome Outcome
	digits := strings.TrimRight(used, flagArrived+flagRetrySpent)
	outcome.Arrived = strings.Contains(used[len(digits):], flagArrived)
	outcome.RetrySpent = strings.Contains(used[len(digits):], flagRetrySpent)
	microseconds, err := strconv.ParseInt(digits, 10, 64)
	if err != nil {
		return Outcome{}, false
	}
	outcome.UpstreamTime = time.Duration(microseconds) * time.Microsecond
	outcome.Load = parseLoad(load)
	outcome.Load.Latency *= time.Microsecond
	outcome.Load.StartDelay *= time.Microsecond
	return outcome, true
}

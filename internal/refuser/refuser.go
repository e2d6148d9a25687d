// Package refuser defines the reasons for refusing a request and the HTTP response that reports a refusal.
package refuser

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/interpreter"
)

// Reason is the cause of a refusal, in kebab-case. Each one is a label value of a metric counter.
type Reason string

// The reasons for which a request is refused.
const (
	ReasonAnswerMemory   Reason = "answer-memory" // The answers that the node holds leave no memory for the upstream's.
	ReasonBodyTooLarge   Reason = "body-too-large"
	ReasonBusy           Reason = "busy"      // The attempt is optional and can't start at once.
	ReasonCancelled      Reason = "cancelled" // The caller has disconnected, or the attempt was cancelled.
	ReasonDeadline       Reason = "deadline"  // The deadline has passed or can't be met.
	ReasonDraining       Reason = "draining"  // The upstream or its node is draining.
	ReasonEvacuated      Reason = "evacuated" // The data centre of the upstream is evacuated.
	ReasonHeaderTooLarge Reason = "header-too-large"
	ReasonKeyReused      Reason = "key-reused"       // The idempotency key was used for another request.
	ReasonLeaveNotStored Reason = "leave-not-stored" // The upstream's leave is not known to be stored yet.
	ReasonNoDocument     Reason = "no-document"      // No configuration is in force yet.
	ReasonNoRegion       Reason = "no-region"        // No upstream runs in a region in which the request can run.
	ReasonNoRoute        Reason = "no-route"         // No route matches the request.
	ReasonNoUpstream     Reason = "no-upstream"      // No ready upstream could be used.
	ReasonOutcomeUnknown Reason = "outcome-unknown"  // The request may have run, and its outcome is not known.
	ReasonPoison         Reason = "poison"           // Equal requests have crashed upstreams.
	ReasonQuarantined    Reason = "quarantined"      // The request may have caused a crash, and so may another one that is running.
	ReasonQueueFull      Reason = "queue-full"       // The queue is full or the expected wait is too long.
	ReasonQuota          Reason = "quota"            // The workspace has used up its quota.
	// ReasonQuotaUnknown means that no node that keeps quotas has answered.
	ReasonQuotaUnknown   Reason = "quota-unknown"
	ReasonRequestMemory  Reason = "request-memory" // The node has no memory for the request's body.
	ReasonBadRequest     Reason = "bad-request"
	ReasonRateLimit      Reason = "upstream-rate-limit" // The rate limit that the upstream has named leaves no room in time.
	ReasonRequestTimeout Reason = "request-timeout"     // The request was not received in time.
	ReasonRetryBudget    Reason = "retry-budget"        // The upstream has reached its limit on repeats.
	ReasonShed           Reason = "shed"                // The upstream itself reported that it has no capacity.
	ReasonUnauthorized   Reason = "unauthorized"        // The request is not signed by a node.
	ReasonUnconfirmed    Reason = "unconfirmed"         // The node can't know whether its document is the newest.
	ReasonUnknownKey     Reason = "unknown-api-key"     // The request has no API key, or one of no workspace.
	ReasonUpstreamFailed Reason = "upstream-failed"     // The upstream's answer can't be used.
	ReasonUpstreamLost   Reason = "upstream-lost"       // The connection was lost before the whole answer.
)

// Reasons returns all reasons in alphabetical order.
func Reasons() []Reason {
	return []Reason{
		ReasonAnswerMemory, ReasonBadRequest, ReasonBodyTooLarge, ReasonBusy, ReasonCancelled, ReasonDeadline, ReasonDraining,
		ReasonEvacuated, ReasonHeaderTooLarge, ReasonKeyReused, ReasonLeaveNotStored, ReasonNoDocument, ReasonNoRegion, ReasonNoRoute, ReasonNoUpstream,
		ReasonOutcomeUnknown, ReasonPoison, ReasonQuarantined, ReasonQueueFull, ReasonQuota, ReasonQuotaUnknown,
		ReasonRequestMemory, ReasonRequestTimeout, ReasonRetryBudget, ReasonShed, ReasonUnauthorized, ReasonUnconfirmed,
		ReasonUnknownKey, ReasonUpstreamFailed, ReasonUpstreamLost, ReasonRateLimit,
	}
}

// NotRun states whether a refused request is known not to have run.
type NotRun string

// The values of NotRun.
const (
	NotRunFalse   NotRun = "false"   // The request has run.
	NotRunTrue    NotRun = "true"    // The request has certainly not run.
	NotRunUnknown NotRun = "unknown" // The request may have run.
)

// Refusal is the error with which a request ends that gets no response from its upstream.
type Refusal struct {
	Reason     Reason
	NotRun     NotRun
	RetryAfter time.Duration // Zero if a later retry can't help.
	Detail     string
}

// New returns a refusal of a request that is known not to have run.
func New(reason Reason, detail string) *Refusal {
	return &Refusal{Reason: reason, NotRun: NotRunTrue, Detail: detail}
}

// NewWithRetryAfter returns a refusal of a request that is known not to have run, with the time after which a retry can
// succeed.
func NewWithRetryAfter(reason Reason, retryAfter time.Duration, detail string) *Refusal {
	return &Refusal{Reason: reason, NotRun: NotRunTrue, RetryAfter: retryAfter, Detail: detail}
}

// NewPossiblyRun returns a refusal of a request that may have run.
func NewPossiblyRun(reason Reason, detail string) *Refusal {
	return &Refusal{Reason: reason, NotRun: NotRunUnknown, Detail: detail}
}

// Error implements error. The text is the reason and the detail.
func (r *Refusal) Error() string {
	return string(r.Reason) + ": " + r.Detail
}

// IsNotRun reports whether the request is known not to have run.
func (r *Refusal) IsNotRun() bool {
	return r.NotRun == NotRunTrue
}

// Status returns the HTTP status code of the refusal. For some reasons it depends on whether the request is known not
// to have run: 503 if so, 504 or 502 otherwise.
func (r *Refusal) Status() int {
	switch r.Reason {
	case ReasonBadRequest:
		return fasthttp.StatusBadRequest
	case ReasonBodyTooLarge:
		return fasthttp.StatusRequestEntityTooLarge
	case ReasonHeaderTooLarge:
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	case ReasonKeyReused:
		return fasthttp.StatusUnprocessableEntity
	case ReasonNoRoute:
		return fasthttp.StatusNotFound
	case ReasonQuota:
		return fasthttp.StatusTooManyRequests
	case ReasonUnauthorized, ReasonUnknownKey:
		return fasthttp.StatusUnauthorized
	case ReasonRequestTimeout:
		return fasthttp.StatusRequestTimeout
	case ReasonDeadline:
		if r.IsNotRun() {
			return fasthttp.StatusServiceUnavailable
		}
		return fasthttp.StatusGatewayTimeout
	case ReasonCancelled:
		if r.IsNotRun() {
			return fasthttp.StatusServiceUnavailable
		}
		return fasthttp.StatusBadGateway
	case ReasonAnswerMemory, ReasonOutcomeUnknown, ReasonUpstreamFailed, ReasonUpstreamLost:
		return fasthttp.StatusBadGateway
	default:
		return fasthttp.StatusServiceUnavailable
	}
}

// Problem is the body of the response to a refused request, as application/problem+json (RFC 9457).
type Problem struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	Reason Reason `json:"reason"`
	NotRun NotRun `json:"not-run"`
	Detail string `json:"detail,omitempty"`
}

// ContentType is the media type of a Problem.
const ContentType = "application/problem+json"

// Write replaces resp with the refusal's response. Its Retry-After header is in whole seconds, rounded up.
func (r *Refusal) Write(resp *fasthttp.Response) {
	r.WriteWith(resp, interpreter.Native{}.FormatRetryAfter)
}

// WriteWith replaces resp with the refusal's response. The Retry-After header is formatted by formatRetryAfter; there is
// none if RetryAfter is zero.
func (r *Refusal) WriteWith(resp *fasthttp.Response, formatRetryAfter func(time.Duration) string) {
	resp.Reset()
	resp.SetStatusCode(r.Status())
	resp.Header.SetContentType(ContentType)
	if r.RetryAfter > 0 {
		resp.Header.Set(fasthttp.HeaderRetryAfter, formatRetryAfter(r.RetryAfter))
	}
	problem := Problem{
		Title:  "request refused",
		Status: r.Status(),
		Reason: r.Reason,
		NotRun: r.NotRun,
		Detail: r.Detail,
	}
	body, err := json.Marshal(problem)
	if err != nil {
		body = []byte(`{"title":"request refused"}`)
	}
	resp.SetBody(body)
}

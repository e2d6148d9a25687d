// Package refuser defines why a request is refused and how a caller is told.
package refuser

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/interpreter"
)

// Reason names the cause of a refusal. Reasons are kebab-case and label a metric counter each.
type Reason string

// The reasons for which a request is refused.
const (
	ReasonBodyTooLarge   Reason = "body-too-large"
	ReasonBusy           Reason = "busy"
	ReasonCancelled      Reason = "cancelled"
	ReasonDeadline       Reason = "deadline"
	ReasonDraining       Reason = "draining"
	ReasonHeaderTooLarge Reason = "header-too-large"
	ReasonKeyReused      Reason = "key-reused"
	ReasonNoDocument     Reason = "no-document"
	ReasonNoRoute        Reason = "no-route"
	ReasonNoUpstream     Reason = "no-upstream"
	ReasonOutcomeUnknown Reason = "outcome-unknown"
	ReasonPoison         Reason = "poison"
	ReasonQuarantined    Reason = "quarantined"
	ReasonQueueFull      Reason = "queue-full"
	ReasonBadRequest     Reason = "bad-request"
	ReasonRequestTimeout Reason = "request-timeout"
	ReasonRetryBudget    Reason = "retry-budget"
	ReasonShed           Reason = "shed"
	ReasonUnauthorized   Reason = "unauthorized"
	ReasonUpstreamFailed Reason = "upstream-failed"
	ReasonUpstreamLost   Reason = "upstream-lost"
)

// Reasons returns every reason in alphabetical order.
func Reasons() []Reason {
	return []Reason{
		ReasonBadRequest, ReasonBodyTooLarge, ReasonBusy, ReasonCancelled, ReasonDeadline, ReasonDraining,
		ReasonHeaderTooLarge, ReasonKeyReused, ReasonNoDocument, ReasonNoRoute, ReasonNoUpstream,
		ReasonOutcomeUnknown, ReasonPoison, ReasonQuarantined, ReasonQueueFull, ReasonRequestTimeout,
		ReasonRetryBudget, ReasonShed, ReasonUnauthorized, ReasonUpstreamFailed, ReasonUpstreamLost,
	}
}

// NotRun says whether a refused request is known not to have run.
type NotRun string

// The values of NotRun.
const (
	NotRunFalse   NotRun = "false"
	NotRunTrue    NotRun = "true"
	NotRunUnknown NotRun = "unknown"
)

// Refusal is the typed error that ends a request without an answer of its upstream.
type Refusal struct {
	Reason     Reason
	NotRun     NotRun
	RetryAfter time.Duration // Zero where a later try can't help.
	Detail     string
}

// New returns a refusal of a request that is known not to have run.
func New(reason Reason, detail string) *Refusal {
	return &Refusal{Reason: reason, NotRun: NotRunTrue, Detail: detail}
}

// Later returns a refusal of a request that is known not to have run, with the time after which a
// later try can help.
func Later(reason Reason, retryAfter time.Duration, detail string) *Refusal {
	return &Refusal{Reason: reason, NotRun: NotRunTrue, RetryAfter: retryAfter, Detail: detail}
}

// Unknown returns a refusal of a request that may have run.
func Unknown(reason Reason, detail string) *Refusal {
	return &Refusal{Reason: reason, NotRun: NotRunUnknown, Detail: detail}
}

// Error implements error.
func (r *Refusal) Error() string {
	return string(r.Reason) + ": " + r.Detail
}

// IsNotRun reports whether the request is known not to have run.
func (r *Refusal) IsNotRun() bool {
	return r.NotRun == NotRunTrue
}

// Status returns the HTTP status code of the refusal.
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
	case ReasonUnauthorized:
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
	case ReasonOutcomeUnknown, ReasonUpstreamFailed, ReasonUpstreamLost:
		return fasthttp.StatusBadGateway
	default:
		return fasthttp.StatusServiceUnavailable
	}
}

// Problem is the body of a refusal as application/problem+json (RFC 9457).
type Problem struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	Reason Reason `json:"reason"`
	NotRun NotRun `json:"not-run"`
	Detail string `json:"detail,omitempty"`
}

// ContentType is the media type of a refusal's body.
const ContentType = "application/problem+json"

// Write replaces resp by the refusal. Retry-After is in whole seconds, rounded up.
func (r *Refusal) Write(resp *fasthttp.Response) {
	r.WriteWith(resp, interpreter.Native{}.FormatRetryAfter)
}

// WriteWith replaces resp by the refusal, with Retry-After as format writes it.
func (r *Refusal) WriteWith(resp *fasthttp.Response, format func(time.Duration) string) {
	resp.Reset()
	resp.SetStatusCode(r.Status())
	resp.Header.SetContentType(ContentType)
	if r.RetryAfter > 0 {
		resp.Header.Set(fasthttp.HeaderRetryAfter, format(r.RetryAfter))
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

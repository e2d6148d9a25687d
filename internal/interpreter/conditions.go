package interpreter

import (
	"slices"
	"strconv"

	"github.com/valyala/fasthttp"
)

// Conditions is what an upstream asks of its callers in the headers of a response. It holds for as long as the
// upstream's responses say so.
type Conditions struct {
	// Leaving reports whether the upstream is about to end and must not get new requests.
	Leaving bool
	// RateLimit is the rate of requests that the upstream accepts from all callers together.
	RateLimit RateLimit
}

// RateLimit is the rate limit in the headers of a response. The zero value means that the response has none.
type RateLimit struct {
	// PerSecond is in requests per second; zero if the response has no valid limit.
	PerSecond float64
	// Invalid is true if the response has a limit that can't be read.
	Invalid bool
}

// leavingValue is the value of a header that marks the responses of a leaving upstream.
const leavingValue = "1"

// maxRequestsPerSecond is the largest valid rate limit.
const maxRequestsPerSecond = 1e9

// ReadConditions returns the conditions in the headers with the given names.
func ReadConditions(header *fasthttp.ResponseHeader, rateLimitName, leavingName string) Conditions {
	return Conditions{
		Leaving:   isLeaving(header.PeekAll(leavingName)),
		RateLimit: parseRateLimit(header.PeekAll(rateLimitName)),
	}
}

// isLeaving reports whether one of the values of the header says that the upstream leaves.
func isLeaving(values [][]byte) bool {
	return slices.ContainsFunc(values, func(value []byte) bool { return string(value) == leavingValue })
}

// parseRateLimit parses the values of a rate limit's header: one decimal number of requests per second, above zero.
func parseRateLimit(values [][]byte) RateLimit {
	if len(values) == 0 {
		return RateLimit{}
	}
	perSecond, err := strconv.ParseFloat(string(values[0]), 64)
	if len(values) > 1 || err != nil {
		return RateLimit{Invalid: true}
	}
	return NewRateLimit(perSecond)
}

// NewRateLimit returns a limit of requests per second. It is invalid if the number is not above zero and at most
// maxRequestsPerSecond.
func NewRateLimit(perSecond float64) RateLimit {
	if !(perSecond > 0 && perSecond <= maxRequestsPerSecond) {
		return RateLimit{Invalid: true}
	}
	return RateLimit{PerSecond: perSecond}
}

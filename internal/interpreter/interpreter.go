// Package interpreter reads and writes what callers, nodes and upstreams tell each other in HTTP
// headers. Native speaks the project's own headers; a platform brings its own Interpreter.
package interpreter

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/valyala/fasthttp"
)

// ErrInvalid is wrapped by the error of a header that can't be read.
var ErrInvalid = merry.Sentinel("invalid header")

// Request is what a caller's headers say of its request.
type Request struct {
	// ID identifies the request over all nodes; empty where the caller gave none.
	ID string
	// Parent is the id of the request that an upstream makes this one for; empty where the id does not
	// tell.
	Parent string
	// Timeout is how long the caller waits; zero where it does not say.
	Timeout time.Duration
}

// Hop is what a node tells the upstream beside it with a request.
type Hop struct {
	// Caller is the service on the VM where the request began.
	Caller string
	// Instance is the upstream's instance that the request is meant for.
	Instance string
	// Timeout is how long an answer is of use.
	Timeout time.Duration
}

// Load is an upstream's own view of its load.
type Load struct {
	Queued  int
	Running int
	Slots   int
	// Slowdown is how much longer than usual work takes at the moment; 1 means as usual.
	Slowdown float64
}

// Answer is what an upstream's headers say of its answer.
type Answer struct {
	// ID is that of the request that is answered; empty where the upstream does not say.
	ID string
	// Instance is the upstream's instance; empty where the upstream does not say.
	Instance string
	// HasLoad is true where the upstream tells its load.
	HasLoad bool
	Load    Load
	// NotRun is true where the upstream states that it has not run the request.
	NotRun bool
	// Unsealed is true for a success that lacks the upstream's proof of origin.
	Unsealed bool
}

// Headers of the project's own interface.
const (
	// HeaderInstance names the upstream's instance in requests and answers.
	HeaderInstance = "Marigoldrelay-Instance"
	// HeaderLoad tells an upstream's load: running, queued, slots and slowdown in percent.
	HeaderLoad = "Marigoldrelay-Upstream-Load"
	// HeaderNotRun is "true" in answers to requests that the upstream has not run.
	HeaderNotRun = "Marigoldrelay-Not-Run"
	// HeaderRequest identifies a request and its answer.
	HeaderRequest = "Marigoldrelay-Request"
	// HeaderTimeout shortens the route's deadline, in decimal seconds.
	HeaderTimeout = "Request-Timeout"
)

const maxTimeout = 1e6 // Seconds.

// Native speaks the project's own headers.
type Native struct{}

// ReadRequest returns what the caller says. The error wraps ErrInvalid.
func (Native) ReadRequest(header *fasthttp.RequestHeader) (Request, error) {
	request := Request{}
	text := string(header.Peek(HeaderTimeout))
	if text == "" {
		return request, nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds > 0 && seconds < maxTimeout) {
		return request, merry.Prepend(ErrInvalid, HeaderTimeout+": want decimal seconds above zero")
	}
	request.Timeout = time.Duration(seconds * float64(time.Second))
	return request, nil
}

// WriteHop tells the upstream what it needs to know of the request.
func (Native) WriteHop(header *fasthttp.RequestHeader, hop Hop) {
	if hop.Instance != "" {
		header.Set(HeaderInstance, hop.Instance)
	}
	header.Set(HeaderTimeout, strconv.FormatFloat(hop.Timeout.Seconds(), 'f', 3, 64))
}

// ReadAnswer returns what the upstream says.
func (Native) ReadAnswer(header *fasthttp.ResponseHeader) Answer {
	answer := Answer{
		ID:       string(header.Peek(HeaderRequest)),
		Instance: string(header.Peek(HeaderInstance)),
		NotRun:   string(header.Peek(HeaderNotRun)) == "true",
	}
	answer.Load, answer.HasLoad = ParseLoad(string(header.Peek(HeaderLoad)))
	return answer
}

// FormatRetryAfter returns whole seconds, rounded up (RFC 9110, section 10.2.3).
func (Native) FormatRetryAfter(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// ParseLoad reads running, queued, slots and, if there, the slowdown in percent, separated by commas.
func ParseLoad(text string) (Load, bool) {
	parts := strings.Split(text, ",")
	if len(parts) < 3 {
		return Load{}, false
	}
	numbers := make([]float64, len(parts))
	for i, part := range parts {
		number, err := strconv.ParseFloat(strings.TrimSpace(part), 64)
		if err != nil || number < 0 || number > math.MaxInt32 {
			return Load{}, false
		}
		numbers[i] = number
	}
	load := Load{Running: int(numbers[0]), Queued: int(numbers[1]), Slots: int(numbers[2]), Slowdown: 1}
	if len(numbers) > 3 {
		load.Slowdown = max(1, numbers[3]/100)
	}
	return load, true
}

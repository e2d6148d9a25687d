// Package interpreter reads and writes the HTTP headers that carry metadata between callers, nodes and upstreams.
// Native uses the project's own headers; a platform provides an Interpreter of its own.
package interpreter

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/headereditor"
)

// ErrInvalid is wrapped by the error for a header with an invalid value.
var ErrInvalid = merry.Sentinel("invalid header")

// Request is the metadata in the headers of a caller's request.
type Request struct {
	// ID identifies the request on all nodes; empty if the caller did not set one.
	ID string
	// Parent is the id of the request for which an upstream makes this one; empty if the id does not contain it.
	Parent string
	// Timeout is how long the caller waits; zero if it did not say.
	Timeout time.Duration
}

// Hop is the metadata that a node adds to a request to the upstream on its VM.
type Hop struct {
	// Caller is the service on the VM where the request originated.
	Caller string
	// Instance is the instance of the upstream for which the request is intended.
	Instance string
	// Timeout is how long a response is still useful.
	Timeout time.Duration
	// HasWorkspaces is true if the deployment has workspaces. The workspace's header is then written or, without a workspace,
	// deleted, and so is the one with the API key.
	HasWorkspaces bool
	// Workspace is the workspace to which the request belongs; empty if there is none.
	Workspace string
}

// Load is an upstream's own view of its load.
type Load struct {
	Queued  int // Requests.
	Running int // Requests.
	Slots   int
	// Slowdown is the current service time relative to the usual one; at least 1, which means as usual.
	Slowdown float64
}

// Answer is the metadata in the headers of an upstream's response.
type Answer struct {
	// Cold is how long the upstream stays cold.
	Cold       Cold
	Conditions Conditions
	// ID is the id of the request that was answered; empty if the upstream did not set it.
	ID string
	// Instance is the upstream's instance; empty if the upstream did not set it.
	Instance string
	// HasLoad reports whether the upstream sent its load, in Load.
	HasLoad bool
	Load    Load
	// NotRun reports whether the upstream states that it has not run the request.
	NotRun bool
	// Unsealed reports whether a successful response lacks the upstream's proof of origin.
	Unsealed bool
}

// The project's own headers.
const (
	// HeaderCold is how long the upstream stays cold, in milliseconds: it then bears only a part of its usual rate.
	HeaderCold = "Marigoldrelay-Upstream-Cold-Ms"
	// HeaderLeaving is "1" in the responses of an upstream that is about to end.
	HeaderLeaving = "Marigoldrelay-Upstream-Leaving"
	// HeaderRateLimit is the rate of requests, in decimal requests per second, that an upstream accepts from all callers
	// together.
	HeaderRateLimit = "Marigoldrelay-Upstream-Rate-Limit"
	// HeaderInstance is the upstream's instance, in requests and responses.
	HeaderInstance = "Marigoldrelay-Instance"
	// HeaderLoad is an upstream's load, as ParseLoad reads it: running, queued, slots and slowdown in percent.
	HeaderLoad = "Marigoldrelay-Upstream-Load"
	// HeaderNotRun is "true" in responses to requests that the upstream has not run.
	HeaderNotRun = "Marigoldrelay-Not-Run"
	// HeaderRequest identifies a request and its response.
	HeaderRequest = "Marigoldrelay-Request"
	// HeaderCredential holds the caller's API key. It is read at the entry node and never forwarded.
	HeaderCredential = "Marigoldrelay-Api-Key"
	// HeaderWorkspace names the workspace of the caller in requests to upstreams.
	HeaderWorkspace = "Marigoldrelay-Workspace"
	// HeaderTimeout shortens the route's deadline. It is a timeout in decimal seconds.
	HeaderTimeout = "Request-Timeout"
)

// maxTimeoutSeconds is the value of HeaderTimeout from which ReadRequest rejects it.
const maxTimeoutSeconds = 1e6

// Native reads and writes the project's own headers.
type Native struct{}

// ReadRequest returns the metadata of a caller's request, of which only the timeout has a header. The error wraps
// ErrInvalid if the timeout is not above 0 and below 1,000,000 seconds, or occurs in several lines.
func (Native) ReadRequest(header *fasthttp.RequestHeader) (Request, error) {
	request := Request{}
	text, err := headereditor.Only(header, HeaderTimeout)
	if err != nil {
		return request, merry.Prepend(ErrInvalid, err.Error())
	}
	if text == "" {
		return request, nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds > 0 && seconds < maxTimeoutSeconds) {
		return request, merry.Prepend(ErrInvalid, HeaderTimeout+": want decimal seconds above zero")
	}
	request.Timeout = time.Duration(seconds * float64(time.Second))
	return request, nil
}

// EndToEnd returns the names of the fields that are passed on even if the sender names them in Connection.
func (Native) EndToEnd() []string {
	return []string{HeaderRequest, HeaderNotRun}
}

// CredentialHeader returns the name of the field with the caller's API key.
func (Native) CredentialHeader() string {
	return HeaderCredential
}

// WorkspaceHeader returns the name of the field with the workspace of a request to an upstream.
func (Native) WorkspaceHeader() string {
	return HeaderWorkspace
}

// WriteWorkspace replaces all lines of the workspace's field, if the deployment has workspaces, and deletes those of the field
// with the API key. Without a workspace it leaves none.
func (h Hop) WriteWorkspace(header *fasthttp.RequestHeader, credentialHeader, workspaceHeader string) {
	if !h.HasWorkspaces {
		return
	}
	header.Del(credentialHeader)
	header.Del(workspaceHeader)
	if h.Workspace != "" {
		header.Set(workspaceHeader, h.Workspace)
	}
}

// HopFields returns the names of the fields that WriteHop replaces or removes, whatever the request has in them.
func (Native) HopFields() []string {
	return []string{HeaderInstance, HeaderTimeout}
}

// WriteHop sets the headers of a request to an upstream, the instance unless it is empty and the timeout, and replaces all
// lines of them that the caller has sent.
func (Native) WriteHop(header *fasthttp.RequestHeader, hop Hop) {
	header.Del(HeaderInstance)
	if hop.Instance != "" {
		header.Set(HeaderInstance, hop.Instance)
	}
	hop.WriteWorkspace(header, HeaderCredential, HeaderWorkspace)
	headereditor.Replace(header, HeaderTimeout, strconv.FormatFloat(hop.Timeout.Seconds(), 'f', 3, 64))
}

// ReadAnswer returns the metadata of an upstream's response. Several ids are the id of no request, and several loads are
// none.
func (Native) ReadAnswer(header *fasthttp.ResponseHeader) Answer {
	answer := Answer{
		Cold:       ReadCold(header, HeaderCold),
		Conditions: ReadConditions(header, HeaderRateLimit, HeaderLeaving),
		ID:         headereditor.Joined(header, HeaderRequest),
		Instance:   headereditor.Joined(header, HeaderInstance),
		NotRun:     headereditor.OnlyOrNone(header, HeaderNotRun) == "true",
	}
	answer.Load, answer.HasLoad = ParseLoad(headereditor.OnlyOrNone(header, HeaderLoad))
	return answer
}

// RemoveConditions removes the headers with an upstream's conditions.
func (Native) RemoveConditions(header *fasthttp.ResponseHeader) {
	header.Del(HeaderCold)
	header.Del(HeaderRateLimit)
	header.Del(HeaderLeaving)
}

// FormatRetryAfter returns the value of a Retry-After header: whole seconds, rounded up (RFC 9110, section 10.2.3).
func (Native) FormatRetryAfter(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// ParseLoad parses comma-separated numbers: running, queued, slots and, optionally, the slowdown in percent, which
// counts as at least 100. It reports whether text is valid.
func ParseLoad(text string) (Load, bool) {
	parts := strings.Split(text, ",")
	if len(parts) < 3 {
		return Load{}, false
	}
	numbers := make([]float64, len(parts))
	for i, part := range parts {
		number, err := strconv.ParseFloat(strings.TrimSpace(part), 64)
		if err != nil || !(number >= 0 && number <= math.MaxInt32) {
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

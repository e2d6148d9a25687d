package dispatcher

import (
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
)

// Headers that callers can set.
const (
	// HeaderIdempotencyKey identifies a request that the caller may send again (IETF draft
	// idempotency-key-header).
	HeaderIdempotencyKey = "Idempotency-Key"
)

const maxKeyBytes = 255

// hopByHop are the headers that are not forwarded beyond one hop (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Upgrade",
}

// stripHeaders removes hop-by-hop headers, those named in Connection, and headers that only nodes may set.
func stripHeaders(req *fasthttp.Request) {
	for _, name := range strings.Split(string(req.Header.Peek("Connection")), ",") {
		if name = strings.TrimSpace(name); name != "" {
			req.Header.Del(name)
		}
	}
	for _, name := range hopByHop {
		req.Header.Del(name)
	}
	var nodeHeaders []string
	for name := range req.Header.All() {
		if strings.HasPrefix(strings.ToLower(string(name)), strings.ToLower(carrier.HeaderPrefix)) {
			nodeHeaders = append(nodeHeaders, string(name))
		}
	}
	for _, name := range nodeHeaders {
		req.Header.Del(name)
	}
}

// readIdempotencyKey reads the idempotency key without surrounding quotes and spaces. It returns a refusal if the
// key is longer than maxKeyBytes.
func (c *Call) readIdempotencyKey(req *fasthttp.Request) *refuser.Refusal {
	c.Key = strings.Trim(string(req.Header.Peek(HeaderIdempotencyKey)), `" `)
	if len(c.Key) > maxKeyBytes {
		return refuser.New(refuser.ReasonBadRequest, "the idempotency key is longer than 255 bytes")
	}
	return nil
}

// requestPath returns the path of the request as sent by the caller, without normalisation and query.
func requestPath(req *fasthttp.Request) string {
	requestTarget := string(req.Header.RequestURI())
	if _, rest, found := strings.Cut(requestTarget, "://"); found && !strings.HasPrefix(requestTarget, "/") {
		// The request target is in absolute form (RFC 9112, section 3.2.2).
		_, path, _ := strings.Cut(rest, "/")
		requestTarget = "/" + path
	}
	path, _, _ := strings.Cut(requestTarget, "?")
	return path
}

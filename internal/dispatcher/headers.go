package dispatcher

import (
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
)

// Headers that callers can set.
const (
	// HeaderIdempotencyKey names a request that a caller may repeat (IETF draft
	// idempotency-key-header).
	HeaderIdempotencyKey = "Idempotency-Key"
)

const maxKeyBytes = 255

// hopByHop are the headers that end at each hop (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Upgrade",
}

// strip removes the headers that end at this hop and those that only nodes may set.
func strip(req *fasthttp.Request) {
	for _, name := range strings.Split(string(req.Header.Peek("Connection")), ",") {
		if name = strings.TrimSpace(name); name != "" {
			req.Header.Del(name)
		}
	}
	for _, name := range hopByHop {
		req.Header.Del(name)
	}
	var own []string
	for name := range req.Header.All() {
		if strings.HasPrefix(strings.ToLower(string(name)), strings.ToLower(carrier.HeaderPrefix)) {
			own = append(own, string(name))
		}
	}
	for _, name := range own {
		req.Header.Del(name)
	}
}

// readKey takes the idempotency key.
func (c *Call) readKey(req *fasthttp.Request) *refuser.Refusal {
	c.Key = strings.Trim(string(req.Header.Peek(HeaderIdempotencyKey)), `" `)
	if len(c.Key) > maxKeyBytes {
		return refuser.New(refuser.ReasonBadRequest, "the idempotency key is longer than 255 bytes")
	}
	return nil
}

// pathOf returns the path of the request as it was sent, without the query.
func pathOf(req *fasthttp.Request) string {
	target := string(req.Header.RequestURI())
	if _, rest, found := strings.Cut(target, "://"); found && !strings.HasPrefix(target, "/") {
		// The absolute form of RFC 9112, section 3.2.2.
		_, path, _ := strings.Cut(rest, "/")
		target = "/" + path
	}
	path, _, _ := strings.Cut(target, "?")
	return path
}

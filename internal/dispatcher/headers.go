package dispatcher

import (
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
	"github.com/marigoldrelay/marigoldrelay/internal/headereditor"
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
	"Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Upgrade",
}

// stripHeaders removes hop-by-hop headers, those named in Connection, and headers that only nodes may set. Host and the
// kept ones stay.
func stripHeaders(req *fasthttp.Request, kept []string) {
	headereditor.RemoveHop(&req.Header, hopByHop, append([]string{fasthttp.HeaderHost}, kept...))
	headereditor.RemovePrefixed(&req.Header, carrier.HeaderPrefix)
}

// readIdempotencyKey reads the idempotency key without surrounding quotes and spaces. It returns a refusal if the
// key occurs in several lines or is longer than maxKeyBytes.
func (c *Call) readIdempotencyKey(req *fasthttp.Request) *refuser.Refusal {
	key, err := headereditor.Only(&req.Header, HeaderIdempotencyKey)
	if err != nil {
		return refuser.New(refuser.ReasonBadRequest, err.Error())
	}
	c.Key = strings.Trim(key, `" `)
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

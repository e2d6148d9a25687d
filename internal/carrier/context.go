package carrier

import (
	"encoding/base64"
	"encoding/json"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/signer"
)

// HeaderContext carries the context of a call to its upstream. An upstream copies it into the calls
// that it makes through the node beside it.
const HeaderContext = "Marigoldrelay-Context"

const purposeContext = "context"

// Context is what the calls made on behalf of another call inherit from it.
type Context struct {
	Call     string `json:"call"`
	RootCall string `json:"chain"`
	// Deadline is in the clock of the VM, which the node and its upstream share.
	Deadline  time.Time `json:"deadline"`
	Depth     int       `json:"depth"`
	Neighbour string    `json:"neighbour"`
	Rank      string    `json:"rank"`
}

// Stamp writes the attempt's context into the headers of a request to the upstream.
func Stamp(key *signer.Signer, a *Attempt, req *fasthttp.Request, deadline time.Time) {
	rootCall := a.RootCall
	if rootCall == "" {
		rootCall = a.Call
	}
	inherited := Context{
		Call:      a.Call,
		RootCall:  rootCall,
		Deadline:  deadline,
		Depth:     a.Depth + 1,
		Neighbour: a.Neighbour,
		Rank:      a.Rank,
	}
	// The fields are plain strings, numbers and a time, which always encode.
	body, _ := json.Marshal(inherited)
	text := base64.RawURLEncoding.EncodeToString(body)
	req.Header.Set(HeaderContext, text+"."+key.Hex(purposeContext, []byte(text)))
}

// OpenContext returns the context that a node has put into the request. It reports false for one
// that is missing or not signed.
func OpenContext(key *signer.Signer, req *fasthttp.Request) (Context, bool) {
	header := string(req.Header.Peek(HeaderContext))
	text, signature, found := strings.Cut(header, ".")
	if !found || !key.VerifyHex(signature, purposeContext, []byte(text)) {
		return Context{}, false
	}
	body, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return Context{}, false
	}
	var inherited Context
	if err := json.Unmarshal(body, &inherited); err != nil {
		return Context{}, false
	}
	return inherited, true
}

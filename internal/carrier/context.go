package carrier

import (
	"encoding/base64"
	"encoding/json"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/headereditor"
	"github.com/marigoldrelay/marigoldrelay/internal/signer"
)

// HeaderContext is the header with the context of a call. The node sends it to the upstream, which copies it into the
// calls that it makes through the node beside it.
const HeaderContext = "Marigoldrelay-Context"

const purposeContext = "context"

// Context is what nested calls inherit from the call that they are made for.
type Context struct {
	// Call is the id of the call that is the parent of the nested calls.
	Call string `json:"call"`
	// RootCall is the id of the outermost call.
	RootCall string `json:"chain"`
	// Deadline is a time on the clock of the VM, which the node and its upstream share.
	Deadline  time.Time `json:"deadline"`
	Depth     int       `json:"depth"`
	Neighbour string    `json:"neighbour"`
	Rank      string    `json:"rank"`
}

// WriteContext writes the signed context of the attempt's call into the headers of a request to the upstream.
func WriteContext(key *signer.Signer, a *Attempt, req *fasthttp.Request, deadline time.Time) {
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
	headereditor.Replace(&req.Header, HeaderContext, text+"."+key.Hex(purposeContext, []byte(text)))
}

// ReadContext returns the context in the request's headers. It reports false if the context is missing, occurs in several
// lines, has no valid signature or can't be decoded.
func ReadContext(key *signer.Signer, req *fasthttp.Request) (Context, bool) {
	header := headereditor.OnlyOrNone(&req.Header, HeaderContext)
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

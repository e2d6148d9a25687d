package relayer

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/forwarder"
	"github.com/marigoldrelay/marigoldrelay/internal/interpreter"
	"github.com/marigoldrelay/marigoldrelay/internal/router"
	"github.com/marigoldrelay/marigoldrelay/internal/validator"
)

// Interpreter reads and writes what callers and upstreams say in headers.
type Interpreter interface {
	FormatRetryAfter(d time.Duration) string
	ReadAnswer(header *fasthttp.ResponseHeader) interpreter.Answer
	ReadRequest(header *fasthttp.RequestHeader) (interpreter.Request, error)
	WriteHop(header *fasthttp.RequestHeader, hop interpreter.Hop)
}

// WithInterpreter replaces the project's own headers by those of a platform.
func WithInterpreter(i Interpreter) Option {
	return func(n *Node) { n.interpreter = i }
}

// WithParser replaces the parser of the document's text.
func WithParser(parse func(text []byte) (*validator.Document, error)) Option {
	return func(n *Node) { n.parse = parse }
}

// WithPolicy replaces the policy by which targets are picked.
func WithPolicy(policy router.Policy) Option {
	return func(n *Node) { n.policy = policy }
}

// Option changes a Node under construction.
type Option func(*Node)

// WithForwarder passes options on to the connections to other nodes.
func WithForwarder(options ...forwarder.Option) Option {
	return func(n *Node) { n.peerOptions = append(n.peerOptions, options...) }
}

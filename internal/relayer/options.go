package relayer

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/forwarder"
	"github.com/marigoldrelay/marigoldrelay/internal/interpreter"
	"github.com/marigoldrelay/marigoldrelay/internal/router"
	"github.com/marigoldrelay/marigoldrelay/internal/validator"
)

// Interpreter reads and writes the headers that are exchanged with callers and upstreams.
type Interpreter interface {
	CredentialHeader() string
	EndToEnd() []string
	// HopFields returns the names of the fields that WriteHop replaces or removes, whatever the request has in them.
	HopFields() []string
	FormatRetryAfter(d time.Duration) string
	ReadAnswer(header *fasthttp.ResponseHeader) interpreter.Answer
	ReadRequest(header *fasthttp.RequestHeader) (interpreter.Request, error)
	RemoveConditions(header *fasthttp.ResponseHeader)
	WorkspaceHeader() string
	WriteHop(header *fasthttp.RequestHeader, hop interpreter.Hop)
}

// WithInterpreter replaces the project's own headers with those of a platform.
func WithInterpreter(i Interpreter) Option {
	return func(n *Node) { n.interpreter = i }
}

// WithParser replaces the parser for the text of a document.
func WithParser(parse func(text string) (*validator.Document, error)) Option {
	return func(n *Node) { n.parseDocument = parse }
}

// WithPolicy replaces the policy that picks targets. The default is router.Weighted.
func WithPolicy(policy router.Policy) Option {
	return func(n *Node) { n.policy = policy }
}

// WithUptime replaces the clock that counts the time for which the machine is suspended.
func WithUptime(uptime func() time.Duration) Option {
	return func(n *Node) { n.uptime = uptime }
}

// Option configures a Node that New builds.
type Option func(*Node)

// WithForwarderOptions passes options to the forwarder for connections to other nodes.
func WithForwarderOptions(options ...forwarder.Option) Option {
	return func(n *Node) { n.peerOptions = append(n.peerOptions, options...) }
}

// WithNetwork replaces the operating system's network.
func WithNetwork(network Network) Option {
	return func(n *Node) {
		n.network = network
		n.peerOptions = append(n.peerOptions, forwarder.WithDialer(network.Dial))
	}
}

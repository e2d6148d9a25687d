package relayer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
	"github.com/marigoldrelay/marigoldrelay/internal/executor"
	"github.com/marigoldrelay/marigoldrelay/internal/forwarder"
	"github.com/marigoldrelay/marigoldrelay/internal/headereditor"
	"github.com/marigoldrelay/marigoldrelay/internal/interpreter"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

const (
	dialTimeout       = 200 * time.Millisecond
	downCheckCount    = 2
	downCheckInterval = 10 * time.Millisecond
)

// localUpstream manages the connections to the upstream beside the node. It is safe for concurrent use.
type localUpstream struct {
	clock       timekeeper.Clock
	interpreter Interpreter
	observer    upstreamObserver
	// answerSkipped is called for each answer that belongs to no request which waits on its connection, with the id of the one that
	// does.
	answerSkipped func(waiting string, header *fasthttp.ResponseHeader)
	options       []forwarder.Option

	mu      sync.Mutex
	address netip.AddrPort
	process announcer.Process
	pool    *forwarder.Pool
}

// upstreamObserver learns from the upstream's answers.
type upstreamObserver interface {
	ObserveConditions(named executor.NamedConditions)
	UpdateLoad(load interpreter.Load)
}

// newLocalUpstream returns an upstream whose address is not known. Its fields observer and answerSkipped are to be set before the
// first request.
func newLocalUpstream(clock timekeeper.Clock, i Interpreter, options ...forwarder.Option) *localUpstream {
	return &localUpstream{clock: clock, interpreter: i, options: options}
}

// reconnect replaces the connection pool if another process or address of the upstream is announced. An invalid address
// is ignored.
func (u *localUpstream) reconnect(a announcer.Announcement) {
	address, err := netip.ParseAddrPort(a.Address)
	if err != nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	last := u.process
	u.process = a.Process()
	if u.pool != nil && u.address == address && u.process.IsSame(last) {
		return
	}
	if u.pool != nil {
		u.pool.Close()
	}
	u.address = address
	u.pool = forwarder.New(address, u.clock, u.options...)
}

// current returns the connection pool, address and process of the upstream. The pool is nil before the first
// announcement.
func (u *localUpstream) current() (*forwarder.Pool, netip.AddrPort, announcer.Process) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.pool, u.address, u.process
}

// sentRequest is when a request was sent to which process of the upstream.
type sentRequest struct {
	at      time.Time
	process announcer.Process
}

// beginRequest returns the connection pool for a request that is sent now, which is nil before the first announcement.
func (u *localUpstream) beginRequest() (*forwarder.Pool, sentRequest) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.pool, sentRequest{at: u.clock.Now(), process: u.process}
}

// maxUnsafeIdle is how long a connection may have been idle to carry a request that must run at most once: the
// upstream may be about to close one that was idle for longer.
const maxUnsafeIdle = time.Second

// Do implements executor.Upstream.
func (u *localUpstream) Do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) error {
	pool, sending := u.beginRequest()
	if pool == nil {
		return forwarder.ErrNotSent
	}
	x := &forwarder.Exchange{Deadline: deadline, Request: req, Response: resp}
	if !req.Header.IsGet() && !req.Header.IsHead() {
		x.MaxIdle = maxUnsafeIdle
	}
	// A request with an unusable header can still have an id.
	callerRequest, _ := u.interpreter.ReadRequest(&req.Header)
	x.ID = callerRequest.ID
	// answer is that of the response which was read last.
	var answer interpreter.Answer
	x.Accept = func(header *fasthttp.ResponseHeader) bool {
		answer = u.interpreter.ReadAnswer(header)
		return mayAnswer(answer, x.ID)
	}
	x.OnSkipped = func(header *fasthttp.ResponseHeader) { u.answerSkipped(x.ID, header) }
	x.Rejection = func() forwarder.Rejection { return rejectionOf(answer, x.ID) }
	if err := pool.Do(ctx, x); err != nil {
		return err
	}
	return u.checkAnswer(resp, answer, sending)
}

// mayAnswer reports whether the answer can be that to the request with the id. Upstreams that get ids repeat them, but a rejection can
// come from a place that has not read the request; forwarder weighs it then.
func mayAnswer(answer interpreter.Answer, id string) bool {
	return id == "" || answer.ID == id || answer.ID == "" && answer.NotRun
}

// rejectionOf returns whether the answer states that the request with the id was not run.
func rejectionOf(answer interpreter.Answer, id string) forwarder.Rejection {
	switch {
	case !answer.NotRun:
		return forwarder.NoRejection
	case id != "" && answer.ID == id:
		return forwarder.IdentifiedRejection
	default:
		return forwarder.UnidentifiedRejection
	}
}

// checkAnswer uses what the upstream reports in the headers of its answer to a request, and removes the headers that
// concern only its connection or that only nodes may set. The error means that the request was not run
// (executor.ErrMisdirected, executor.ErrShed) or that the answer lacks the upstream's proof of origin
// (forwarder.ErrForeign).
func (u *localUpstream) checkAnswer(resp *fasthttp.Response, answer interpreter.Answer, request sentRequest) error {
	if answer.HasLoad {
		u.observer.UpdateLoad(answer.Load)
	}
	if answer.NotRun && resp.StatusCode() == fasthttp.StatusMisdirectedRequest {
		return executor.ErrMisdirected
	}
	named := executor.NamedConditions{
		Cold: answer.Cold, Conditions: answer.Conditions, Process: request.process, Kind: executor.ResponseAnswer, SentAt: request.at,
	}
	switch {
	case answer.NotRun:
		named.Kind = executor.ResponseNotRun
	case answer.Unsealed || resp.StatusCode() >= fasthttp.StatusInternalServerError:
		named.Kind = executor.ResponseFailed
	}
	u.observer.ObserveConditions(named)
	switch {
	case answer.NotRun:
		return executor.ErrShed
	case answer.Unsealed:
		return forwarder.ErrForeign
	}
	headereditor.RemoveHop(&resp.Header, answerHopByHop, u.interpreter.EndToEnd())
	carrier.RemoveOutcome(resp)
	return nil
}

// answerHopByHop are the headers of answers that are not forwarded beyond one hop (RFC 9110, section 7.6.1).
var answerHopByHop = []string{"Keep-Alive", "Proxy-Authenticate", "Trailer", "Transfer-Encoding", "Upgrade"}

// IsDown implements executor.Upstream. The process is down if another one has announced itself or if nothing
// listens at the address any more.
func (u *localUpstream) IsDown(ctx context.Context, process announcer.Process) bool {
	for range downCheckCount {
		_, address, current := u.current()
		if !current.IsSame(process) {
			return true
		}
		conn, err := net.DialTimeout("tcp", address.String(), dialTimeout)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return true
		}
		if err != nil {
			return false
		}
		_ = conn.Close()
		select {
		case <-ctx.Done():
			return false
		case <-time.After(downCheckInterval):
		}
	}
	return false
}

package carrier

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/forwarder"
	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
	"github.com/marigoldrelay/marigoldrelay/internal/recorder"
	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
	"github.com/marigoldrelay/marigoldrelay/internal/signer"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

const (
	// responseGrace is how much longer than the receiver the sender waits, so that it gets the receiver's refusal.
	// The response of an attempt that is already done gets the same time to arrive.
	responseGrace = 100 * time.Millisecond
	// maxPeerIdleTime is how long an idle connection to a peer can be reused. It is half of the time for which a
	// node keeps idle connections from its peers open. It is this long because in a large fleet a node sends to the
	// same peer only every few seconds.
	maxPeerIdleTime = 30 * time.Second
	// resolveRetryDelay is the delay before an outcome is queried again after a failed query.
	resolveRetryDelay = 50 * time.Millisecond
	// maxResolveWait is how long a node that is queried about a running attempt waits for its end.
	maxResolveWait = time.Second
	// resolveTimeout is the timeout of one query.
	resolveTimeout = maxResolveWait + time.Second
)

// Counter counts occurrences of named events.
type Counter interface {
	Event(name string)
}

// Members looks up the membership record of a node. It reports false if the node is not known.
type Members interface {
	Member(name string) (gossiper.Member, bool)
}

// Headers is what a Carrier must know of the headers of callers' requests.
type Headers struct {
	// HopFields are the names of the fields that the node beside an upstream replaces or removes, whatever they are. They
	// are not sent to other nodes.
	HopFields []string
	ReadID    RequestIDReader
}

// Carrier sends attempts to peers. It is safe for concurrent use.
type Carrier struct {
	clock    timekeeper.Clock
	counter  Counter
	key      *signer.Signer
	members  Members
	options  []forwarder.Option
	headers  Headers
	sender   string
	sequence atomic.Uint64

	mu    sync.Mutex
	peers map[netip.AddrPort]*peer
}

type peer struct {
	// compact is the incarnation of the node that is known to read compact attempts; zero if none is.
	compact      atomic.Uint64
	responseTime *responseTimeEstimate
	pool         *forwarder.Pool
}

// New returns a carrier. The sequence numbers of its attempts are unique to sender, which identifies the node and its
// incarnation. headers is the same at all nodes. The options apply to the connection pool of each peer.
func New(clock timekeeper.Clock, key *signer.Signer, sender string, members Members, counter Counter, headers Headers, options ...forwarder.Option) *Carrier {
	return &Carrier{
		clock:   clock,
		counter: counter,
		key:     key,
		members: members,
		options: options,
		peers:   make(map[netip.AddrPort]*peer),
		headers: headers,
		sender:  sender,
	}
}

// AssignID sets the attempt's sender and its next sequence number.
func (c *Carrier) AssignID(a *Attempt) {
	a.Sender = c.sender
	a.Sequence = c.sequence.Add(1)
}

func (c *Carrier) peer(address netip.AddrPort) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.peers[address]
	if !ok {
		options := append([]forwarder.Option{forwarder.WithMaxIdleTime(maxPeerIdleTime)}, c.options...)
		p = &peer{responseTime: newResponseTimeEstimate(), pool: forwarder.New(address, c.clock, options...)}
		c.peers[address] = p
	}
	return p
}

// Send sends the request to the node and waits for the outcome until the deadline. A response is left in resp. The
// attempt is sent once. If the connection is lost, the outcome of an attempt that is not idempotent is queried on a
// new connection, so that a refusal with not-run "true" is certain.
func (c *Carrier) Send(ctx context.Context, to gossiper.Member, a Attempt, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) Outcome {
	c.AssignID(&a)
	a.Incarnation = to.Incarnation
	started := c.clock.Now()
	a.Timeout = deadline.Sub(started)
	out := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(out)
	req.Header.CopyTo(&out.Header)
	for _, name := range c.headers.HopFields {
		out.Header.Del(name)
	}
	out.SetBodyRaw(req.Body())
	p := c.peer(to.Peer)
	if err := c.writeAttempt(p, &a, out); err != nil {
		return Outcome{Refusal: refuser.New(refuser.ReasonBadRequest, err.Error())}
	}
	err := p.pool.Do(ctx, &forwarder.Exchange{
		Deadline:          deadline.Add(responseGrace),
		OnOverdue:         c.overdueCheck(ctx, to, &a, p),
		ExpectedFirstByte: p.responseTime.timeout(),
		Request:           out,
		Response:          resp,
	})
	if err == nil {
		compact := isCompact(resp)
		outcome, ok := readOutcome(&a, resp)
		if ok {
			p.recordForm(compact, a.Incarnation)
			p.responseTime.observe(c.clock.Now().Sub(started))
			resp.Header.ResetConnectionClose()
			return outcome
		}
		c.counter.Event("foreign_answers")
		err = forwarder.ErrLost
	}
	if errors.Is(err, forwarder.ErrMalformed) {
		c.counter.Event("malformed_peer_answers")
	}
	return c.outcomeWithoutResponse(ctx, to, &a, err, resp, deadline)
}

// writeAttempt writes the attempt into the headers of out, in the compact form if the node reads it.
func (c *Carrier) writeAttempt(p *peer, a *Attempt, out *fasthttp.Request) error {
	a.ReadsCompact = compactVersion
	if a.Incarnation != 0 && p.compact.Load() == a.Incarnation {
		return signCompact(c.key, a, out, c.headers.ReadID)
	}
	return signAttempt(c.key, a, out)
}

// recordForm records whether the incarnation of a node has answered in the compact form.
func (p *peer) recordForm(isCompact bool, incarnation uint64) {
	if isCompact && p.compact.Load() != incarnation {
		p.compact.Store(incarnation)
	}
}

// overdueCheck returns the function that decides about a connection whose response is overdue. The function queries
// on a new connection whether the attempt is still running. If it is, or if the query fails as well, the connection
// is not at fault and the function returns how long to wait further. If the attempt is done, its response gets
// responseGrace to arrive, once. Zero means that the connection is faulty.
func (c *Carrier) overdueCheck(ctx context.Context, to gossiper.Member, a *Attempt, p *peer) func() time.Duration {
	graceGiven := false
	return func() time.Duration {
		c.counter.Event("overdue_answers")
		if graceGiven {
			return 0
		}
		resp := fasthttp.AcquireResponse()
		defer fasthttp.ReleaseResponse(resp)
		state, _, err := c.queryState(ctx, to, a, resp, c.clock.Now().Add(resolveTimeout), 0)
		switch {
		case err != nil, state == recorder.StateRunning:
			return p.responseTime.timeout()
		case state == recorder.StateDone, a.Idempotent:
			// Outcomes of idempotent attempts are not recorded: this one may be done and its response on the way.
			graceGiven = true
			return responseGrace
		default:
			return 0
		}
	}
}

// outcomeWithoutResponse returns the outcome of an attempt whose response did not arrive. err is the error of the
// connection.
func (c *Carrier) outcomeWithoutResponse(ctx context.Context, to gossiper.Member, a *Attempt, err error, resp *fasthttp.Response, deadline time.Time) Outcome {
	resp.Reset()
	if errors.Is(err, forwarder.ErrNotSent) {
		return Outcome{Refusal: refuser.New(refuser.ReasonNoUpstream, err.Error())}
	}
	if errors.Is(err, forwarder.ErrOverdue) {
		c.counter.Event("overdue_connections")
		c.peer(to.Peer).pool.CloseIdle()
	}
	if errors.Is(err, forwarder.ErrNoMemory) {
		c.counter.Event("answers_given_up")
		// The answer was on its way, so that a query would bring it again.
		return lostOutcome(a, err)
	}
	if a.Idempotent {
		return lostOutcome(a, err)
	}
	c.counter.Event("resolves")
	return c.resolve(ctx, to, a, resp, deadline)
}

func lostOutcome(a *Attempt, err error) Outcome {
	return Outcome{Arrived: true, Lost: a.Idempotent, Refusal: refuser.NewPossiblyRun(lossReason(err), err.Error())}
}

// lossReason returns the reason for which an attempt that ended with the error of its connection has no answer.
func lossReason(err error) refuser.Reason {
	switch {
	case errors.Is(err, forwarder.ErrTimeout):
		return refuser.ReasonDeadline
	case errors.Is(err, forwarder.ErrCancelled):
		return refuser.ReasonCancelled
	case errors.Is(err, forwarder.ErrNoMemory):
		return refuser.ReasonAnswerMemory
	default:
		return refuser.ReasonUpstreamLost
	}
}

// resolveRequest is a query to a node about the state of an attempt.
type resolveRequest struct {
	Incarnation uint64        `json:"incarnation"`
	Sender      string        `json:"sender"`
	Sequence    uint64        `json:"sequence"`
	Wait        time.Duration `json:"wait"`
}

// StateOtherIncarnation is the state reported by a node that is not the incarnation the attempt was sent to, because
// it was restarted.
const StateOtherIncarnation recorder.State = "other-incarnation"

// resolve queries the node that the attempt was sent to, on new connections, until the outcome is known, the node's
// incarnation is gone or the deadline has passed.
func (c *Carrier) resolve(ctx context.Context, to gossiper.Member, a *Attempt, resp *fasthttp.Response, deadline time.Time) Outcome {
	for c.clock.Now().Before(deadline) && ctx.Err() == nil {
		state, outcome, err := c.queryState(ctx, to, a, resp, deadline, maxResolveWait)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return unknownOutcome(a, "the node that had the request is gone")
		case err != nil:
			if c.isReplaced(to) {
				return unknownOutcome(a, "the node that had the request was replaced")
			}
			timekeeper.Sleep(ctx, c.clock, resolveRetryDelay)
		case state == recorder.StateDone:
			return outcome
		case state == recorder.StateBarred && a.Idempotent:
			// Outcomes of idempotent attempts are not recorded, so this one may have run.
			return lostOutcome(a, forwarder.ErrLost)
		case state == recorder.StateBarred:
			return Outcome{Refusal: refuser.New(refuser.ReasonUpstreamLost, "the request did not reach the node and is barred there")}
		case state == StateOtherIncarnation:
			return unknownOutcome(a, "the node that had the request was restarted")
		}
	}
	if ctx.Err() != nil {
		return lostOutcome(a, forwarder.ErrCancelled)
	}
	return unknownOutcome(a, "the outcome was not known by the deadline")
}

func unknownOutcome(a *Attempt, detail string) Outcome {
	return Outcome{Arrived: true, Lost: a.Idempotent, Refusal: refuser.NewPossiblyRun(refuser.ReasonOutcomeUnknown, detail)}
}

func (c *Carrier) isReplaced(to gossiper.Member) bool {
	m, ok := c.members.Member(to.Name)
	return ok && (m.Incarnation != to.Incarnation || m.Status >= gossiper.StatusDead)
}

func (c *Carrier) queryState(ctx context.Context, to gossiper.Member, a *Attempt, resp *fasthttp.Response, deadline time.Time, wait time.Duration) (recorder.State, Outcome, error) {
	now := c.clock.Now()
	q := resolveRequest{
		Incarnation: to.Incarnation,
		Sender:      a.Sender,
		Sequence:    a.Sequence,
		Wait:        min(wait, deadline.Sub(now)),
	}
	body, err := json.Marshal(q)
	if err != nil {
		return "", Outcome{}, err
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(ResolvePath)
	req.Header.SetHost(to.Peer.String())
	req.Header.Set(headerSignature, c.key.Hex(purposeResolve, body))
	req.SetBody(body)
	resp.Reset()
	err = c.peer(to.Peer).pool.Do(ctx, &forwarder.Exchange{
		Deadline:      earlier(deadline, now.Add(resolveTimeout)),
		NewConnection: true,
		Request:       req,
		Response:      resp,
	})
	if err != nil {
		return "", Outcome{}, err
	}
	return c.readState(a, resp)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (c *Carrier) readState(a *Attempt, resp *fasthttp.Response) (recorder.State, Outcome, error) {
	state := recorder.State(resp.Header.Peek(headerState))
	if state != recorder.StateDone {
		return state, Outcome{}, nil
	}
	encoded := bytes.Clone(resp.Body())
	if len(encoded) == 0 {
		return state, unknownOutcome(a, "the request has run; its answer is no longer kept"), nil
	}
	resp.Reset()
	if err := resp.Read(bufio.NewReader(bytes.NewReader(encoded))); err != nil {
		return state, unknownOutcome(a, "the request has run; its answer can't be read"), nil
	}
	outcome, ok := readOutcome(a, resp)
	if !ok {
		return state, unknownOutcome(a, "the request has run; its answer does not match"), nil
	}
	return state, outcome, nil
}

// EncodeResponse returns a response written by WriteOutcome as bytes, to be kept by a recorder.
func EncodeResponse(resp *fasthttp.Response) []byte {
	var encoded bytes.Buffer
	// Writes to a bytes.Buffer do not fail.
	_, _ = resp.WriteTo(&encoded)
	return encoded.Bytes()
}

// Resolver looks up the attempts that a node has received.
type Resolver interface {
	// Resolve returns the state of the attempt and, if it is done, its encoded response, or nothing if that is no
	// longer kept. If the attempt is running, done is closed when it ends. An attempt that was never received
	// becomes barred: it is refused if it arrives later.
	Resolve(id recorder.ID) (state recorder.State, answer []byte, done <-chan struct{})
}

// ServeResolve answers a peer's query about an attempt. If the attempt is running, it waits for its end as long as the
// query asks, but at most maxResolveWait. It refuses a query without a valid signature.
func ServeResolve(key *signer.Signer, clock timekeeper.Clock, isOwn func(incarnation uint64) bool, r Resolver, req *fasthttp.Request, resp *fasthttp.Response) {
	body := req.Body()
	var q resolveRequest
	signature := string(req.Header.Peek(headerSignature))
	if !key.VerifyHex(signature, purposeResolve, body) || json.Unmarshal(body, &q) != nil {
		refuser.New(refuser.ReasonUnauthorized, ErrUnsigned.Error()).Write(resp)
		return
	}
	if !isOwn(q.Incarnation) {
		resp.Header.Set(headerState, string(StateOtherIncarnation))
		return
	}
	id := recorder.ID{Sender: strings.Clone(q.Sender), Sequence: q.Sequence}
	state, answer, done := r.Resolve(id)
	if state == recorder.StateRunning {
		waitUntilDone(clock, done, min(q.Wait, maxResolveWait))
		state, answer, _ = r.Resolve(id)
	}
	if state == recorder.StateExpired {
		// The peer takes an attempt that is done and has no answer for one that may have run.
		state = recorder.StateDone
	}
	resp.Header.Set(headerState, string(state))
	resp.SetBody(answer)
}

func waitUntilDone(clock timekeeper.Clock, done <-chan struct{}, limit time.Duration) {
	expired := make(chan struct{})
	timer := clock.AfterFunc(limit, func() { close(expired) })
	defer timer.Stop()
	select {
	case <-done:
	case <-expired:
	}
}

// Close closes the idle connections to all peers.
func (c *Carrier) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		p.pool.Close()
	}
}

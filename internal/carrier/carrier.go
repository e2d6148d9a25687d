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
	// grace is how much longer than the receiver the sender waits, so that it hears the refusal.
	grace = 100 * time.Millisecond
	// peerIdleTime is half of how long a node keeps idle connections of others open: in a large fleet a
	// node sends to the same other one every few seconds only.
	peerIdleTime   = 30 * time.Second
	resolvePause   = 50 * time.Millisecond
	resolveWait    = time.Second
	resolveTimeout = resolveWait + time.Second
)

// Counter counts named events.
type Counter interface {
	Event(name string)
}

// Members looks up what is known of a node.
type Members interface {
	Member(name string) (gossiper.Member, bool)
}

// Carrier sends attempts to peers. It is safe for concurrent use.
type Carrier struct {
	clock    timekeeper.Clock
	counter  Counter
	key      *signer.Signer
	members  Members
	options  []forwarder.Option
	sender   string
	sequence atomic.Uint64

	mu    sync.Mutex
	peers map[netip.AddrPort]*peer
}

type peer struct {
	patience *patience
	pool     *forwarder.Pool
}

// New returns a carrier whose attempts are numbered under sender, which names the node and its
// incarnation.
func New(clock timekeeper.Clock, key *signer.Signer, sender string, members Members, counter Counter, options ...forwarder.Option) *Carrier {
	return &Carrier{
		clock:   clock,
		counter: counter,
		key:     key,
		members: members,
		options: options,
		peers:   make(map[netip.AddrPort]*peer),
		sender:  sender,
	}
}

// Name gives the attempt the next identity of this node.
func (c *Carrier) Name(a *Attempt) {
	a.Sender = c.sender
	a.Sequence = c.sequence.Add(1)
}

func (c *Carrier) peer(address netip.AddrPort) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.peers[address]
	if !ok {
		options := append([]forwarder.Option{forwarder.WithMaxIdleTime(peerIdleTime)}, c.options...)
		p = &peer{patience: newPatience(), pool: forwarder.New(address, c.clock, options...)}
		c.peers[address] = p
	}
	return p
}

// Send takes the request to the node and waits for the outcome until the deadline. An answer is
// left in resp. The attempt is sent once; after a lost connection its outcome is asked for on a new
// one, so that a refusal with not-run "true" is certain.
func (c *Carrier) Send(ctx context.Context, to gossiper.Member, a Attempt, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) Outcome {
	c.Name(&a)
	a.Incarnation = to.Incarnation
	started := c.clock.Now()
	a.Timeout = deadline.Sub(started)
	out := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(out)
	req.Header.CopyTo(&out.Header)
	out.SetBodyRaw(req.Body())
	if err := seal(c.key, &a, out); err != nil {
		return Outcome{Refusal: refuser.New(refuser.ReasonBadRequest, err.Error())}
	}
	p := c.peer(to.Peer)
	err := p.pool.Do(ctx, &forwarder.Exchange{
		Deadline: deadline.Add(grace),
		Overdue:  c.overdue(ctx, to, &a, p),
		Patience: p.patience.current(),
		Request:  out,
		Response: resp,
	})
	if err == nil {
		outcome, ok := unseal(&a, resp)
		if ok {
			p.patience.observe(c.clock.Now().Sub(started))
			resp.Header.ResetConnectionClose()
			return outcome
		}
		c.counter.Event("foreign_answers")
		err = forwarder.ErrLost
	}
	return c.settle(ctx, to, &a, err, resp, deadline)
}

// overdue returns the function that judges a connection whose answer is late: it asks on a new
// connection whether the attempt still runs. If so, or if the node can't answer at all, the fault is
// not the connection's. An attempt that has its outcome gets one more chance for the answer to come.
func (c *Carrier) overdue(ctx context.Context, to gossiper.Member, a *Attempt, p *peer) func() time.Duration {
	done := false
	return func() time.Duration {
		c.counter.Event("overdue_answers")
		if done {
			return 0
		}
		resp := fasthttp.AcquireResponse()
		defer fasthttp.ReleaseResponse(resp)
		state, _, err := c.ask(ctx, to, a, resp, c.clock.Now().Add(resolveTimeout), 0)
		switch {
		case err != nil, state == recorder.StateRunning:
			return p.patience.current()
		case state == recorder.StateDone, a.Idempotent:
			// The outcome of an idempotent attempt is not kept: it may be done and on its way.
			done = true
			return grace
		default:
			return 0
		}
	}
}

// settle finds out how an attempt ended that brought no answer.
func (c *Carrier) settle(ctx context.Context, to gossiper.Member, a *Attempt, err error, resp *fasthttp.Response, deadline time.Time) Outcome {
	resp.Reset()
	if errors.Is(err, forwarder.ErrNotSent) {
		return Outcome{Refusal: refuser.New(refuser.ReasonNoUpstream, err.Error())}
	}
	if errors.Is(err, forwarder.ErrOverdue) {
		c.counter.Event("overdue_connections")
		c.peer(to.Peer).pool.CloseIdle()
	}
	if a.Idempotent {
		return lost(a, err)
	}
	c.counter.Event("resolves")
	return c.resolve(ctx, to, a, resp, deadline)
}

func lost(a *Attempt, err error) Outcome {
	reason := refuser.ReasonUpstreamLost
	if errors.Is(err, forwarder.ErrTimeout) {
		reason = refuser.ReasonDeadline
	}
	if errors.Is(err, forwarder.ErrCancelled) {
		reason = refuser.ReasonCancelled
	}
	return Outcome{Arrived: true, Lost: a.Idempotent, Refusal: refuser.Unknown(reason, err.Error())}
}

// question asks a node about an attempt.
type question struct {
	Incarnation uint64        `json:"incarnation"`
	Sender      string        `json:"sender"`
	Sequence    uint64        `json:"sequence"`
	Wait        time.Duration `json:"wait"`
}

// StateOtherIncarnation is answered by a node that was started after the attempt was sent.
const StateOtherIncarnation recorder.State = "other-incarnation"

// resolve asks the incarnation that the attempt was sent to, on new connections, until it knows.
func (c *Carrier) resolve(ctx context.Context, to gossiper.Member, a *Attempt, resp *fasthttp.Response, deadline time.Time) Outcome {
	for c.clock.Now().Before(deadline) && ctx.Err() == nil {
		state, outcome, err := c.ask(ctx, to, a, resp, deadline, resolveWait)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return unknown(a, "the node that had the request is gone")
		case err != nil:
			if c.isReplaced(to) {
				return unknown(a, "the node that had the request was replaced")
			}
			timekeeper.Sleep(ctx, c.clock, resolvePause)
		case state == recorder.StateDone:
			return outcome
		case state == recorder.StateBarred && a.Idempotent:
			// The outcome of an idempotent attempt is not kept, so this one may have run.
			return lost(a, forwarder.ErrLost)
		case state == recorder.StateBarred:
			return Outcome{Refusal: refuser.New(refuser.ReasonUpstreamLost, "the request did not reach the node and is barred there")}
		case state == StateOtherIncarnation:
			return unknown(a, "the node that had the request was restarted")
		}
	}
	if ctx.Err() != nil {
		return lost(a, forwarder.ErrCancelled)
	}
	return unknown(a, "the outcome was not known by the deadline")
}

func unknown(a *Attempt, detail string) Outcome {
	return Outcome{Arrived: true, Lost: a.Idempotent, Refusal: refuser.Unknown(refuser.ReasonOutcomeUnknown, detail)}
}

func (c *Carrier) isReplaced(to gossiper.Member) bool {
	m, ok := c.members.Member(to.Name)
	return ok && (m.Incarnation != to.Incarnation || m.Status >= gossiper.StatusDead)
}

func (c *Carrier) ask(ctx context.Context, to gossiper.Member, a *Attempt, resp *fasthttp.Response, deadline time.Time, wait time.Duration) (recorder.State, Outcome, error) {
	now := c.clock.Now()
	q := question{
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
		Deadline: earlier(deadline, now.Add(resolveTimeout)),
		Fresh:    true,
		Request:  req,
		Response: resp,
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
	answer := bytes.Clone(resp.Body())
	if len(answer) == 0 {
		return state, unknown(a, "the request has run; its answer is no longer kept"), nil
	}
	resp.Reset()
	if err := resp.Read(bufio.NewReader(bytes.NewReader(answer))); err != nil {
		return state, unknown(a, "the request has run; its answer can't be read"), nil
	}
	outcome, ok := unseal(a, resp)
	if !ok {
		return state, unknown(a, "the request has run; its answer does not match"), nil
	}
	return state, outcome, nil
}

// Pack returns the sealed response as bytes for a recorder.
func Pack(resp *fasthttp.Response) []byte {
	var packed bytes.Buffer
	// Writes to a buffer do not fail.
	_, _ = resp.WriteTo(&packed)
	return packed.Bytes()
}

// Resolver answers what a node knows of attempts.
type Resolver interface {
	Resolve(id recorder.ID) (state recorder.State, answer []byte, done <-chan struct{})
}

// ServeResolve answers a peer's question about an attempt. It waits for a running one as long as
// the question says.
func ServeResolve(key *signer.Signer, clock timekeeper.Clock, isOwn func(incarnation uint64) bool, r Resolver, req *fasthttp.Request, resp *fasthttp.Response) {
	body := req.Body()
	var q question
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
		waitFor(clock, done, min(q.Wait, resolveWait))
		state, answer, _ = r.Resolve(id)
	}
	resp.Header.Set(headerState, string(state))
	resp.SetBody(answer)
}

func waitFor(clock timekeeper.Clock, done <-chan struct{}, limit time.Duration) {
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

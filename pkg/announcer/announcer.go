package announcer

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/forwarder"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

const (
	callTimeout = time.Second
	// retryInterval is the time until the next attempt after a failed one, and the time between renewals
	// until a node has granted a lease with a valid time.
	retryInterval = 500 * time.Millisecond
)

// ErrRefused is wrapped by the error of an announcement that the node answered with another status than
// 200.
var ErrRefused = merry.Sentinel("announcement refused")

// Announcer announces one upstream to its node and renews the lease. It is safe for concurrent use.
type Announcer struct {
	node    netip.AddrPort
	onError func(error)
	pool    *forwarder.Pool
	// renewNow makes Run send before its interval has passed.
	renewNow chan struct{}

	// sendMu serialises announcements, so that they are sent in the order of the state changes.
	sendMu sync.Mutex

	mu      sync.Mutex
	current Announcement
}

// Option configures an Announcer in New.
type Option func(*Announcer)

// WithErrorHandler makes Run call f after each announcement that did not reach the node or was refused, or
// whose lease can't be read. Announce returns its errors instead.
func WithErrorHandler(f func(error)) Option {
	return func(a *Announcer) { a.onError = f }
}

// New returns an announcer for the node's announce address that starts with the initial announcement. Run
// sends it and renews the lease.
func New(node netip.AddrPort, initial Announcement, options ...Option) *Announcer {
	a := &Announcer{
		current:  initial,
		node:     node,
		onError:  func(error) {},
		pool:     forwarder.New(node, timekeeper.System{}, forwarder.WithMaxBody(forwarder.ShortMaxBody)),
		renewNow: make(chan struct{}, 1),
	}
	for _, option := range options {
		option(a)
	}
	return a
}

// Announce changes the state and sends the announcement at once. It returns nil once the node has accepted
// it, and otherwise the error of the attempt; Run, while it runs, retries with the new state.
func (a *Announcer) Announce(ctx context.Context, state State) error {
	a.mu.Lock()
	a.current.State = state
	a.mu.Unlock()
	_, err := a.send(ctx)
	select {
	case a.renewNow <- struct{}{}:
	default:
	}
	return err
}

// Run sends the announcement and renews the lease until ctx is done. After an error it retries.
func (a *Announcer) Run(ctx context.Context) {
	interval := retryInterval
	for {
		lease, err := a.send(ctx)
		if err != nil {
			a.onError(err)
			interval = retryInterval
		} else {
			interval = lease.renewalInterval(interval)
		}
		select {
		case <-ctx.Done():
			return
		case <-a.renewNow:
		case <-time.After(interval):
		}
	}
}

// send sends the current announcement and returns the lease that the node granted. The request ends
// after callTimeout, or at the deadline of ctx if that is earlier.
func (a *Announcer) send(ctx context.Context) (Lease, error) {
	a.sendMu.Lock()
	defer a.sendMu.Unlock()
	a.mu.Lock()
	current := a.current
	a.mu.Unlock()
	body, err := json.Marshal(current)
	if err != nil {
		return Lease{}, err
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(Path)
	req.Header.SetHost(a.node.String())
	req.Header.SetContentType("application/json")
	req.SetBody(body)
	deadline := time.Now().Add(callTimeout)
	if ctxDeadline, ok := ctx.Deadline(); ok && ctxDeadline.Before(deadline) {
		deadline = ctxDeadline
	}
	if err := a.pool.Do(context.WithoutCancel(ctx), &forwarder.Exchange{Deadline: deadline, Request: req, Response: resp}); err != nil {
		return Lease{}, fmt.Errorf("announcing to %s: %w", a.node, err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return Lease{}, fmt.Errorf("%w by %s: status %d: %s", ErrRefused, a.node, resp.StatusCode(), resp.Body())
	}
	var lease Lease
	if err := json.Unmarshal(resp.Body(), &lease); err != nil {
		return Lease{}, fmt.Errorf("lease from %s: %w", a.node, err)
	}
	return lease, nil
}

// Package hintreader reads an upstream's own view of its health and load. These are only hints: they are compared with
// what the node observes and are displayed, but no decision depends on them, because they can be outdated or wrong.
package hintreader

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/forwarder"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

// Interval is the interval at which the hints are read.
const Interval = 2 * time.Second

const (
	requestTimeout = time.Second
	// misleadingFailureRate is the observed failure rate above which a report of good health is misleading. A report of
	// bad health is misleading while the observed rate is below 1 minus this.
	misleadingFailureRate = 0.5
	// idleFraction is the fraction of the slots below which a reported load is misleading while all slots are in use.
	idleFraction = 0.25
)

// Counter counts events by their name.
type Counter interface {
	Event(name string)
}

// Observation is the node's own view of the upstream.
type Observation struct {
	Announcement announcer.Announcement // The latest one.
	FailureRate  float64                // From 0 to 1.
	Running      int                    // Requests running on the upstream.
	Slots        int                    // Requests that can run on it concurrently.
}

// Hints is the upstream's own view of its health and load.
type Hints struct {
	// Healthy reports whether the health endpoint responded with status 200; true if there is no such endpoint.
	Healthy bool `json:"healthy"`
	// Running is the number of running requests according to the load endpoint; -1 if there is no such endpoint or no
	// valid response.
	Running int `json:"running"`
}

// Reader reads the hints of one upstream. It is safe for concurrent use.
type Reader struct {
	clock   timekeeper.Clock
	counter Counter
	observe func() Observation

	mu      sync.Mutex
	current Hints
}

// New returns a reader that compares the hints with the result of observe, and counts misleading hints in counter. It
// does not read hints on its own.
func New(clock timekeeper.Clock, counter Counter, observe func() Observation) *Reader {
	return &Reader{clock: clock, counter: counter, current: Hints{Healthy: true, Running: -1}, observe: observe}
}

// Current returns the latest hints. Before the first Read, the upstream counts as healthy and its load as unknown.
func (r *Reader) Current() Hints {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current
}

// Read reads the hints once, with a timeout of 1 second for each endpoint. It does nothing if no upstream is announced
// or the announced one is gone.
func (r *Reader) Read(ctx context.Context) {
	observed := r.observe()
	address, err := netip.ParseAddrPort(observed.Announcement.Address)
	if err != nil || observed.Announcement.State == announcer.StateGone {
		return
	}
	pool := forwarder.New(address, r.clock, forwarder.WithMaxBody(forwarder.ShortMaxBody))
	hints := Hints{Healthy: true, Running: -1}
	if path := observed.Announcement.HealthPath; path != "" {
		status, _, err := r.get(ctx, pool, path)
		hints.Healthy = err == nil && status == fasthttp.StatusOK
	}
	if path := observed.Announcement.LoadPath; path != "" {
		hints.Running = r.readLoad(ctx, pool, path)
	}
	r.mu.Lock()
	r.current = hints
	r.mu.Unlock()
	if isMisleading(&hints, &observed) {
		r.counter.Event("hints_misleading")
	}
}

// isMisleading reports whether a hint contradicts what the node observes.
func isMisleading(hints *Hints, observed *Observation) bool {
	busy := observed.Slots > 0 && observed.Running == observed.Slots
	claimsIdle := hints.Running >= 0 && float64(hints.Running) < idleFraction*float64(observed.Slots)
	switch {
	case hints.Healthy && observed.FailureRate > misleadingFailureRate:
		return true
	case !hints.Healthy && observed.FailureRate < 1-misleadingFailureRate:
		return true
	default:
		return busy && claimsIdle
	}
}

// readLoad returns the number of running requests from the load endpoint, or -1.
func (r *Reader) readLoad(ctx context.Context, pool *forwarder.Pool, path string) int {
	status, body, err := r.get(ctx, pool, path)
	var load struct {
		Running int `json:"running"`
	}
	if err != nil || status != fasthttp.StatusOK || json.Unmarshal(body, &load) != nil {
		return -1
	}
	return load.Running
}

// get requests a path of the upstream over a new connection.
func (r *Reader) get(ctx context.Context, pool *forwarder.Pool, path string) (status int, body []byte, err error) {
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI(path)
	req.Header.SetHost("upstream")
	err = pool.Do(ctx, &forwarder.Exchange{
		Deadline:      r.clock.Now().Add(requestTimeout),
		NewConnection: true,
		Request:       req,
		Response:      resp,
	})
	if errors.Is(err, forwarder.ErrMalformed) {
		r.counter.Event("malformed_hints")
	}
	return resp.StatusCode(), resp.Body(), err
}

// Package hintreader asks an upstream for its own view of its health and load. The answers are
// hints: they are compared with what the node sees and shown, and decide nothing, because they lag
// behind reality or mislead.
package hintreader

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/forwarder"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

// Interval is how often the hints are read.
const Interval = 2 * time.Second

const (
	askTimeout = time.Second
	// failing and idle bound what the node must see before a hint counts as misleading.
	failing = 0.5
	idle    = 0.25
)

// Counter counts named events.
type Counter interface {
	Event(name string)
}

// Observation is what the node itself sees of the upstream.
type Observation struct {
	Announcement announcer.Announcement
	FailureRate  float64
	Running      int
	Slots        int
}

// Hints is the upstream's own view.
type Hints struct {
	// Healthy is the answer of the health endpoint; true where there is none.
	Healthy bool `json:"healthy"`
	// Running is the answer of the load endpoint; -1 where there is none.
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

// New returns a reader that compares the hints with what observe returns.
func New(clock timekeeper.Clock, counter Counter, observe func() Observation) *Reader {
	return &Reader{clock: clock, counter: counter, current: Hints{Healthy: true, Running: -1}, observe: observe}
}

// Current returns the hints that were read last.
func (r *Reader) Current() Hints {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current
}

// Read asks once. It does nothing while no upstream is announced.
func (r *Reader) Read(ctx context.Context) {
	seen := r.observe()
	address, err := netip.ParseAddrPort(seen.Announcement.Address)
	if err != nil || seen.Announcement.State == announcer.StateGone {
		return
	}
	pool := forwarder.New(address, r.clock, forwarder.WithMaxBody(forwarder.ShortMaxBody))
	hints := Hints{Healthy: true, Running: -1}
	if path := seen.Announcement.HealthPath; path != "" {
		status, _, err := r.get(ctx, pool, path)
		hints.Healthy = err == nil && status == fasthttp.StatusOK
	}
	if path := seen.Announcement.LoadPath; path != "" {
		hints.Running = r.load(ctx, pool, path)
	}
	r.mu.Lock()
	r.current = hints
	r.mu.Unlock()
	if isMisleading(&hints, &seen) {
		r.counter.Event("hints_misleading")
	}
}

// isMisleading reports whether a hint contradicts what the node sees.
func isMisleading(hints *Hints, seen *Observation) bool {
	busy := seen.Slots > 0 && seen.Running == seen.Slots
	claimsIdle := hints.Running >= 0 && float64(hints.Running) < idle*float64(seen.Slots)
	switch {
	case hints.Healthy && seen.FailureRate > failing:
		return true
	case !hints.Healthy && seen.FailureRate < 1-failing:
		return true
	default:
		return busy && claimsIdle
	}
}

func (r *Reader) load(ctx context.Context, pool *forwarder.Pool, path string) int {
	status, body, err := r.get(ctx, pool, path)
	var load struct {
		Running int `json:"running"`
	}
	if err != nil || status != fasthttp.StatusOK || json.Unmarshal(body, &load) != nil {
		return -1
	}
	return load.Running
}

func (r *Reader) get(ctx context.Context, pool *forwarder.Pool, path string) (status int, body []byte, err error) {
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI(path)
	req.Header.SetHost("upstream")
	err = pool.Do(ctx, &forwarder.Exchange{
		Deadline: r.clock.Now().Add(askTimeout),
		Fresh:    true,
		Request:  req,
		Response: resp,
	})
	return resp.StatusCode(), resp.Body(), err
}

// Package prober sends health requests to the node's local upstream, whose answers can also carry its load. It
// probes when a request is about to start and the known load is too old, while the upstream is slow, when it has never
// reported its load, and when it is unknown or counts as down.
package prober

import (
	"cmp"
	"context"
	"errors"
	"math"
	"net/netip"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/executor"
	"github.com/marigoldrelay/marigoldrelay/internal/forwarder"
	"github.com/marigoldrelay/marigoldrelay/internal/interpreter"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

const (
	// heldInterval is the largest age of the known load while requests wait for the end of a slow period.
	heldInterval = 25 * time.Millisecond
	// slowInterval is the largest age of the known load while the upstream is slow and no request waits.
	slowInterval = 50 * time.Millisecond
	// runningInterval is the largest age of the known load while requests run at the usual speed.
	runningInterval = 200 * time.Millisecond
	// limitedInterval is the time between two probes of an upstream whose rate limit they could use up.
	limitedInterval = time.Second
	// discoveryInterval is the time between two probes of an upstream that is not known to be ready, and the
	// pause after a probe that returned no load.
	discoveryInterval = 250 * time.Millisecond
	// unconfiguredInterval is the time between two checks whether the upstream's address and health path are
	// known.
	unconfiguredInterval = 50 * time.Millisecond
	// idleInterval is the time between two checks of whether a ready upstream without requests has to be probed.
	idleInterval = 100 * time.Millisecond
	// probeTimeout is the deadline of one probe.
	probeTimeout = 300 * time.Millisecond
	// startProbeTimeout is how long a request that is about to start waits for a probe.
	startProbeTimeout = 25 * time.Millisecond
)

// Target is what the node knows of its local upstream.
type Target struct {
	// Address is not valid if the upstream's address is unknown.
	Address netip.AddrPort
	// HealthPath is empty if the upstream can't be probed.
	HealthPath string
	// Instance is empty if no process of the upstream is known.
	Instance string
	IsReady  bool
	// Load is the state of the upstream's load reports.
	Load    executor.LoadState
	Service string
}

// Counter counts events by name.
type Counter interface {
	Event(name string)
}

// Interpreter reads the instance and the load from the headers of an upstream's answer.
type Interpreter interface {
	ReadAnswer(header *fasthttp.ResponseHeader) interpreter.Answer
}

// Node provides the upstream to probe and receives the results.
type Node interface {
	// UpstreamDiscovered is called with an upstream that was not known to be ready and has answered that it is
	// healthy.
	UpstreamDiscovered(a announcer.Announcement)
	// AnswerMalformed is called when an instance, empty if it is not known, has answered with bytes that are no response, with
	// the error that tells which part of them is malformed.
	AnswerMalformed(instance string, err error)
	// ObserveConditions is called with the conditions in each answer.
	ObserveConditions(named executor.NamedConditions)
	// Report is called with the load from an answer of a ready upstream.
	Report(load interpreter.Load)
	// Target returns what is currently known of the upstream.
	Target() Target
}

// Prober probes one upstream. It is safe for concurrent use.
type Prober struct {
	clock       timekeeper.Clock
	counter     Counter
	interpreter Interpreter
	node        Node

	mu      sync.Mutex
	address netip.AddrPort
	pool    *forwarder.Pool
	// running is closed when the probe of ProbeLoad that is under way ends; nil if none is.
	running chan struct{}
	// pausedUntil is the time until which ProbeLoad sends no probe, because one got no prompt answer.
	pausedUntil time.Time
	// lastProbe is when the last probe was sent.
	lastProbe time.Time
}

// New returns a prober of the node's upstream. Run starts it.
func New(clock timekeeper.Clock, counter Counter, interpreter Interpreter, node Node) *Prober {
	return &Prober{clock: clock, counter: counter, interpreter: interpreter, node: node}
}

// Run probes the upstream, whenever that is needed, until ctx is done.
func (p *Prober) Run(ctx context.Context) {
	for ctx.Err() == nil {
		timekeeper.Sleep(ctx, p.clock, p.probeIfNeeded(ctx))
	}
}

// ProbeLoad implements executor.LoadProber. Concurrent calls share one probe. An upstream that has not answered within
// startProbeTimeout is not probed again for discoveryInterval.
func (p *Prober) ProbeLoad(ctx context.Context) {
	running := p.startLoadProbe()
	if running == nil {
		return
	}
	expired := make(chan struct{})
	timer := p.clock.AfterFunc(startProbeTimeout, func() { close(expired) })
	defer timer.Stop()
	select {
	case <-running:
	case <-ctx.Done():
	case <-expired:
		p.pause()
	}
}

// ProbeNow probes the upstream until it answers that it is healthy or ctx is done, and reports whether it has. It returns at
// once if the upstream can't be probed.
func (p *Prober) ProbeNow(ctx context.Context) bool {
	for ctx.Err() == nil {
		target := p.node.Target()
		if !target.Address.IsValid() || target.HealthPath == "" {
			return false
		}
		answer, status := p.probe(ctx, &target)
		if status == fasthttp.StatusOK {
			if answer.HasLoad {
				p.node.Report(answer.Load)
			}
			return true
		}
		timekeeper.Sleep(ctx, p.clock, heldInterval)
	}
	return false
}

// startLoadProbe starts a probe in a goroutine of its own, unless one is under way. It returns a channel that is closed
// when the probe has ended, or nil if probes are paused.
func (p *Prober) startLoadProbe() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clock.Now().Before(p.pausedUntil) {
		return nil
	}
	if p.running == nil {
		done := make(chan struct{})
		p.running = done
		go p.runLoadProbe(done)
	}
	return p.running
}

func (p *Prober) runLoadProbe(done chan<- struct{}) {
	target := p.node.Target()
	if target.Address.IsValid() && target.HealthPath != "" && target.IsReady {
		p.reportLoad(context.Background(), &target)
	}
	p.mu.Lock()
	p.running = nil
	p.mu.Unlock()
	close(done)
}

func (p *Prober) pause() {
	p.counter.Event("start_probes_late")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pausedUntil = p.clock.Now().Add(discoveryInterval)
}

// reportLoad probes the upstream and reports its load to the node. It returns false if the answer has no load.
func (p *Prober) reportLoad(ctx context.Context, target *Target) bool {
	answer, status := p.probe(ctx, target)
	if status == 0 || !answer.HasLoad {
		return false
	}
	p.node.Report(answer.Load)
	return true
}

// probeIfNeeded probes the upstream if that is needed now, and returns the time until the next check.
func (p *Prober) probeIfNeeded(ctx context.Context) time.Duration {
	target := p.node.Target()
	if !target.Address.IsValid() || target.HealthPath == "" {
		return unconfiguredInterval
	}
	if !target.IsReady {
		p.discover(ctx, &target)
		return discoveryInterval
	}
	if left := p.rateLimitPause(&target.Load); left > 0 {
		return min(left, idleInterval)
	}
	if left := maxLoadAge(&target.Load) - target.Load.Age; target.Load.IsReported && left > 0 {
		return min(left, idleInterval)
	}
	if !p.reportLoad(ctx, &target) {
		return discoveryInterval
	}
	return heldInterval
}

// rateLimitPause returns the time until an upstream whose rate limit probes could use up can be probed again, or zero.
func (p *Prober) rateLimitPause(load *executor.LoadState) time.Duration {
	if !load.ProbesLimited {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(0, limitedInterval-p.clock.Now().Sub(p.lastProbe))
}

// maxLoadAge returns the age of the last load report from which the upstream is probed in the background.
func maxLoadAge(load *executor.LoadState) time.Duration {
	switch {
	case load.Slow && load.Queued:
		return heldInterval
	case load.Slow:
		return slowInterval
	case load.Running:
		return runningInterval
	default:
		return math.MaxInt64
	}
}

// discover probes an upstream that is not known to be ready. It reports the known process to the node, or any
// process if none is known, when the upstream is healthy.
func (p *Prober) discover(ctx context.Context, target *Target) {
	answer, status := p.probe(ctx, target)
	if status != fasthttp.StatusOK || answer.Instance == "" || answer.Conditions.Leaving {
		return
	}
	if target.Instance != "" && answer.Instance != target.Instance {
		// The address possibly belongs to another service by now. That service's own announcement will say so.
		return
	}
	p.counter.Event("upstreams_found")
	p.node.UpstreamDiscovered(announcer.Announcement{
		Address: target.Address.String(), Instance: answer.Instance, Service: target.Service,
		Slots: max(1, answer.Load.Slots), State: announcer.StateReady,
	})
}

// probe sends a health request. It returns the answer and its HTTP status, or the status zero if there was no
// answer.
func (p *Prober) probe(ctx context.Context, target *Target) (interpreter.Answer, int) {
	pool := p.poolFor(target.Address)
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(target.HealthPath)
	req.Header.SetHost(target.Address.String())
	p.counter.Event("probes")
	sentAt := p.clock.Now()
	err := pool.Do(ctx, &forwarder.Exchange{
		Deadline: sentAt.Add(probeTimeout), Request: req, Response: resp,
	})
	if err != nil {
		p.counter.Event("probes_failed")
		if errors.Is(err, forwarder.ErrMalformed) {
			p.node.AnswerMalformed(target.Instance, err)
		}
		return interpreter.Answer{}, 0
	}
	answer := p.interpreter.ReadAnswer(&resp.Header)
	p.node.ObserveConditions(executor.NamedConditions{
		Cold: answer.Cold, Conditions: answer.Conditions, Process: announcer.Process{Instance: cmp.Or(answer.Instance, target.Instance)},
		Kind: executor.ResponseProbe, SentAt: sentAt,
	})
	return answer, resp.StatusCode()
}

// poolFor returns the pool of connections to the address for a probe that is sent now. It closes the pool of an earlier
// address.
func (p *Prober) poolFor(address netip.AddrPort) *forwarder.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastProbe = p.clock.Now()
	if p.pool == nil || p.address != address {
		if p.pool != nil {
			p.pool.Close()
		}
		p.address = address
		p.pool = forwarder.New(address, p.clock, forwarder.WithMaxBody(forwarder.ShortMaxBody))
	}
	return p.pool
}

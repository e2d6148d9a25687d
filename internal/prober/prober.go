// Package prober sends health requests to the node's local upstream, whose answers can also carry its load. It
// probes when requests run at the upstream and no answer has reported the load recently, when the upstream has
// never reported its load, and when the upstream is unknown or counts as down.
package prober

import (
	"context"
	"net/netip"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/forwarder"
	"github.com/marigoldrelay/marigoldrelay/internal/interpreter"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

const (
	// busyInterval is the largest age of the known load while requests run.
	busyInterval = 25 * time.Millisecond
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
	// LoadAge is the time since the upstream last reported its load.
	LoadAge time.Duration
	// Running is true while requests run at the upstream.
	Running bool
	Service string
	// ReportsLoad is true if the upstream has reported its load before.
	ReportsLoad bool
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
	// Report is called with the load from an answer of a ready upstream.
	Report(load interpreter.Load)
	// Target returns what is currently known of the upstream.
	Target() Target
}

// Prober probes one upstream. It is not safe for concurrent use.
type Prober struct {
	clock       timekeeper.Clock
	counter     Counter
	interpreter Interpreter
	node        Node

	address netip.AddrPort
	pool    *forwarder.Pool
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
	if !target.Running && target.ReportsLoad {
		return idleInterval
	}
	if target.ReportsLoad && target.LoadAge < busyInterval {
		return busyInterval - target.LoadAge
	}
	answer, status := p.probe(ctx, &target)
	if status == 0 || !answer.HasLoad {
		return discoveryInterval
	}
	p.node.Report(answer.Load)
	return busyInterval
}

// discover probes an upstream that is not known to be ready. It reports the known process to the node, or any
// process if none is known, when the upstream is healthy.
func (p *Prober) discover(ctx context.Context, target *Target) {
	answer, status := p.probe(ctx, target)
	if status != fasthttp.StatusOK || answer.Instance == "" {
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
	if p.pool == nil || p.address != target.Address {
		if p.pool != nil {
			p.pool.Close()
		}
		p.address = target.Address
		p.pool = forwarder.New(target.Address, p.clock, forwarder.WithMaxBody(forwarder.ShortMaxBody))
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(target.HealthPath)
	req.Header.SetHost(target.Address.String())
	p.counter.Event("probes")
	err := p.pool.Do(ctx, &forwarder.Exchange{
		Deadline: p.clock.Now().Add(probeTimeout), Request: req, Response: resp,
	})
	if err != nil {
		p.counter.Event("probes_failed")
		return interpreter.Answer{}, 0
	}
	return p.interpreter.ReadAnswer(&resp.Header), resp.StatusCode()
}

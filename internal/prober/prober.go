// Package prober asks the upstream beside the node for its health and load while that is of use: when
// requests run there and no answer has told the load of late, and when the upstream is not known or
// counts as down.
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
	// busyInterval is the greatest age of the known load while requests run.
	busyInterval = 25 * time.Millisecond
	// findInterval is the time between two questions to an upstream that is not known to be ready.
	findInterval = 250 * time.Millisecond
	// startInterval is how often a node looks whether it knows enough to ask.
	startInterval = 50 * time.Millisecond
	// idleInterval is how often a ready upstream without requests is looked at.
	idleInterval = 100 * time.Millisecond
	probeTimeout = 300 * time.Millisecond
)

// Subject is what the node knows of the upstream beside it.
type Subject struct {
	Address netip.AddrPort
	// HealthPath is empty where the upstream can't be asked.
	HealthPath string
	// Instance is empty where no process of the upstream is known.
	Instance string
	IsReady  bool
	LoadAge  time.Duration
	// Running is true while requests run.
	Running bool
	Service string
	// TellsLoad is true where the upstream has told its load before.
	TellsLoad bool
}

// Counter counts named events.
type Counter interface {
	Event(name string)
}

// Interpreter reads what the upstream says in headers.
type Interpreter interface {
	ReadAnswer(header *fasthttp.ResponseHeader) interpreter.Answer
}

// Node is what the prober looks at and tells.
type Node interface {
	// Found is told of an upstream that says it is well.
	Found(a announcer.Announcement)
	Report(load interpreter.Load)
	Subject() Subject
}

// Prober asks one upstream. Its methods are called from one goroutine.
type Prober struct {
	clock       timekeeper.Clock
	counter     Counter
	interpreter Interpreter
	node        Node

	address netip.AddrPort
	pool    *forwarder.Pool
}

// New returns a prober.
func New(clock timekeeper.Clock, counter Counter, interpreter Interpreter, node Node) *Prober {
	return &Prober{clock: clock, counter: counter, interpreter: interpreter, node: node}
}

// Run asks until ctx is done.
func (p *Prober) Run(ctx context.Context) {
	for ctx.Err() == nil {
		timekeeper.Sleep(ctx, p.clock, p.step(ctx))
	}
}

// step asks if that is of use now, and returns when to look again.
func (p *Prober) step(ctx context.Context) time.Duration {
	subject := p.node.Subject()
	if !subject.Address.IsValid() || subject.HealthPath == "" {
		return startInterval
	}
	if !subject.IsReady {
		p.find(ctx, &subject)
		return findInterval
	}
	if !subject.Running && subject.TellsLoad {
		return idleInterval
	}
	if subject.TellsLoad && subject.LoadAge < busyInterval {
		return busyInterval - subject.LoadAge
	}
	answer, status := p.ask(ctx, &subject)
	if status == 0 || !answer.HasLoad {
		return findInterval
	}
	p.node.Report(answer.Load)
	return busyInterval
}

// find looks for the process that is known, or for any where none is.
func (p *Prober) find(ctx context.Context, subject *Subject) {
	answer, status := p.ask(ctx, subject)
	if status != fasthttp.StatusOK || answer.Instance == "" {
		return
	}
	if subject.Instance != "" && answer.Instance != subject.Instance {
		// The address may belong to another service by now: its own announcement will tell.
		return
	}
	p.counter.Event("upstreams_found")
	p.node.Found(announcer.Announcement{
		Address: subject.Address.String(), Instance: answer.Instance, Service: subject.Service,
		Slots: max(1, answer.Load.Slots), State: announcer.StateReady,
	})
}

// ask returns the answer and its status, or zero where none came.
func (p *Prober) ask(ctx context.Context, subject *Subject) (interpreter.Answer, int) {
	if p.pool == nil || p.address != subject.Address {
		if p.pool != nil {
			p.pool.Close()
		}
		p.address = subject.Address
		p.pool = forwarder.New(subject.Address, p.clock, forwarder.WithMaxBody(forwarder.ShortMaxBody))
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(subject.HealthPath)
	req.Header.SetHost(subject.Address.String())
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

// Package responder is a stand-in upstream: it has slots, service times and a cold start, and it
// straggles, fails fast, crashes and misleads on request.
package responder

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/conntracker"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

// Headers and paths of a stand-in upstream.
const (
	// HeaderCrash in a request ends the upstream's process.
	HeaderCrash = "Standin-Crash"
	// HeaderID names a request; the answer repeats it.
	HeaderID = "Standin-Id"
	// HeaderSize is the size of the answer's payload in bytes.
	HeaderSize = "Standin-Size"
	// PathBehaviour takes a Behaviour by POST.
	PathBehaviour = "/standin/behaviour"
	// PathHealth and PathLoad are the hints that are announced.
	PathHealth = "/standin/health"
	PathLoad   = "/standin/load"
)

const (
	defaultSize     = 64
	maxSize         = 8 << 20
	shutdownTimeout = 10 * time.Second
	drainTime       = 3 * time.Second
	lingerTime      = time.Second
)

// ErrLateRequest is wrapped by the error of Drain.
var ErrLateRequest = merry.Sentinel("a new request reached a draining upstream")

// Config is what a stand-in upstream is built from.
type Config struct {
	Behaviour Behaviour
	// ColdStart is how long the upstream says that it is starting.
	ColdStart time.Duration
	Journal   *Journal
	Node      netip.AddrPort
	// OnCrash ends the upstream's process, or what stands for it. It does not return normally.
	OnCrash func()
	Seed    uint64
	Service string
}

// Responder is one stand-in upstream.
type Responder struct {
	announcer *announcer.Announcer
	config    Config
	listener  net.Listener
	server    *fasthttp.Server
	stop      context.CancelFunc
	stopped   sync.WaitGroup

	mu        sync.Mutex
	behaviour Behaviour
	freed     *sync.Cond
	lastNew   time.Time
	random    *rand.Rand
	running   int
	crashed   atomic.Bool
	draining  atomic.Bool
	tracker   *conntracker.Tracker
}

// New returns a stand-in upstream that will serve on listener.
func New(listener net.Listener, config Config) (*Responder, error) {
	address, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return nil, err
	}
	r := &Responder{
		behaviour: config.Behaviour,
		config:    config,
		listener:  listener,
		random:    rand.New(rand.NewPCG(config.Seed, config.Seed)),
	}
	r.freed = sync.NewCond(&r.mu)
	r.announcer = announcer.New(config.Node, announcer.Announcement{
		Address:    address.String(),
		HealthPath: PathHealth,
		Instance:   fmt.Sprintf("%s-%d", address, time.Now().UnixNano()),
		LoadPath:   PathLoad,
		Service:    config.Service,
		Slots:      config.Behaviour.Slots,
		State:      announcer.StateStarting,
	})
	r.tracker = conntracker.New()
	r.server = &fasthttp.Server{
		ConnState:          r.tracker.OnConnState,
		Handler:            r.serve,
		IdleTimeout:        time.Minute,
		Logger:             silent{},
		MaxRequestBodySize: maxSize,
	}
	return r, nil
}

type silent struct{}

// Printf implements fasthttp.Logger.
func (silent) Printf(string, ...any) {}

// Start serves and announces the upstream until Stop.
func (r *Responder) Start() {
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	r.stopped.Go(func() { _ = r.server.Serve(r.listener) })
	r.stopped.Go(func() { r.announcer.Run(ctx) })
	r.stopped.Go(func() { r.warmUp(ctx) })
}

func (r *Responder) warmUp(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(r.config.ColdStart):
	}
	if r.draining.Load() {
		return
	}
	// Run goes on announcing the state where this first try does not reach the node.
	_ = r.announcer.Announce(ctx, announcer.StateReady)
}

// Drain announces that the upstream leaves, waits until no request is in flight or to be expected,
// and announces that it has gone. It returns ErrLateRequest when a request came later than it
// should.
func (r *Responder) Drain() error {
	r.draining.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = r.announcer.Announce(ctx, announcer.StateDraining)
	started := time.Now()
	for ctx.Err() == nil && (r.Running() > 0 || time.Since(started) < drainTime+lingerTime) {
		time.Sleep(10 * time.Millisecond)
	}
	_ = r.announcer.Announce(ctx, announcer.StateGone)
	if late := r.LastNew().Sub(started); late > drainTime {
		return fmt.Errorf("%w: %s after draining was announced", ErrLateRequest, late)
	}
	return nil
}

// Stop ends the upstream. Drain comes first in an orderly shutdown.
func (r *Responder) Stop() {
	r.stop()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = r.server.ShutdownWithContext(ctx)
	r.stopped.Wait()
}

// Crash ends the upstream as a killed process would: every connection is cut and nothing is
// announced any more.
func (r *Responder) Crash() {
	if r.crashed.Swap(true) {
		return
	}
	r.stop()
	_ = r.listener.Close()
	r.tracker.CloseAll()
}

// Running returns the number of requests in the upstream.
func (r *Responder) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running
}

// LastNew returns when the newest request began.
func (r *Responder) LastNew() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastNew
}

// SetBehaviour changes the behaviour.
func (r *Responder) SetBehaviour(b Behaviour) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.behaviour = b
	r.freed.Broadcast()
}

// Behaviour returns the behaviour.
func (r *Responder) Behaviour() Behaviour {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.behaviour
}

func (r *Responder) serve(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case PathBehaviour:
		r.serveBehaviour(ctx)
	case PathHealth:
		r.serveHealth(ctx)
	case PathLoad:
		r.serveLoad(ctx)
	default:
		r.serveWork(ctx)
	}
}

func (r *Responder) serveBehaviour(ctx *fasthttp.RequestCtx) {
	b := r.Behaviour()
	if ctx.IsPost() {
		if err := json.Unmarshal(ctx.PostBody(), &b); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		r.SetBehaviour(b)
	}
	body, err := json.Marshal(b)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(body)
}

func (r *Responder) serveHealth(ctx *fasthttp.RequestCtx) {
	if r.Behaviour().HealthLie {
		ctx.Error("unhealthy", fasthttp.StatusServiceUnavailable)
	}
}

func (r *Responder) serveLoad(ctx *fasthttp.RequestCtx) {
	running := r.Running()
	if r.Behaviour().LoadLie {
		running = 0
	}
	ctx.SetBodyString(fmt.Sprintf(`{"running":%d}`, running))
}

func (r *Responder) serveWork(ctx *fasthttp.RequestCtx) {
	if len(ctx.Request.Header.Peek(HeaderCrash)) > 0 {
		r.config.OnCrash()
		return
	}
	if r.Behaviour().FailFast {
		ctx.Error("failing fast", fasthttp.StatusServiceUnavailable)
		return
	}
	id := string(ctx.Request.Header.Peek(HeaderID))
	if err := r.config.Journal.begin(id); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	r.work()
	size, err := strconv.Atoi(string(ctx.Request.Header.Peek(HeaderSize)))
	if err != nil || size < 0 || size > maxSize {
		size = defaultSize
	}
	ctx.Response.Header.Set(HeaderID, id)
	ctx.SetBody(Answer(id, size))
}

// work takes a slot for one service time.
func (r *Responder) work() {
	r.mu.Lock()
	r.lastNew = time.Now()
	for r.running >= r.behaviour.Slots {
		r.freed.Wait()
	}
	r.running++
	taken := r.serviceTime()
	r.mu.Unlock()
	time.Sleep(taken)
	r.mu.Lock()
	r.running--
	r.mu.Unlock()
	r.freed.Signal()
}

func (r *Responder) serviceTime() time.Duration {
	factor := r.behaviour.StraggleFactor
	if factor <= 0 {
		factor = 1
	}
	if !r.behaviour.Steady {
		factor *= r.random.ExpFloat64()
	}
	return time.Duration(float64(r.behaviour.Service) * factor)
}

// HasCrashed reports whether Crash was called.
func (r *Responder) HasCrashed() bool {
	return r.crashed.Load()
}

// Package responder implements a stand-in upstream: a simulated server with slots, service times and a cold start. On
// request it straggles, fails fast, crashes, or reports false health and load.
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
	"github.com/marigoldrelay/marigoldrelay/internal/interpreter"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

// Headers and paths of a stand-in upstream. A request to any other path is executed.
const (
	// HeaderCrash is set in a request to crash the upstream. Any non-empty value will do.
	HeaderCrash = "Standin-Crash"
	// HeaderID is the id of a request. The response repeats it.
	HeaderID = "Standin-Id"
	// HeaderSize is the requested size of the response payload in bytes, at most 8 MiB. The default is 64, also for
	// invalid sizes.
	HeaderSize = "Standin-Size"
	// PathBehaviour returns the current Behaviour as JSON. A POST request changes it first.
	PathBehaviour = "/standin/behaviour"
	// PathHealth and PathLoad are the health and load endpoints that are announced to the node.
	PathHealth = "/standin/health"
	PathLoad   = "/standin/load"
)

const (
	defaultPayloadBytes = 64
	maxPayloadBytes     = 8 << 20
	// maxRequestBytes is the largest body that a document can usefully allow.
	maxRequestBytes = 64 << 20
	// shutdownTimeout limits Drain.
	shutdownTimeout = 10 * time.Second
	// drainGracePeriod is how long requests may still arrive after draining was announced.
	drainGracePeriod = 3 * time.Second
	// lateRequestWindow is how long Drain waits after drainGracePeriod to detect late requests.
	lateRequestWindow = time.Second
)

// ErrLateRequest is wrapped by the error of Drain when a request arrived after the grace period.
var ErrLateRequest = merry.Sentinel("a new request reached a draining upstream")

// Config holds the settings and dependencies of a Responder.
type Config struct {
	// Behaviour is the initial behaviour.
	Behaviour Behaviour
	// ColdStart is how long the upstream stays in the starting state.
	ColdStart time.Duration
	// Journal records the executions of requests.
	Journal *Journal
	// Node is the address of the node that the upstream announces itself to.
	Node netip.AddrPort
	// OnCrash is called for a request with HeaderCrash. It ends the process, or simulates that with Crash.
	OnCrash func()
	// Seed is the seed of the random service times.
	Seed uint64
	// Service is the name of the announced service.
	Service string
}

// Responder is one stand-in upstream. Its methods are safe for concurrent use after Start.
type Responder struct {
	announcer  *announcer.Announcer
	config     Config
	listener   net.Listener
	server     *fasthttp.Server
	stop       context.CancelFunc
	goroutines sync.WaitGroup

	mu          sync.Mutex
	behaviour   Behaviour
	slotFreed   *sync.Cond
	lastArrival time.Time
	random      *rand.Rand
	running     int
	crashed     atomic.Bool
	draining    atomic.Bool
	tracker     *conntracker.Tracker
}

// New returns a stand-in upstream that serves on listener once it is started. It returns an error if the address of
// listener is not an IP and port.
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
	r.slotFreed = sync.NewCond(&r.mu)
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
		Logger:             discardLogger{},
		MaxRequestBodySize: maxRequestBytes,
	}
	return r, nil
}

// discardLogger discards the HTTP server's log messages.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Start serves requests and announces the upstream in the background until Stop or Crash.
func (r *Responder) Start() {
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	r.goroutines.Go(func() { _ = r.server.Serve(r.listener) })
	r.goroutines.Go(func() { r.announcer.Run(ctx) })
	r.goroutines.Go(func() { r.warmUp(ctx) })
}

// warmUp announces the ready state after the cold start, unless the upstream drains by then.
func (r *Responder) warmUp(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(r.config.ColdStart):
	}
	if r.draining.Load() {
		return
	}
	// If this attempt does not reach the node, Run retries.
	_ = r.announcer.Announce(ctx, announcer.StateReady)
}

// Drain announces the draining state, waits until no request is running and none is expected any more, and announces
// the gone state. It gives up waiting after 10 seconds. The error wraps ErrLateRequest if a request arrived more than 3
// seconds after draining was announced.
func (r *Responder) Drain() error {
	r.draining.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = r.announcer.Announce(ctx, announcer.StateDraining)
	started := time.Now()
	for ctx.Err() == nil && (r.Running() > 0 || time.Since(started) < drainGracePeriod+lateRequestWindow) {
		time.Sleep(10 * time.Millisecond)
	}
	_ = r.announcer.Announce(ctx, announcer.StateGone)
	if late := r.LastArrival().Sub(started); late > drainGracePeriod {
		return fmt.Errorf("%w: %s after draining was announced", ErrLateRequest, late)
	}
	return nil
}

// Stop stops serving and announcing, and waits for both to end. Call Drain first for a graceful shutdown.
func (r *Responder) Stop() {
	r.stop()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = r.server.ShutdownWithContext(ctx)
	r.goroutines.Wait()
}

// Crash simulates a killed process: it closes the listener and every connection, and stops announcing. Further calls
// have no effect.
func (r *Responder) Crash() {
	if r.crashed.Swap(true) {
		return
	}
	r.stop()
	_ = r.listener.Close()
	r.tracker.CloseAll()
}

// Running returns the number of requests that hold a slot.
func (r *Responder) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running
}

// LastArrival returns when the latest request arrived, or the zero time if there was none.
func (r *Responder) LastArrival() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastArrival
}

// SetBehaviour replaces the behaviour. It applies to requests that have not started yet.
func (r *Responder) SetBehaviour(b Behaviour) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.behaviour = b
	r.slotFreed.Broadcast()
}

// Behaviour returns the current behaviour.
func (r *Responder) Behaviour() Behaviour {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.behaviour
}

func (r *Responder) serve(ctx *fasthttp.RequestCtx) {
	defer r.nameConditions(ctx)
	switch string(ctx.Path()) {
	case PathBehaviour:
		r.serveBehaviour(ctx)
	case PathHealth:
		r.serveHealth(ctx)
	case PathLoad:
		r.serveLoad(ctx)
	default:
		r.serveRequest(ctx)
	}
}

// nameConditions names the rate limit and whether the upstream is draining in the headers of an answer.
func (r *Responder) nameConditions(ctx *fasthttp.RequestCtx) {
	if limit := r.Behaviour().RateLimit; limit > 0 {
		ctx.Response.Header.Set(interpreter.HeaderRateLimit, strconv.FormatFloat(limit, 'f', -1, 64))
	}
	if r.draining.Load() {
		ctx.Response.Header.Set(interpreter.HeaderLeaving, "1")
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

// serveRequest executes a request that is not for one of the stand-in's own endpoints.
func (r *Responder) serveRequest(ctx *fasthttp.RequestCtx) {
	if len(ctx.Request.Header.Peek(HeaderCrash)) > 0 {
		r.config.OnCrash()
		return
	}
	if r.Behaviour().FailFast {
		ctx.Error("failing fast", fasthttp.StatusServiceUnavailable)
		return
	}
	id := string(ctx.Request.Header.Peek(HeaderID))
	if err := r.config.Journal.recordStart(id); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	r.execute()
	size, err := strconv.Atoi(string(ctx.Request.Header.Peek(HeaderSize)))
	if err != nil || size < 0 || size > maxPayloadBytes {
		size = defaultPayloadBytes
	}
	ctx.Response.Header.Set(HeaderID, id)
	ctx.SetBody(Answer(id, size))
}

// execute waits for a free slot and occupies it for one service time.
func (r *Responder) execute() {
	r.mu.Lock()
	r.lastArrival = time.Now()
	for r.running >= r.behaviour.Slots {
		r.slotFreed.Wait()
	}
	r.running++
	duration := r.serviceTime()
	r.mu.Unlock()
	time.Sleep(duration)
	r.mu.Lock()
	r.running--
	r.mu.Unlock()
	r.slotFreed.Signal()
}

// serviceTime returns the service time of the next request. It is called with mu held.
func (r *Responder) serviceTime() time.Duration {
	factor := r.behaviour.StraggleFactor
	if factor <= 0 {
		factor = 1
	}
	if !r.behaviour.Steady {
		factor *= r.random.ExpFloat64()
	}
	return time.Duration(float64(r.behaviour.ServiceTime) * factor)
}

// HasCrashed reports whether Crash was called.
func (r *Responder) HasCrashed() bool {
	return r.crashed.Load()
}

// Package loadgenerator sends an open-loop load to nodes and verifies every response.
package loadgenerator

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/ansel1/merry/v2"
	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/forwarder"
	"github.com/marigoldrelay/marigoldrelay/internal/interpreter"
	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
	"github.com/marigoldrelay/marigoldrelay/internal/responder"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

const (
	// histogramDigits is the number of significant decimal digits of the recorded times.
	histogramDigits = 3
	// maxOutstanding limits the requests in flight. At the limit, Run waits before it sends the next one.
	maxOutstanding = 20000
	// maxRecorded is the upper end of the histograms' range.
	maxRecorded = time.Hour
	// maxTimeout caps Config.Timeout.
	maxTimeout = 30 * time.Second
)

// ErrInvalidKind is wrapped by the errors that ParseKind returns.
var ErrInvalidKind = merry.Sentinel("invalid kind of request")

// Kind is one kind of request in the request mix: a method and a path, with a weight.
type Kind struct {
	Method string
	Path   string
	// Weight is the share of the load, relative to the weights of the other kinds.
	Weight float64
}

// ParseKind parses "METHOD PATH [WEIGHT]". The path starts with a slash; the weight is above zero and
// defaults to 1. The error wraps ErrInvalidKind.
func ParseKind(text string) (Kind, error) {
	fields := strings.Fields(text)
	if len(fields) < 2 || len(fields) > 3 || !strings.HasPrefix(fields[1], "/") {
		return Kind{}, fmt.Errorf("%w: %q: want METHOD PATH [WEIGHT]", ErrInvalidKind, text)
	}
	kind := Kind{Method: fields[0], Path: fields[1], Weight: 1}
	if len(fields) == 3 {
		weight, err := strconv.ParseFloat(fields[2], 64)
		if err != nil || weight <= 0 {
			return Kind{}, fmt.Errorf("%w: %q: want a weight above zero", ErrInvalidKind, text)
		}
		kind.Weight = weight
	}
	return kind, nil
}

// Name returns the method and the path, which identify the kind in results.
func (k Kind) Name() string {
	return k.Method + " " + k.Path
}

// Config describes a load: the request mix, the rate, the duration and the target nodes.
type Config struct {
	// APIKey is sent with each request; empty for none.
	APIKey string
	// AnswerBytes is the payload size, in bytes, that each request asks the upstream for.
	AnswerBytes int
	// Duration is how long requests are sent.
	Duration time.Duration
	Kinds    []Kind
	// Prefix is the start of every request id.
	Prefix string
	// Rate is the mean arrival rate in requests a second; the gaps between requests are exponentially
	// distributed.
	Rate float64
	// Seed is the seed of the arrival times and of the choice of kinds and targets.
	Seed uint64
	// Targets are the nodes' caller addresses. Each request goes to a randomly chosen one.
	Targets []netip.AddrPort
	// Timeout is the longest wait for a response, counted from the time at which the request was due
	// and capped at 30 s.
	Timeout time.Duration
}

// Outcome is the result of one request. At most one of Lost, Reason and Wrong is set; if none is, the
// request was answered.
type Outcome struct {
	// Elapsed is the time from when the request was due, not from when it was sent, to its end.
	Elapsed time.Duration
	ID      string
	Kind    string
	// Lost is the error of a request that got no response from the node.
	Lost error
	// NotRun is the node's statement, in a refusal, whether the request is known not to have run.
	NotRun refuser.NotRun
	// Reason is the reason of a refusal.
	Reason refuser.Reason
	// Wrong is the error of a response that is neither the complete answer to this request nor a
	// well-formed refusal.
	Wrong error
}

// IsAnswered reports whether the request got the complete answer that belongs to it.
func (o *Outcome) IsAnswered() bool {
	return o.Reason == "" && o.Wrong == nil && o.Lost == nil
}

// String formats the outcome as one line without a line feed: the id, the kind, and "answered", "lost",
// "wrong", or "refused" followed by the reason and by whether the request is known not to have run.
func (o *Outcome) String() string {
	line := o.ID + " " + o.Kind + " "
	switch {
	case o.Lost != nil:
		return line + "lost"
	case o.Wrong != nil:
		return line + "wrong"
	case o.Reason != "":
		return line + "refused " + string(o.Reason) + " not-run=" + string(o.NotRun)
	default:
		return line + "answered"
	}
}

// Result summarises the outcomes of one kind of request. The percentiles cover answered requests only.
// Refused counts the refusals by reason.
type Result struct {
	Answered int    `json:"answered"`
	Kind     string `json:"kind"`
	// Lost counts requests that got no response from the node.
	Lost    int                    `json:"lost"`
	P50     time.Duration          `json:"p50"`
	P99     time.Duration          `json:"p99"`
	P999    time.Duration          `json:"p99.9"`
	Refused map[refuser.Reason]int `json:"refused"`
	Sent    int                    `json:"sent"`
	// Wrong counts responses that were neither the complete answer to their request nor a well-formed
	// refusal.
	Wrong int `json:"wrong"`
}

// Generator sends one load and collects its results. Run is called once; Results can be called while
// it runs.
type Generator struct {
	clock   timekeeper.Clock
	config  Config
	observe func(Outcome)
	pools   []*forwarder.Pool

	mu          sync.Mutex
	statsByKind map[string]*kindStats
}

// kindStats collects the outcomes of one kind of request.
type kindStats struct {
	Result
	histogram *hdrhistogram.Histogram
}

// New returns a generator that calls observe with each outcome, concurrently, unless observe is nil.
func New(clock timekeeper.Clock, config Config, observe func(Outcome)) *Generator {
	g := &Generator{clock: clock, config: config, observe: observe, statsByKind: make(map[string]*kindStats)}
	for _, target := range config.Targets {
		g.pools = append(g.pools, forwarder.New(target, clock))
	}
	for _, kind := range config.Kinds {
		g.statsByKind[kind.Name()] = &kindStats{
			Result:    Result{Kind: kind.Name(), Refused: make(map[refuser.Reason]int)},
			histogram: hdrhistogram.New(1, maxRecorded.Microseconds(), histogramDigits),
		}
	}
	return g
}

// Run sends the load until the configured duration has passed or ctx is done, then waits for the
// outstanding requests and closes the connections.
func (g *Generator) Run(ctx context.Context) {
	random := rand.New(rand.NewPCG(g.config.Seed, g.config.Seed))
	start := g.clock.Now()
	nextDue := start
	outstanding := make(chan struct{}, maxOutstanding)
	var requests sync.WaitGroup
	for n := 0; nextDue.Sub(start) < g.config.Duration && ctx.Err() == nil; n++ {
		time.Sleep(nextDue.Sub(g.clock.Now()))
		kind := g.pickKind(random)
		pool := g.pools[random.IntN(len(g.pools))]
		id := fmt.Sprintf("%s-%d", g.config.Prefix, n)
		due := nextDue
		outstanding <- struct{}{}
		requests.Go(func() {
			g.sendRequest(pool, kind, id, due)
			<-outstanding
		})
		nextDue = nextDue.Add(time.Duration(random.ExpFloat64() / g.config.Rate * float64(time.Second)))
	}
	requests.Wait()
	for _, pool := range g.pools {
		pool.Close()
	}
}

// pickKind picks a kind at random, in proportion to the weights.
func (g *Generator) pickKind(random *rand.Rand) Kind {
	sum := 0.0
	for _, kind := range g.config.Kinds {
		sum += kind.Weight
	}
	at := random.Float64() * sum
	for _, kind := range g.config.Kinds {
		at -= kind.Weight
		if at < 0 {
			return kind
		}
	}
	return g.config.Kinds[0]
}

// sendRequest sends one request, which was due at the given time, and records its outcome.
func (g *Generator) sendRequest(pool *forwarder.Pool, kind Kind, id string, due time.Time) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(kind.Method)
	req.SetRequestURI(kind.Path)
	req.Header.SetHost("load")
	req.Header.Set(responder.HeaderID, id)
	req.Header.Set(responder.HeaderSize, strconv.Itoa(g.config.AnswerBytes))
	if g.config.APIKey != "" {
		req.Header.Set(interpreter.HeaderCredential, g.config.APIKey)
	}
	if kind.Method == fasthttp.MethodPost {
		req.SetBodyString("id=" + id)
	}
	err := pool.Do(context.Background(), &forwarder.Exchange{
		Deadline: due.Add(min(g.config.Timeout, maxTimeout)),
		Request:  req,
		Response: resp,
	})
	outcome := classify(id, resp, err)
	outcome.Kind = kind.Name()
	outcome.Elapsed = g.clock.Now().Sub(due)
	g.record(outcome)
}

// classify distinguishes a complete answer to the request, a well-formed refusal, a wrong response and
// no response. It leaves the kind and the elapsed time unset.
func classify(id string, resp *fasthttp.Response, err error) Outcome {
	outcome := Outcome{ID: id}
	if err != nil {
		outcome.Lost = err
		return outcome
	}
	if string(resp.Header.ContentType()) == refuser.ContentType {
		var problem refuser.Problem
		if err := json.Unmarshal(resp.Body(), &problem); err != nil {
			outcome.Wrong = err
			return outcome
		}
		outcome.Reason = problem.Reason
		outcome.NotRun = problem.NotRun
		return outcome
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		outcome.Wrong = fmt.Errorf("status %d", resp.StatusCode())
		return outcome
	}
	outcome.Wrong = responder.CheckAnswer(id, resp.Body())
	return outcome
}

// record adds the outcome to the results of its kind and passes it to the observer.
func (g *Generator) record(outcome Outcome) {
	g.mu.Lock()
	t := g.statsByKind[outcome.Kind]
	t.Sent++
	switch {
	case outcome.Lost != nil:
		t.Lost++
	case outcome.Wrong != nil:
		t.Wrong++
	case outcome.Reason != "":
		t.Refused[outcome.Reason]++
	default:
		t.Answered++
		// RecordValue fails only for a time above maxRecorded, which takes a run of more than an hour.
		_ = t.histogram.RecordValue(max(1, outcome.Elapsed.Microseconds()))
	}
	g.mu.Unlock()
	if g.observe != nil {
		g.observe(outcome)
	}
}

// Results returns the results so far, one for each kind, in the order of Config.Kinds.
func (g *Generator) Results() []Result {
	g.mu.Lock()
	defer g.mu.Unlock()
	results := make([]Result, 0, len(g.config.Kinds))
	for _, kind := range g.config.Kinds {
		t := g.statsByKind[kind.Name()]
		result := t.Result
		result.Refused = make(map[refuser.Reason]int)
		for reason, count := range t.Refused {
			result.Refused[reason] = count
		}
		result.P50 = t.percentile(50)
		result.P99 = t.percentile(99)
		result.P999 = t.percentile(99.9)
		results = append(results, result)
	}
	return results
}

func (t *kindStats) percentile(percent float64) time.Duration {
	return time.Duration(t.histogram.ValueAtQuantile(percent)) * time.Microsecond
}

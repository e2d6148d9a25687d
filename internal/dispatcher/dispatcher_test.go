package dispatcher

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/budgeter"
	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
	"github.com/marigoldrelay/marigoldrelay/internal/interpreter"
	"github.com/marigoldrelay/marigoldrelay/internal/meter"
	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
	"github.com/marigoldrelay/marigoldrelay/internal/router"
	"github.com/marigoldrelay/marigoldrelay/internal/signer"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
	"github.com/marigoldrelay/marigoldrelay/internal/validator"
)

const retryRatio = 0.1

// level is one node of a chain of calls: its upstream calls the next level through it.
type level struct {
	*Dispatcher
	key    *signer.Signer
	mu     sync.Mutex
	next   *level
	spent  map[string]bool
	tries  int
	answer func() carrier.Outcome
}

// Learn implements Targets.
func (l *level) Learn(string, carrier.Load, bool) {}

// Overdue implements Targets.
func (l *level) Overdue(string) {}

// Pick implements Targets.
func (l *level) Pick(router.Need, []string) (router.Choice, bool) {
	return router.Choice{Member: gossiper.Member{Name: "target"}}, true
}

// Find implements Runs.
func (l *level) Find(string, string) (carrier.Attempt, bool) { return carrier.Attempt{}, false }

// LoadSeen implements Targets.
func (l *level) LoadSeen(string, carrier.Load) bool { return false }

// Sent implements Targets.
func (l *level) Sent(string) {}

// Send implements Sender: it runs the request at the upstream, which makes its own call first.
func (l *level) Send(ctx context.Context, _ gossiper.Member, a carrier.Attempt, _ *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) carrier.Outcome {
	l.mu.Lock()
	l.tries++
	l.mu.Unlock()
	if l.next == nil {
		return l.awaitAnswer(ctx)
	}
	below, answer := newRequest(), &fasthttp.Response{}
	carrier.Stamp(l.key, &a, below, deadline)
	if refusal := l.next.Dispatch(context.Background(), below, answer); refusal != nil {
		answer.SetStatusCode(fasthttp.StatusBadGateway)
	}
	resp.SetStatusCode(answer.StatusCode())
	l.mu.Lock()
	defer l.mu.Unlock()
	return carrier.Outcome{Spent: l.spent[a.Call]}
}

// awaitAnswer returns the answer, or that the try was cancelled before.
func (l *level) awaitAnswer(ctx context.Context) carrier.Outcome {
	if ctx.Done() == nil {
		return l.answer()
	}
	answered := make(chan carrier.Outcome, 1)
	go func() { answered <- l.answer() }()
	select {
	case outcome := <-answered:
		return outcome
	case <-ctx.Done():
		return carrier.Outcome{Lost: true, Refusal: refuser.Unknown(refuser.ReasonCancelled, "cancelled")}
	}
}

func newRequest() *fasthttp.Request {
	req := &fasthttp.Request{}
	req.SetRequestURI("/work")
	req.Header.SetHost("test")
	return req
}

func newChain(t *testing.T, depth int, answer func() carrier.Outcome) []*level {
	t.Helper()
	key, err := signer.New([]byte("a key for the tests only"))
	if err != nil {
		t.Fatal(err)
	}
	document := &validator.Document{
		Neighbours: []validator.Neighbour{{Name: "a", RetryRatio: retryRatio, Weight: 1}},
		Ranks:      []validator.Rank{{Name: "urgent"}},
		Routes: []validator.Route{{
			Deadline: validator.Duration(time.Minute), Idempotent: true, Methods: []string{"GET"},
			PathPrefix: "/work", Rank: "urgent", Service: "s",
		}},
		Services: []validator.Service{{Name: "s", Neighbour: "a"}},
	}
	var chain []*level
	for i := range depth {
		l := &level{answer: answer, key: key, spent: make(map[string]bool)}
		// The context of a call is spent at the node above, which runs the calling upstream.
		above := l
		if i > 0 {
			above = chain[i-1]
			above.next = l
		}
		l.Dispatcher = New(Config{
			Clock: timekeeper.System{},
			FailedBelow: func(call string) {
				above.mu.Lock()
				defer above.mu.Unlock()
				above.spent[call] = true
			},
			Interpreter: interpreter.Native{},
			Meter:       meter.New(),
			Name:        fmt.Sprintf("n%d", i),
			OpenContext: func(req *fasthttp.Request) (carrier.Context, bool) { return carrier.OpenContext(key, req) },
			Retries:     budgeter.NewRetries(func(string) float64 { return retryRatio }),
			Runs:        l,
			Sender:      l,
			Targets:     l,
		})
		l.Configure(document)
		chain = append(chain, l)
	}
	return chain
}

func lost() carrier.Outcome {
	return carrier.Outcome{Lost: true, Refusal: refuser.Unknown(refuser.ReasonUpstreamLost, "outage")}
}

// TestRetriesDoNotAmplifyAnOutage counts the tries at each level of calls 6 deep while the last
// service is out.
func TestRetriesDoNotAmplifyAnOutage(t *testing.T) {
	const calls = 5000
	for _, depth := range []int{1, 6} {
		chain := newChain(t, depth, lost)
		for range calls {
			chain[0].Dispatch(context.Background(), newRequest(), &fasthttp.Response{})
		}
		for i, l := range chain {
			amplification := float64(l.tries) / calls
			t.Logf("%d deep, level %d: %.3f tries a call", depth, i+1, amplification)
			if amplification > 1.1+1e-9 {
				t.Errorf("%d deep, level %d: %.3f tries a call, want at most 1.1", depth, i+1, amplification)
			}
		}
	}
}

// TestRefusalsForWantOfRoomAreFinal checks that an overload is not answered with more tries.
func TestRefusalsForWantOfRoomAreFinal(t *testing.T) {
	for _, reason := range []refuser.Reason{refuser.ReasonQueueFull, refuser.ReasonDeadline, refuser.ReasonPoison} {
		chain := newChain(t, 1, func() carrier.Outcome {
			return carrier.Outcome{Refusal: refuser.New(reason, "full")}
		})
		for range 100 {
			if refusal := chain[0].Dispatch(context.Background(), newRequest(), &fasthttp.Response{}); refusal.Reason != reason {
				t.Fatalf("got %s, want %s", refusal.Reason, reason)
			}
		}
		if chain[0].tries != 100 {
			t.Errorf("%s: %d tries for 100 calls", reason, chain[0].tries)
		}
		if got := chain[0].Meter.RefusalCount(reason); got != 100 {
			t.Errorf("%s: counted %d refusals", reason, got)
		}
	}
}

// TestRetryAfterOneFailure checks that a single failure is not seen by the caller.
func TestRetryAfterOneFailure(t *testing.T) {
	tries := 0
	chain := newChain(t, 1, func() carrier.Outcome {
		tries++
		if tries == 40 {
			return lost()
		}
		return carrier.Outcome{}
	})
	for range 50 {
		if refusal := chain[0].Dispatch(context.Background(), newRequest(), &fasthttp.Response{}); refusal != nil {
			t.Fatalf("refused: %v", refusal)
		}
	}
	if got := chain[0].Meter.RetryCount(meter.RetryFailed); got != 1 {
		t.Errorf("counted %d retries, want 1", got)
	}
}

// TestHedgeCutsTheTail lets one of 200 tries hang for a second. The caller waits for the high
// quantile and the hedge instead.
func TestHedgeCutsTheTail(t *testing.T) {
	for _, hedged := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			var tries atomic.Int64
			chain := newChain(t, 1, func() carrier.Outcome {
				if tries.Add(1)%200 == 0 {
					time.Sleep(time.Second)
				}
				time.Sleep(10 * time.Millisecond)
				return carrier.Outcome{}
			})
			if !hedged {
				chain[0].Self = "target"
			}
			var times []time.Duration
			for range 2000 {
				started := time.Now()
				if refusal := chain[0].Dispatch(context.Background(), newRequest(), &fasthttp.Response{}); refusal != nil {
					t.Fatalf("refused: %v", refusal)
				}
				times = append(times, time.Since(started))
			}
			// The hung tries end before the bubble does.
			time.Sleep(2 * time.Second)
			slices.Sort(times)
			p999 := times[len(times)*999/1000]
			t.Logf("hedged %t: p99.9 %s, %.3f tries a call", hedged, p999, float64(tries.Load())/2000)
			if hedged && p999 > 100*time.Millisecond {
				t.Errorf("p99.9 is %s with hedges", p999)
			}
			if tries.Load() > 2200 {
				t.Errorf("%d tries for 2000 calls, want at most 1.1 a call", tries.Load())
			}
		})
	}
}

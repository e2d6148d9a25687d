package dispatcher

import (
	"context"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
)

// inTurn is a Sender whose attempts end as listed, one after the other.
type inTurn struct {
	steps []func(resp *fasthttp.Response) carrier.Outcome
}

// Send implements Sender.
func (s *inTurn) Send(_ context.Context, _ gossiper.Member, _ carrier.Attempt, _ *fasthttp.Request, resp *fasthttp.Response, _ time.Time) carrier.Outcome {
	step := s.steps[0]
	s.steps = s.steps[1:]
	return step(resp)
}

func answered(status int) func(resp *fasthttp.Response) carrier.Outcome {
	return func(resp *fasthttp.Response) carrier.Outcome {
		resp.SetStatusCode(status)
		resp.SetBodyString("the upstream's own")
		return carrier.Outcome{Arrived: true}
	}
}

func refusedWith(refusal *refuser.Refusal, arrived bool) func(resp *fasthttp.Response) carrier.Outcome {
	return func(*fasthttp.Response) carrier.Outcome { return carrier.Outcome{Arrived: arrived, Refusal: refusal} }
}

// TestRunIsNotDenied guards against callers who are told that a request has not run, when a further try was
// refused after an upstream had run the first.
func TestRunIsNotDenied(t *testing.T) {
	full := refuser.New(refuser.ReasonQueueFull, "full")
	for name, one := range map[string]struct {
		steps      []func(resp *fasthttp.Response) carrier.Outcome
		wantStatus int
		wantNotRun refuser.NotRun
	}{
		"an error answer": {
			steps:      []func(resp *fasthttp.Response) carrier.Outcome{answered(fasthttp.StatusInternalServerError), refusedWith(full, false)},
			wantStatus: fasthttp.StatusInternalServerError,
		},
		"an unknown outcome": {
			steps: []func(resp *fasthttp.Response) carrier.Outcome{
				func(*fasthttp.Response) carrier.Outcome { return lost() }, refusedWith(full, false),
			},
			wantNotRun: refuser.NotRunUnknown,
		},
		"a refusal of the upstream's": {
			steps:      []func(resp *fasthttp.Response) carrier.Outcome{refusedWith(refuser.New(refuser.ReasonShed, "shed"), true), refusedWith(full, false)},
			wantNotRun: refuser.NotRunTrue,
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := newChain(t, 1, nil)[0].Dispatcher
			for range 20 {
				d.Retries.Earn("a")
			}
			d.Sender = &inTurn{steps: one.steps}
			resp := &fasthttp.Response{}
			refusal := d.Dispatch(context.Background(), newRequest(), resp)
			if one.wantStatus != 0 {
				if refusal != nil || resp.StatusCode() != one.wantStatus || string(resp.Body()) != "the upstream's own" {
					t.Errorf("got refusal %v, status %d, body %q", refusal, resp.StatusCode(), resp.Body())
				}
				return
			}
			if refusal == nil || refusal.NotRun != one.wantNotRun {
				t.Errorf("got refusal %+v, want not-run %q", refusal, one.wantNotRun)
			}
		})
	}
}

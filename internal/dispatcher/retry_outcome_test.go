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

// scriptedSender is a Sender whose attempts end with the outcomes of steps, in order.
type scriptedSender struct {
	steps []func(resp *fasthttp.Response) carrier.Outcome
}

// Send implements Sender.
func (s *scriptedSender) Send(_ context.Context, _ gossiper.Member, _ carrier.Attempt, _ *fasthttp.Request, resp *fasthttp.Response, _ time.Time) carrier.Outcome {
	step := s.steps[0]
	s.steps = s.steps[1:]
	return step(resp)
}

func answerWith(status int) func(resp *fasthttp.Response) carrier.Outcome {
	return func(resp *fasthttp.Response) carrier.Outcome {
		resp.SetStatusCode(status)
		resp.SetBodyString("the upstream's own")
		return carrier.Outcome{Arrived: true}
	}
}

func refuseWith(refusal *refuser.Refusal, arrived bool) func(resp *fasthttp.Response) carrier.Outcome {
	return func(*fasthttp.Response) carrier.Outcome { return carrier.Outcome{Arrived: arrived, Refusal: refusal} }
}

// TestRefusedRetryKeepsEarlierOutcome guards against telling the caller that its request has not run, when a retry
// was refused after an upstream had run the first attempt.
func TestRefusedRetryKeepsEarlierOutcome(t *testing.T) {
	full := refuser.New(refuser.ReasonQueueFull, "full")
	for name, test := range map[string]struct {
		steps      []func(resp *fasthttp.Response) carrier.Outcome
		wantStatus int
		wantNotRun refuser.NotRun
	}{
		"an error response": {
			steps:      []func(resp *fasthttp.Response) carrier.Outcome{answerWith(fasthttp.StatusInternalServerError), refuseWith(full, false)},
			wantStatus: fasthttp.StatusInternalServerError,
		},
		"an unknown outcome": {
			steps: []func(resp *fasthttp.Response) carrier.Outcome{
				func(*fasthttp.Response) carrier.Outcome { return lostOutcome() }, refuseWith(full, false),
			},
			wantNotRun: refuser.NotRunUnknown,
		},
		"a refusal by the upstream": {
			steps:      []func(resp *fasthttp.Response) carrier.Outcome{refuseWith(refuser.New(refuser.ReasonShed, "shed"), true), refuseWith(full, false)},
			wantNotRun: refuser.NotRunTrue,
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := newChain(t, 1, nil)[0].Dispatcher
			for range 20 {
				d.Retries.Earn("a")
			}
			d.Sender = &scriptedSender{steps: test.steps}
			resp := &fasthttp.Response{}
			refusal := d.Dispatch(context.Background(), newRequest(), resp)
			if test.wantStatus != 0 {
				if refusal != nil || resp.StatusCode() != test.wantStatus || string(resp.Body()) != "the upstream's own" {
					t.Errorf("got refusal %v, status %d, body %q", refusal, resp.StatusCode(), resp.Body())
				}
				return
			}
			if refusal == nil || refusal.NotRun != test.wantNotRun {
				t.Errorf("got refusal %+v, want not-run %q", refusal, test.wantNotRun)
			}
		})
	}
}

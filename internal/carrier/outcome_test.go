package carrier

import (
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
)

// TestFailureAtPeersUpstreamIsLost guards against an idempotent request that is not tried elsewhere because its upstream,
// beside another node, has failed without a usable answer.
func TestFailureAtPeersUpstreamIsLost(t *testing.T) {
	failed := refuser.NewPossiblyRun(refuser.ReasonUpstreamFailed, "malformed")
	tests := []struct {
		name       string
		idempotent bool
		refusal    *refuser.Refusal
		want       bool
	}{
		{"idempotent, may have run", true, failed, true},
		{"not idempotent, may have run", false, failed, false},
		{"idempotent, not run", true, refuser.New(refuser.ReasonShed, "full"), false},
		{"idempotent, answered", true, nil, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a := &Attempt{Idempotent: test.idempotent, Sender: "s", Sequence: 1}
			resp := &fasthttp.Response{}
			WriteOutcome(a, resp, Outcome{Arrived: true, Refusal: test.refusal})
			outcome, ok := readOutcome(a, resp)
			if !ok || outcome.Lost != test.want {
				t.Errorf("got %t, lost: %t; want lost: %t", ok, outcome.Lost, test.want)
			}
		})
	}
}

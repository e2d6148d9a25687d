package carrier

import (
	"testing"

	"github.com/valyala/fasthttp"
)

// TestConditionTravelsWithOutcome covers the header that carries an upstream's condition to the entry node.
func TestConditionTravelsWithOutcome(t *testing.T) {
	attempt := &Attempt{Sender: "n1.1", Sequence: 7}
	want := UpstreamCondition{Node: "n2", Instance: "i-1", Born: 1_700_000_000_000, RateLimit: 7.4, Leaving: true}
	resp := &fasthttp.Response{}
	WriteOutcome(attempt, resp, Outcome{Condition: &want})
	outcome, ok := readOutcome(attempt, resp)
	if !ok || outcome.Condition == nil || *outcome.Condition != want {
		t.Errorf("got %+v, want %+v", outcome.Condition, want)
	}
	if left := resp.Header.Peek(headerCondition); len(left) > 0 {
		t.Errorf("the caller gets the header of nodes: %q", left)
	}
	for _, text := range []string{"", "{", `{"rate-limit":1e999}`, `[]`} {
		resp := &fasthttp.Response{}
		resp.Header.Set(headerCondition, text)
		if got := readCondition(resp); got != nil {
			t.Errorf("%q was read as %+v", text, got)
		}
	}
}

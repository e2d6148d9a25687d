package dispatcher

import (
	"context"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
	"github.com/marigoldrelay/marigoldrelay/internal/interpreter"
	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
)

// TestCallThatOutlastsNodeIsRefused guards against calls that a node accepts shortly before its end and whose responses
// come too late to be passed on.
func TestCallThatOutlastsNodeIsRefused(t *testing.T) {
	node := newChain(t, 1, func() carrier.Outcome { return carrier.Outcome{} })[0]
	node.RefuseBeyond(time.Now().Add(30 * time.Second))
	refusal := node.Dispatch(context.Background(), newRequest(), &fasthttp.Response{})
	if refusal == nil || refusal.Reason != refuser.ReasonDraining || !refusal.IsNotRun() || refusal.RetryAfter == 0 {
		t.Errorf("a call of the route's minute: got refusal %+v", refusal)
	}
	short := newRequest()
	short.Header.Set(interpreter.HeaderTimeout, "10")
	if refusal := node.Dispatch(context.Background(), short, &fasthttp.Response{}); refusal != nil {
		t.Errorf("a call of ten seconds: got refusal %+v", refusal)
	}
	if node.attempts != 1 {
		t.Errorf("got %d attempts, want 1", node.attempts)
	}
}

package claimer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/dispatcher"
	"github.com/marigoldrelay/marigoldrelay/internal/interpreter"
	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

// TestReplayedAnswerNamesNoConditions guards against a kept answer that tells the caller of another node, much later, of a
// rate limit or a leaving upstream which that node does not know. The first answer goes on unchanged.
func TestReplayedAnswerNamesNoConditions(t *testing.T) {
	// The HTTP library's clock starts with the first answer that is written and never stops.
	(&Claimer{interpreter: interpreter.Native{}}).encodeAnswer(&fasthttp.Response{})
	synctest.Test(t, func(t *testing.T) {
		owners := newTestOwners()
		send := func(id string) *fasthttp.Response {
			resp := &fasthttp.Response{}
			call := &dispatcher.Call{Deadline: time.Now().Add(time.Second), ID: id, Key: "k", Neighbour: "a", Service: "s"}
			refusal := New(timekeeper.System{}, owners, owners, interpreter.Native{}, testSigner).Run(context.Background(), call, &fasthttp.Request{}, resp, func() *refuser.Refusal {
				resp.Header.Set(interpreter.HeaderRateLimit, "9")
				resp.Header.Set(interpreter.HeaderLeaving, "1")
				resp.SetBodyString("whole")
				return nil
			})
			if refusal != nil {
				t.Fatal(refusal)
			}
			return resp
		}
		conditions := func(resp *fasthttp.Response) interpreter.Conditions {
			return interpreter.Native{}.ReadAnswer(&resp.Header).Conditions
		}
		if got := conditions(send("entry.1.1")); !got.Leaving || got.RateLimit.PerSecond != 9 {
			t.Errorf("the first answer has %+v", got)
		}
		replayed := send("entry.1.2")
		if got := conditions(replayed); got != (interpreter.Conditions{}) || string(replayed.Body()) != "whole" {
			t.Errorf("the replayed answer has %+v and %q", got, replayed.Body())
		}
	})
}

package relayer_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/demonstrator"
	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
	"github.com/marigoldrelay/marigoldrelay/internal/responder"
)

const (
	testAnswerMemory = 1 << 20
	// largeAnswerBytes is the size of a body that does not fit into testAnswerMemory with its copy.
	largeAnswerBytes = 700 << 10
)

// answerSized returns an answer with a body of a kilobyte, or of largeAnswerBytes if the request has a body.
func answerSized(req *fasthttp.Request) string {
	size := 1 << 10
	if len(req.Body()) > 0 {
		size = largeAnswerBytes
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
}

// TestAnswerWithoutMemoryFails guards against an answer that has no room and that is told as anything but a failure of its own:
// the request may have run. It is played where the node beside the upstream has no room, and where the entry has none.
// Small answers must go on, and no memory may stay counted.
func TestAnswerWithoutMemoryFails(t *testing.T) {
	for _, full := range []string{"entry", "target"} {
		t.Run(full, func(t *testing.T) {
			c := newTestCluster(t, 0, responder.Behaviour{})
			target := addNode(t, c.Deployment, demonstrator.NodeSpec{DataCentre: "flacq", Name: "target"})
			limited := map[string]*demonstrator.DeployedNode{"entry": c.entry, "target": target}[full]
			limited.Settings.MaxAnswerMemoryBytes = testAnswerMemory
			limited.Node.Abort()
			if err := c.StartNode(limited); err != nil {
				t.Fatal(err)
			}
			startRawUpstream(t, target.Settings.AnnounceAddress, "sized", serveAnswers(answerSized))
			awaitServing(t, c.Deployment, 1)
			client := &fasthttp.HostClient{Addr: c.entry.Settings.CallerAddress.String()}
			for range 10 {
				if resp := post(t, client, "large"); !isWithoutMemory(t, resp) {
					t.Errorf("a large answer: status %d with %d bytes", resp.StatusCode(), len(resp.Body()))
				}
				if resp := post(t, client, ""); resp.StatusCode() != fasthttp.StatusOK {
					t.Errorf("a small answer: %s", resp)
				}
			}
			if count := limited.Node.Meter().EventCount("answers_given_up"); count != 10 {
				t.Errorf("%d answers were counted as given up, want 10", count)
			}
			for _, node := range []*demonstrator.DeployedNode{c.entry, target} {
				for deadline := time.Now().Add(10 * time.Second); node.Node.AnswerMemoryUsed() != 0 && time.Now().Before(deadline); {
					time.Sleep(time.Millisecond)
				}
				if used := node.Node.AnswerMemoryUsed(); used != 0 {
					t.Errorf("%s: %d bytes are still counted", node.Settings.Name, used)
				}
			}
		})
	}
}

// post sends a request that is not idempotent.
func post(t *testing.T, client *fasthttp.HostClient, body string) *fasthttp.Response {
	t.Helper()
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://test/entries")
	req.SetBodyString(body)
	if err := client.DoTimeout(req, resp, 30*time.Second); err != nil {
		t.Fatal(err)
	}
	return resp
}

// isWithoutMemory reports whether the response is the refusal of a request that may have run and whose answer had no room.
func isWithoutMemory(t *testing.T, resp *fasthttp.Response) bool {
	t.Helper()
	var problem refuser.Problem
	if resp.StatusCode() != fasthttp.StatusBadGateway || json.Unmarshal(resp.Body(), &problem) != nil {
		return false
	}
	return problem.Reason == refuser.ReasonAnswerMemory && problem.NotRun == refuser.NotRunUnknown
}

package relayer

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
	"github.com/marigoldrelay/marigoldrelay/internal/executor"
	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
)

// attemptSender passes attempts for the node itself directly to its executor and sends all others to their nodes.
type attemptSender struct {
	carrier  *carrier.Carrier
	executor *executor.Executor
	self     string
}

// Send implements dispatcher.Sender.
func (s *attemptSender) Send(ctx context.Context, to gossiper.Member, a carrier.Attempt, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) carrier.Outcome {
	if to.Name != s.self {
		return s.carrier.Send(ctx, to, a, req, resp, deadline)
	}
	s.carrier.AssignID(&a)
	return s.executor.Execute(ctx, &executor.Execution{Attempt: a, Deadline: deadline, Request: req, Response: resp})
}

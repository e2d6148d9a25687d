package relayer

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
	"github.com/marigoldrelay/marigoldrelay/internal/executor"
	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

// attemptSender passes attempts for the node itself directly to its executor and sends all others to their nodes.
type attemptSender struct {
	carrier  *carrier.Carrier
	clock    timekeeper.Clock
	crossing crossingObserver
	executor *executor.Executor
	// dataCentre is that of the node, and self its name.
	dataCentre string
	self       string
}

// crossingObserver learns from attempts that went to another data centre.
type crossingObserver interface {
	ObserveCrossing(dataCentre, service string, elapsed time.Duration, bytes int)
}

// crossingHeadBytes is the size of the heads of a request and its answer between nodes, without headers of the caller that are
// out of the ordinary.
const crossingHeadBytes = 1000

// Send implements dispatcher.Sender.
func (s *attemptSender) Send(ctx context.Context, to gossiper.Member, a carrier.Attempt, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) carrier.Outcome {
	if to.Name != s.self {
		return s.sendToPeer(ctx, to, a, req, resp, deadline)
	}
	s.carrier.AssignID(&a)
	return s.executor.Execute(ctx, &executor.Execution{Attempt: a, Deadline: deadline, Request: req, Response: resp})
}

func (s *attemptSender) sendToPeer(ctx context.Context, to gossiper.Member, a carrier.Attempt, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) carrier.Outcome {
	started := s.clock.Now()
	outcome := s.carrier.Send(ctx, to, a, req, resp, deadline)
	if to.DataCentre != s.dataCentre && outcome.Load.Slots > 0 {
		elapsed := s.clock.Now().Sub(started) - outcome.UpstreamTime
		s.crossing.ObserveCrossing(to.DataCentre, a.Service, elapsed, crossingHeadBytes+len(req.Body())+len(resp.Body()))
	}
	return outcome
}

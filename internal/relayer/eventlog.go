package relayer

import (
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
	"github.com/marigoldrelay/marigoldrelay/internal/dispatcher"
	"github.com/marigoldrelay/marigoldrelay/internal/executor"
	"github.com/marigoldrelay/marigoldrelay/internal/listener"
	"github.com/marigoldrelay/marigoldrelay/internal/logger"
	"github.com/marigoldrelay/marigoldrelay/internal/meter"
	"github.com/marigoldrelay/marigoldrelay/internal/quarantiner"
	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

const (
	// routineDivisor limits lines on routine events to maxPerSecond/routineDivisor in a second.
	routineDivisor = 15
	// traceDivisor makes every node log all events of one in traceDivisor requests.
	traceDivisor = 32
)

// eventLog writes log lines on requests and on state that changes often, up to a limit per second. Lines on
// routine events are left out first. Requests are selected by their ID, so that all nodes log the same ones. It is
// safe for concurrent use.
type eventLog struct {
	clock timekeeper.Clock
	// maxPerSecond is the limit on lines in one second.
	maxPerSecond int
	log          *logger.Component
	meter        *meter.Meter

	mu sync.Mutex
	// routine and total count the lines that were allowed in second, a Unix time.
	routine int
	second  int64
	total   int
}

func newEventLog(clock timekeeper.Clock, maxPerSecond int, log *logger.Component, m *meter.Meter) *eventLog {
	return &eventLog{clock: clock, maxPerSecond: maxPerSecond, log: log, meter: m}
}

// allows reports whether another line can be written now, and counts it.
func (e *eventLog) allows(routine bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if second := e.clock.Now().Unix(); second != e.second {
		e.second, e.routine, e.total = second, 0, 0
	}
	if e.total >= e.maxPerSecond || (routine && e.routine >= e.maxPerSecond/routineDivisor) {
		e.meter.Event("log_lines_left_out")
		return false
	}
	e.total++
	if routine {
		e.routine++
	}
	return true
}

// isTraced reports whether all events of the request are logged.
func isTraced(request string) bool {
	return request != "" && xxhash.Sum64String(request)%traceDivisor == 0
}

// write writes a line, unless the limit for lines of its kind is reached.
func (e *eventLog) write(routine bool, message string, keyvals ...any) {
	if e.allows(routine) {
		e.log.Info(message, keyvals...)
	}
}

// callFinished counts a call that has ended at this entry node and logs it, unless it is a success that is not
// traced.
func (n *Node) callFinished(call *dispatcher.Call, progress *dispatcher.CallProgress, resp *fasthttp.Response, refusal *refuser.Refusal) {
	took := n.clock.Now().Sub(call.Started)
	n.meter.Finished(call.Service, call.Rank, outcomeLabel(resp, refusal), took, progress.LoadAge)
	isGood := refusal == nil && resp.StatusCode() < fasthttp.StatusBadRequest
	if isGood && !isTraced(call.RequestID) {
		return
	}
	fields := []any{
		"request", call.RequestID, "call", call.ID, "route", call.Route, "service", call.Service, "rank", call.Rank,
		"target", progress.Target, "tries", progress.AttemptCount, "arrivals", progress.Arrivals, "hand-backs", progress.HandBacks,
		"over-budget", progress.OverBudget, "rate-limited", progress.RateLimited, "hedged", progress.Hedged,
		"believed-load", progress.Load, "believed-slow", progress.Slow, "load-age", progress.LoadAge,
		"took", took, "left", call.Deadline.Sub(n.clock.Now()), "version", n.documentVersion(),
	}
	if call.Workspace != "" {
		fields = append(fields, "workspace", call.Workspace)
	}
	if refusal != nil {
		n.events.write(false, "A call was refused.", append(fields, "reason", refusal.Reason, "not-run", refusal.NotRun,
			"retry-after", refusal.RetryAfter, "detail", refusal.Detail)...)
		return
	}
	n.events.write(isGood, "A call was answered.", append(fields, "status", resp.StatusCode())...)
}

// outcomeLabel returns the metrics label for the outcome of a call.
func outcomeLabel(resp *fasthttp.Response, refusal *refuser.Refusal) string {
	switch {
	case refusal != nil:
		return string(refusal.Reason)
	case resp.StatusCode() >= fasthttp.StatusInternalServerError:
		return "error-answer"
	default:
		return "answered"
	}
}

// callHedged logs that a hedge begins: a second attempt of a call, concurrent with the first.
func (n *Node) callHedged(call *dispatcher.Call, first, second string) {
	n.events.write(!isTraced(call.RequestID), "A second try begins.", "request", call.RequestID, "call", call.ID,
		"first", first, "second", second, "took", n.clock.Now().Sub(call.Started))
}

// retryRefused logs that a retry or a hedge of a call was refused.
func (n *Node) retryRefused(call *dispatcher.Call, target string, reason meter.RetryRefusal) {
	n.events.write(!isTraced(call.RequestID), "A further try is refused.", "request", call.RequestID, "call", call.ID,
		"target", target, "neighbour", call.Neighbour, "reason", reason, "took", n.clock.Now().Sub(call.Started))
}

// requestUnanswered counts and logs a request that ended without a whole response. The request is nil if it was not read
// in full.
func (n *Node) requestUnanswered(cause listener.UnansweredCause, req *fasthttp.Request) {
	n.meter.Unanswered(cause)
	id := ""
	if req != nil {
		// A request whose headers can't be read is reported without its ID.
		parsed, _ := n.interpreter.ReadRequest(&req.Header)
		id = parsed.ID
	}
	n.events.write(cause == listener.CauseCallerGone, "A request ended without an answer.", "request", id, "cause", cause, "draining", n.draining.Load())
}

// upstreamCrashed logs a crash of the upstream beside the node.
func (n *Node) upstreamCrashed(crash *quarantiner.Crash) {
	n.log.Warn("The upstream has crashed.", "process", crash.Process, "run", crash.Run, "service", crash.Service, "suspects", len(crash.Fingerprints))
}

// markUpstreamDown tells the registrar that the process of the upstream is gone.
func (n *Node) markUpstreamDown(process announcer.Process) {
	n.registrar.MarkDown(process)
}

// requestQuarantined logs that a kind of request is no longer run because upstreams crashed while it ran.
func (n *Node) requestQuarantined(fingerprint quarantiner.Fingerprint, upstreams int, d time.Duration) {
	n.log.Warn("A request is barred: upstreams crashed while it ran.", "fingerprint", fingerprint, "upstreams", upstreams, "for", d)
}

// roundFinished logs a round of the register that this node has run.
func (n *Node) roundFinished(round replicator.Round) {
	n.events.write(round.Err == nil && round.Ballots == 1, "A round of the register has ended.", "ballots", round.Ballots,
		"took", round.Took, "revision", round.Revision, "acknowledged", strings.Join(round.Acknowledged, ","), "error", round.Err)
}

// arrivalLogInterval is how often a node logs the arrivals at its upstream.
const arrivalLogInterval = 2 * time.Second

// newArrivalLogger returns a function that logs how many requests have arrived at the upstream since its last call,
// by the kind of their attempts.
func (n *Node) newArrivalLogger() func() {
	type kind struct {
		service string
		try     carrier.Try
	}
	logged := make(map[kind]uint64)
	return func() {
		service := n.service()
		if service == "" {
			return
		}
		fields := []any{"service", service}
		changed := false
		for _, try := range carrier.Tries() {
			count, previous := n.meter.ArrivalCount(service, try.String()), logged[kind{service, try}]
			fields = append(fields, try.String(), count-previous)
			changed = changed || count != previous
			logged[kind{service, try}] = count
		}
		if changed {
			n.log.Info("Arrivals at the upstream.", fields...)
		}
	}
}

// conditionsChanged logs that the conditions in the upstream's responses have changed.
func (n *Node) conditionsChanged(named executor.NamedConditions) {
	n.events.write(false, "The conditions of the upstream changed.", "instance", named.Process.Instance, "response", named.Kind,
		"rate-limit", named.RateLimit.PerSecond, "invalid", named.RateLimit.Invalid, "leaving", named.Leaving)
}

// answerMalformed counts and logs bytes of the upstream that are no response to the attempt.
func (n *Node) answerMalformed(x *executor.Execution, process announcer.Process, err error) {
	n.meter.Event("malformed_answers")
	n.events.write(false, "An answer of the upstream is malformed.", "request", x.Attempt.RequestID, "call", x.Attempt.Call,
		"instance", process.Instance, "error", err)
}

// answerSkipped counts and logs an answer of the upstream that came while the request with the id waited and isn't that one's.
func (n *Node) answerSkipped(waiting string, header *fasthttp.ResponseHeader) {
	n.meter.Event("answers_skipped")
	answer := n.interpreter.ReadAnswer(header)
	n.events.write(false, "An answer of the upstream belongs to no request that waits for it.", "request", waiting, "names-another", answer.ID != "",
		"status", header.StatusCode(), "not-run", answer.NotRun)
}

// isRoutine reports whether the outcome is normal in operation: an answer, a request that was handed back, or an
// attempt that was cancelled, such as the slower one of a hedged call.
func isRoutine(outcome *carrier.Outcome) bool {
	if outcome.Refusal == nil {
		return true
	}
	switch outcome.Refusal.Reason {
	case refuser.ReasonBusy, refuser.ReasonCancelled:
		return true
	default:
		return false
	}
}

// attemptFinished logs an attempt that has ended at the node beside the upstream, unless its outcome is routine and
// its request is not traced.
func (n *Node) attemptFinished(x *executor.Execution, outcome *carrier.Outcome, snapshot executor.UpstreamSnapshot) {
	routine := isRoutine(outcome)
	if routine && !isTraced(x.Attempt.RequestID) {
		return
	}
	fields := []any{
		"request", x.Attempt.RequestID, "call", x.Attempt.Call, "try", x.Attempt.Try, "sender", x.Attempt.Sender, "sequence", x.Attempt.Sequence,
		"instance", snapshot.Instance, "running", snapshot.Running, "queued", snapshot.Queued, "slowdown", snapshot.Slowdown,
		"load-age", snapshot.LoadAge, "took", snapshot.Elapsed, "used", outcome.UpstreamTime, "optional", x.Attempt.Optional,
		"arrived", outcome.Arrived,
	}
	if refusal := outcome.Refusal; refusal != nil {
		n.events.write(routine, "An attempt was refused.", append(fields, "reason", refusal.Reason, "not-run", refusal.NotRun, "detail", refusal.Detail)...)
		return
	}
	n.events.write(true, "An attempt was answered.", append(fields, "status", x.Response.StatusCode())...)
}

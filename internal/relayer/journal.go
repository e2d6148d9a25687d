package relayer

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
	"github.com/marigoldrelay/marigoldrelay/internal/dispatcher"
	"github.com/marigoldrelay/marigoldrelay/internal/executor"
	"github.com/marigoldrelay/marigoldrelay/internal/logger"
	"github.com/marigoldrelay/marigoldrelay/internal/meter"
	"github.com/marigoldrelay/marigoldrelay/internal/quarantiner"
	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

const (
	// plainPart is the part of the lines, 1 in so many, that may be on what went as usual.
	plainPart = 15
	// tracedPart is the part of the requests, 1 in so many, of which every node tells all.
	tracedPart = 32
)

// journal writes the lines on requests and on beliefs that change often. What went as usual is left out
// first; requests are chosen by their id, so that all nodes tell of the same ones.
type journal struct {
	clock timekeeper.Clock
	// lines bounds the lines of a second.
	lines int
	log   *logger.Part
	meter *meter.Meter

	mu     sync.Mutex
	plain  int
	second int64
	total  int
}

func newJournal(clock timekeeper.Clock, lines int, log *logger.Part, m *meter.Meter) *journal {
	return &journal{clock: clock, lines: lines, log: log, meter: m}
}

// allows reports whether another line may be written, and books it.
func (j *journal) allows(plain bool) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if second := j.clock.Now().Unix(); second != j.second {
		j.second, j.plain, j.total = second, 0, 0
	}
	if j.total >= j.lines || (plain && j.plain >= j.lines/plainPart) {
		j.meter.Event("log_lines_left_out")
		return false
	}
	j.total++
	if plain {
		j.plain++
	}
	return true
}

// isTraced reports whether all is told of the request.
func isTraced(request string) bool {
	return request != "" && xxhash.Sum64String(request)%tracedPart == 0
}

// write writes a line on something that went as usual, or not.
func (j *journal) write(plain bool, message string, keyvals ...any) {
	if j.allows(plain) {
		j.log.Info(message, keyvals...)
	}
}

// finished tells of a call that has ended at this entry node.
func (n *Node) finished(call *dispatcher.Call, j *dispatcher.Journey, resp *fasthttp.Response, refusal *refuser.Refusal) {
	took := n.clock.Now().Sub(call.Started)
	n.meter.Finished(call.Service, call.Rank, outcomeOf(resp, refusal), took, j.LoadAge)
	isGood := refusal == nil && resp.StatusCode() < fasthttp.StatusBadRequest
	if isGood && !isTraced(call.Request) {
		return
	}
	line := []any{
		"request", call.Request, "call", call.ID, "route", call.Route, "service", call.Service, "rank", call.Rank,
		"target", j.Target, "tries", j.Tries, "arrivals", j.Arrivals, "hand-backs", j.HandBacks, "over-budget", j.OverBudget, "hedged", j.Hedged,
		"believed-load", j.Load, "believed-slow", j.Slow, "load-age", j.LoadAge,
		"took", took, "left", call.Deadline.Sub(n.clock.Now()), "version", n.documentVersion(),
	}
	if refusal != nil {
		n.journal.write(false, "A call was refused.", append(line, "reason", refusal.Reason, "not-run", refusal.NotRun,
			"retry-after", refusal.RetryAfter, "detail", refusal.Detail)...)
		return
	}
	n.journal.write(isGood, "A call was answered.", append(line, "status", resp.StatusCode())...)
}

// outcomeOf returns the label under which a call is counted.
func outcomeOf(resp *fasthttp.Response, refusal *refuser.Refusal) string {
	switch {
	case refusal != nil:
		return string(refusal.Reason)
	case resp.StatusCode() >= fasthttp.StatusInternalServerError:
		return "error-answer"
	default:
		return "answered"
	}
}

// hedged tells of a second try beside the first.
func (n *Node) hedged(call *dispatcher.Call, first, second string, reason meter.RetryReason) {
	n.journal.write(!isTraced(call.Request), "A second try begins.", "request", call.Request, "call", call.ID,
		"first", first, "second", second, "reason", reason, "took", n.clock.Now().Sub(call.Started))
}

// notRetried tells of a further try that a call did not get.
func (n *Node) notRetried(call *dispatcher.Call, target string, reason meter.RetryRefusal) {
	n.journal.write(!isTraced(call.Request), "A further try is refused.", "request", call.Request, "call", call.ID,
		"target", target, "neighbour", call.Neighbour, "reason", reason, "took", n.clock.Now().Sub(call.Started))
}

// barred tells of a kind of request that is not run any more.
func (n *Node) barred(fingerprint quarantiner.Fingerprint, upstreams int, d time.Duration) {
	n.log.Warn("A request is barred: upstreams crashed while it ran.", "fingerprint", fingerprint, "upstreams", upstreams, "for", d)
}

// roundEnded tells of a round of the register that this node has made.
func (n *Node) roundEnded(round replicator.Round) {
	n.journal.write(round.Err == nil && round.Ballots == 1, "A round of the register has ended.", "ballots", round.Ballots,
		"took", round.Took, "revision", round.Revision, "error", round.Err)
}

// arrivalInterval is how often a node tells what its upstream has got.
const arrivalInterval = 2 * time.Second

// tellArrivals returns a function that tells how many requests the upstream has got since its last call, by
// whether they were the first of their request.
func (n *Node) tellArrivals() func() {
	type kind struct {
		service string
		try     carrier.Try
	}
	told := make(map[kind]uint64)
	return func() {
		service := n.service()
		if service == "" {
			return
		}
		line := []any{"service", service}
		changed := false
		for _, try := range carrier.Tries() {
			count, before := n.meter.ArrivalCount(service, try.String()), told[kind{service, try}]
			line = append(line, try.String(), count-before)
			changed = changed || count != before
			told[kind{service, try}] = count
		}
		if changed {
			n.log.Info("Arrivals at the upstream.", line...)
		}
	}
}

// isOrdinary reports whether the outcome is part of every day: an answer, a request that was handed back,
// or the loser of two tries.
func isOrdinary(outcome *carrier.Outcome) bool {
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

// attempted tells of an attempt that has ended at the node beside the upstream.
func (n *Node) attempted(x *executor.Execution, outcome *carrier.Outcome, seen executor.Seen) {
	isGood := isOrdinary(outcome)
	if isGood && !isTraced(x.Attempt.Request) {
		return
	}
	line := []any{
		"request", x.Attempt.Request, "call", x.Attempt.Call, "try", x.Attempt.Try, "sender", x.Attempt.Sender, "sequence", x.Attempt.Sequence,
		"instance", seen.Instance, "running", seen.Running, "queued", seen.Queued, "slowdown", seen.Slowdown,
		"load-age", seen.LoadAge, "took", seen.Took, "used", outcome.Used, "optional", x.Attempt.Optional,
		"arrived", outcome.Arrived,
	}
	if refusal := outcome.Refusal; refusal != nil {
		n.journal.write(isGood, "An attempt was refused.", append(line, "reason", refusal.Reason, "not-run", refusal.NotRun, "detail", refusal.Detail)...)
		return
	}
	n.journal.write(true, "An attempt was answered.", append(line, "status", x.Response.StatusCode())...)
}

package relayer

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/dispatcher"
	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
)

const (
	// plainLinesPerSecond bounds the lines on calls that went well; the others are told of up to
	// lineLimit.
	plainLinesPerSecond = 5
	lineLimit           = 200
)

// lineBudget counts the lines of the current second.
type lineBudget struct {
	plain  int
	second int64
	total  int
}

// allows reports whether another line may be written, and books it.
func (b *lineBudget) allows(now time.Time, plain bool) bool {
	if second := now.Unix(); second != b.second {
		*b = lineBudget{second: second}
	}
	if b.total >= lineLimit || (plain && b.plain >= plainLinesPerSecond) {
		return false
	}
	b.total++
	if plain {
		b.plain++
	}
	return true
}

// finished writes a line on a call that has ended at this entry node. Calls that went well are sampled.
func (n *Node) finished(call *dispatcher.Call, j *dispatcher.Journey, resp *fasthttp.Response, refusal *refuser.Refusal) {
	now := n.clock.Now()
	isGood := refusal == nil && resp.StatusCode() < fasthttp.StatusBadRequest
	n.lineMu.Lock()
	allowed := n.lines.allows(now, isGood)
	n.lineMu.Unlock()
	if !allowed {
		n.meter.Event("call_lines_left_out")
		return
	}
	line := []any{
		"request", call.Request, "call", call.ID, "route", call.Route, "service", call.Service, "rank", call.Rank,
		"target", j.Target, "tries", j.Tries, "arrivals", j.Arrivals, "hand-backs", j.HandBacks, "hedged", j.Hedged,
		"took", now.Sub(call.Started), "left", call.Deadline.Sub(now), "version", n.documentVersion(),
	}
	if refusal != nil {
		line = append(line, "outcome", "refused", "reason", refusal.Reason, "not-run", refusal.NotRun,
			"retry-after", refusal.RetryAfter, "detail", refusal.Detail)
		n.log.Info("A call was refused.", line...)
		return
	}
	n.log.Info("A call was answered.", append(line, "outcome", "answered", "status", resp.StatusCode())...)
}

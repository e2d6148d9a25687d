package executor

import (
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/interpreter"
	"github.com/marigoldrelay/marigoldrelay/internal/pacer"
)

// ResponseKind is the kind of response in which the upstream named its conditions.
type ResponseKind string

// The kinds of responses.
const (
	ResponseAnswer ResponseKind = "answer"  // To a request that the upstream has run.
	ResponseFailed ResponseKind = "failed"  // To a request that the upstream has failed, or without a proof of origin.
	ResponseNotRun ResponseKind = "not-run" // To a request that the upstream has not run.
	ResponseProbe  ResponseKind = "probe"   // To a health request.
)

// The labels of the conditions in metrics.
const (
	conditionInvalidRateLimit = "invalid-rate-limit"
	conditionLeaving          = "leaving"
	conditionRateLimit        = "rate-limit"
)

// NamedConditions are the conditions in one response of an instance.
type NamedConditions struct {
	interpreter.Conditions
	Instance string
	Kind     ResponseKind
	// SentAt is when the request was sent.
	SentAt time.Time
}

// upstreamConditions is what one process of the upstream has named so far.
type upstreamConditions struct {
	// last are the conditions in its last response.
	last interpreter.Conditions
	// limitedSince is when it named the rate limit that is in force; zero if there is none.
	limitedSince time.Time
	// limitInProbes is true if it has named that limit in the response to a probe.
	limitInProbes bool
}

// ObserveConditions records the conditions in a response of the upstream, and keeps to its rate limit from now on.
// Responses of an instance other than the current one are ignored.
func (e *Executor) ObserveConditions(named NamedConditions) {
	e.countConditions(&named)
	if e.recordConditions(&named) && e.OnConditions != nil {
		e.OnConditions(named)
	}
}

// recordConditions reports whether the conditions differ from those of the last response.
func (e *Executor) recordConditions(named *NamedConditions) (changed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if named.Instance != e.announcement.Instance {
		return false
	}
	now := e.Clock.Now()
	if named.Kind == ResponseProbe {
		e.schedule.CountSent(now)
	}
	e.updateRateLimit(now, named)
	changed = named.Conditions != e.conditions.last
	e.conditions.last = named.Conditions
	return changed
}

// updateRateLimit applies the rate limit that the response names. A limit that can't be read changes nothing. It is
// called with mu held.
func (e *Executor) updateRateLimit(now time.Time, named *NamedConditions) {
	switch {
	case named.RateLimit.PerSecond > 0:
		if e.conditions.limitedSince.IsZero() {
			e.conditions.limitedSince = now
		}
		if named.Kind == ResponseProbe {
			e.conditions.limitInProbes = true
		}
		e.schedule.SetRateLimit(now, named.RateLimit.PerSecond)
	case e.endsRateLimit(named):
		e.conditions.limitedSince, e.conditions.limitInProbes = time.Time{}, false
		e.schedule.SetRateLimit(now, 0)
		e.limit.Restart()
		e.applyLimit()
	default:
		return
	}
	e.notifyPeers()
}

// endsRateLimit reports whether a response without a rate limit shows that the one in force has ended: it answers a
// request that was sent after the limit was named, and is of a kind that would name it. It is called with mu held.
func (e *Executor) endsRateLimit(named *NamedConditions) bool {
	since := e.conditions.limitedSince
	if since.IsZero() || named.RateLimit.Invalid || !named.SentAt.After(since) {
		return false
	}
	return named.Kind == ResponseAnswer || (named.Kind == ResponseProbe && e.conditions.limitInProbes)
}

// resetConditions forgets what the upstream has named, for a new process. It is called with mu held.
func (e *Executor) resetConditions() {
	now := e.Clock.Now()
	e.conditions = upstreamConditions{}
	e.schedule.SetPacer(now, pacer.New(now, e.LimitSettleTime))
}

func (e *Executor) countConditions(named *NamedConditions) {
	kind := string(named.Kind)
	if named.Leaving {
		e.Meter.ConditionNamed(conditionLeaving, kind)
	}
	switch {
	case named.RateLimit.Invalid:
		e.Meter.ConditionNamed(conditionInvalidRateLimit, kind)
	case named.RateLimit.PerSecond > 0:
		e.Meter.ConditionNamed(conditionRateLimit, kind)
	}
}

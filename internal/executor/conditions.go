package executor

import (
	"slices"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
	"github.com/marigoldrelay/marigoldrelay/internal/interpreter"
	"github.com/marigoldrelay/marigoldrelay/internal/pacer"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
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
	conditionInvalidCold      = "invalid-cold"
	conditionInvalidRateLimit = "invalid-rate-limit"
	conditionLeaving          = "leaving"
	conditionRateLimit        = "rate-limit"
)

// NamedConditions are the conditions in one response of an instance.
type NamedConditions struct {
	interpreter.Conditions
	// Process is that which has responded.
	Process announcer.Process
	Kind    ResponseKind
	// Cold is how long the upstream stays cold.
	Cold interpreter.Cold
	// SentAt is when the request was sent.
	SentAt time.Time
}

// upstreamConditions is what one process of the upstream has named so far.
type upstreamConditions struct {
	// born is when the process was born of which an entry node has told; zero if none has.
	born int64
	// heard is true if this node has had a response of it to a request.
	heard bool
	// last are the conditions in its last response of each kind.
	last map[ResponseKind]interpreter.Conditions
	// leaving is true if it has named itself leaving.
	leaving bool
	// limitedSince is when it named the rate limit that is in force; zero if there is none.
	limitedSince time.Time
	// limitInProbes is true if it has named that limit in the response to a probe.
	limitInProbes bool
}

// ObserveConditions records the conditions in a response of the upstream, and keeps to its rate limit from now on. An
// upstream that names itself leaving gets no new requests until another process is announced.
// Responses of a process other than the current one are ignored.
func (e *Executor) ObserveConditions(named NamedConditions) {
	e.countConditions(&named)
	if e.recordConditions(&named) && e.OnConditions != nil {
		e.OnConditions(named)
	}
	if named.Leaving {
		e.OnUpstreamLeaving(named.Process)
	}
}

// recordConditions reports whether the conditions differ from those of the last response of the same kind.
func (e *Executor) recordConditions(named *NamedConditions) (changed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !named.Process.IsSame(e.announcement.Process()) {
		return false
	}
	now := e.Clock.Now()
	if named.Kind == ResponseProbe {
		e.schedule.CountSent(now)
	} else {
		e.conditions.heard = true
	}
	e.updateRateLimit(now, named)
	e.updateCold(now, named)
	if named.Leaving {
		e.conditions.leaving = true
		e.applyLimit()
	}
	if named.Conditions == e.conditions.last[named.Kind] {
		return false
	}
	if e.conditions.last == nil {
		e.conditions.last = make(map[ResponseKind]interpreter.Conditions)
	}
	e.conditions.last[named.Kind] = named.Conditions
	return true
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

// adoptConditions applies what an entry node has been told by the process of the upstream, if this node does not know it
// because it has been started since.
func (e *Executor) adoptConditions(told []carrier.UpstreamCondition) {
	for i := range told {
		if !e.adoptCondition(&told[i]) {
			continue
		}
		e.Meter.Event("conditions_adopted")
		if told[i].Leaving {
			e.OnUpstreamLeaving(told[i].Process())
		}
	}
}

func (e *Executor) adoptCondition(told *carrier.UpstreamCondition) (adopted bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !told.IsOf(e.announcement) {
		return false
	}
	if told.Leaving && !e.conditions.leaving {
		e.conditions.leaving, e.conditions.born = true, told.Born
		e.applyLimit()
		adopted = true
	}
	limit := interpreter.NewRateLimit(told.RateLimit)
	if e.conditions.heard || !e.conditions.limitedSince.IsZero() || limit.PerSecond == 0 {
		return adopted
	}
	e.conditions.born = told.Born
	now := e.Clock.Now()
	e.updateRateLimit(now, &NamedConditions{
		Conditions: interpreter.Conditions{RateLimit: limit}, Process: told.Process(), Kind: ResponseAnswer, SentAt: now,
	})
	return true
}

// conditionFor returns the upstream's condition for the outcome of an attempt. It returns nil if the upstream asks for
// nothing, unless the attempt tells otherwise.
func (e *Executor) conditionFor(a *carrier.Attempt) *carrier.UpstreamCondition {
	e.mu.Lock()
	defer e.mu.Unlock()
	condition := &carrier.UpstreamCondition{
		Node: e.Name, Instance: e.announcement.Instance, Born: e.announcement.Born, RateLimit: e.schedule.RateLimit(),
		Leaving: e.conditions.leaving,
	}
	isOutdated := e.conditions.heard && slices.ContainsFunc(a.Conditions, func(told carrier.UpstreamCondition) bool {
		return told.IsOf(e.announcement) && !told.IsNone()
	})
	if condition.IsNone() && !isOutdated {
		return nil
	}
	return condition
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

// isNewProcess reports whether the announcement is of another process of the upstream than the current one, or than the one
// that an entry node has told of. It is called with mu held.
func (e *Executor) isNewProcess(a announcer.Announcement) bool {
	told := e.announcement
	if e.conditions.born != 0 {
		told.Born = e.conditions.born
	}
	return !a.Process().IsSame(e.announcement.Process()) || !a.Process().IsSame(told.Process())
}

// resetConditions forgets what the upstream has named, for a new process. It is called with mu held.
func (e *Executor) resetConditions() {
	now := e.Clock.Now()
	e.conditions = upstreamConditions{}
	e.schedule.SetPacers(now, pacer.NewPair(now, e.LimitSettleTime))
}

func (e *Executor) countConditions(named *NamedConditions) {
	kind := string(named.Kind)
	if named.Leaving {
		e.Meter.ConditionNamed(conditionLeaving, kind)
	}
	if named.Cold.Invalid {
		e.Meter.ConditionNamed(conditionInvalidCold, kind)
	}
	switch {
	case named.RateLimit.Invalid:
		e.Meter.ConditionNamed(conditionInvalidRateLimit, kind)
	case named.RateLimit.PerSecond > 0:
		e.Meter.ConditionNamed(conditionRateLimit, kind)
	}
}

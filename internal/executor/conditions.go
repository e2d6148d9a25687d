package executor

import (
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/interpreter"
)

// ResponseKind is the kind of response in which the upstream named its conditions.
type ResponseKind string

// The kinds of responses.
const (
	ResponseAnswer ResponseKind = "answer"  // To a request that the upstream has run.
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

// ObserveConditions records the conditions in a response of the upstream. Conditions of an instance other than the
// current one are ignored.
func (e *Executor) ObserveConditions(named NamedConditions) {
	e.countConditions(&named)
	e.mu.Lock()
	changed := named.Instance == e.announcement.Instance && named.Conditions != e.conditions
	if changed {
		e.conditions = named.Conditions
	}
	e.mu.Unlock()
	if changed && e.OnConditions != nil {
		e.OnConditions(named)
	}
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

// Package asserter checks invariants at run time.
package asserter

import (
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/VictoriaMetrics/metrics"
)

var (
	// failures counts the failed invariants of the process.
	failures       atomic.Int64
	failureHandler atomic.Pointer[func(name, detail string)]
)

// SetFailureHandler sets the function that is called, after the failure was counted, when an invariant fails in
// production. It replaces the function that was set before. Under a test a failure panics regardless.
// It is safe for concurrent use.
func SetFailureHandler(f func(name, detail string)) {
	failureHandler.Store(&f)
}

// Failures returns how often an invariant has failed since the start of the process.
func Failures() int64 {
	return failures.Load()
}

// That reports a failure of the named invariant unless holds is true. Under a test a failure panics. In
// production it is counted, here and in a metric, and passed to the function set by SetFailureHandler, with the
// formatted detail. That returns holds, so that callers can fail safe.
func That(holds bool, name, format string, args ...any) bool {
	if holds {
		return true
	}
	detail := fmt.Sprintf(format, args...)
	if testing.Testing() {
		panic("invariant " + name + ": " + detail)
	}
	failures.Add(1)
	metrics.GetOrCreateCounter(fmt.Sprintf("marigoldrelay_invariant_failures_total{name=%q}", name)).Inc()
	if f := failureHandler.Load(); f != nil {
		(*f)(name, detail)
	}
	return false
}

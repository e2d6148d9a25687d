package executor

import (
	"context"
	"strings"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/interpreter"
)

const (
	// loadTime is how long a report of the upstream's load is of use.
	loadTime = 150 * time.Millisecond
	// slowFactor is the slowdown from which an upstream counts as slow.
	slowFactor = 2.0
)

// loadReport is the upstream's newest word on its load.
type loadReport struct {
	at       time.Time
	slowdown float64
}

// Report takes the upstream's own view of its load. When the upstream has turned slow, the entry nodes
// of the idempotent attempts that run here are told, so that they can try elsewhere.
func (e *Executor) Report(load interpreter.Load) {
	e.mu.Lock()
	wasSlow := e.load.slowdown >= slowFactor
	e.load = loadReport{at: e.Clock.Now(), slowdown: load.Slowdown}
	e.limit.Reported()
	var entries []string
	if !wasSlow && load.Slowdown >= slowFactor {
		entries = e.waitingEntries()
	}
	e.mu.Unlock()
	if len(entries) > 0 {
		e.Meter.Event("slow_upstream_reports")
		go e.Links.ReportSlow(context.Background(), entries)
	}
}

// LoadAge returns how old the newest report is, whether anything runs at the upstream, and whether it
// has ever told its load.
func (e *Executor) LoadAge() (age time.Duration, running, tells bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Clock.Now().Sub(e.load.at), len(e.inFlight) > 0, !e.load.at.IsZero()
}

// waitingEntries returns the nodes that wait for idempotent attempts which run here. It is called with
// mu held.
func (e *Executor) waitingEntries() []string {
	seen := make(map[string]bool)
	var entries []string
	for x := range e.inFlight {
		entry, _, _ := strings.Cut(x.Attempt.Sender, ".")
		if x.Attempt.Idempotent && !seen[entry] {
			seen[entry] = true
			entries = append(entries, entry)
		}
	}
	return entries
}

// isPrompt reports whether a request could begin at once and run as fast as usual. It is called with
// mu held.
func (e *Executor) isPrompt() bool {
	if e.schedule.Queued() > 0 || e.schedule.Running() >= e.schedule.Slots() {
		return false
	}
	return !e.isSlow()
}

func (e *Executor) isSlow() bool {
	return e.load.slowdown >= slowFactor && e.Clock.Now().Sub(e.load.at) < loadTime
}

package executor

import (
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
	"github.com/marigoldrelay/marigoldrelay/internal/interpreter"
)

const (
	// loadTime is how long a report of the upstream's load is of use.
	loadTime = 150 * time.Millisecond
	// steadySlowdown is where an upstream begins to count as slower than usual.
	steadySlowdown = 1.2
	// slowPause is how much longer a request at an upstream that has turned slow takes on average.
	slowPause = 200 * time.Millisecond
)

// loadReport is the upstream's newest word on its load.
type loadReport struct {
	at       time.Time
	slowdown float64
}

// Report takes the upstream's own view of its load.
func (e *Executor) Report(load interpreter.Load) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.load = loadReport{at: e.Clock.Now(), slowdown: load.Slowdown}
	e.limit.Reported()
	pause := time.Duration(0)
	if e.isSlow() {
		pause = slowPause
	}
	e.schedule.SetPause(pause)
	e.applyLimit()
	e.tell()
}

// SiblingSeen takes what the node of another upstream of the service has learned of it.
func (e *Executor) SiblingSeen(service string, load carrier.Load) {
	if load.Best == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if service != e.announcement.Service {
		return
	}
	e.limit.Adopt(e.Clock.Now(), load.Best)
	e.applyLimit()
}

// LoadAge returns how old the newest report is, whether anything runs at the upstream, and whether it
// has ever told its load.
func (e *Executor) LoadAge() (age time.Duration, running, tells bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Clock.Now().Sub(e.load.at), len(e.inFlight) > 0, !e.load.at.IsZero()
}

// isPrompt reports whether a request could begin at once and, unless it is relaxed, run as fast as
// usual. It is called with mu held.
func (e *Executor) isPrompt(relaxed bool) bool {
	if e.schedule.Queued() > 0 || e.schedule.Running() >= e.schedule.Slots() {
		return false
	}
	return relaxed || !e.isSlow()
}

func (e *Executor) isSlow() bool {
	return carrier.Load{Slowdown: e.load.slowdown}.IsSlow() && e.Clock.Now().Sub(e.load.at) < loadTime
}

// isSteady reports whether the upstream has told of late that its VM runs at its usual speed. It is called
// with mu held.
func (e *Executor) isSteady() bool {
	return e.load.slowdown > 0 && e.load.slowdown < steadySlowdown && e.Clock.Now().Sub(e.load.at) < loadTime
}

package executor

import (
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
	"github.com/marigoldrelay/marigoldrelay/internal/interpreter"
)

const (
	// loadReportTTL is how long a load report of the upstream counts as current.
	loadReportTTL = 150 * time.Millisecond
	// maxSteadySlowdown is the slowdown from which an upstream counts as slower than usual.
	maxSteadySlowdown = 1.2
	// slowStall is the mean extra time that a request takes at an upstream that has become slow.
	slowStall = 200 * time.Millisecond
)

// loadReport is the upstream's newest load report.
type loadReport struct {
	receivedAt time.Time
	slowdown   float64
}

// UpdateLoad records a load report of the upstream. If the upstream is slow, the scheduler adds slowStall to the
// expected waits at admission.
func (e *Executor) UpdateLoad(load interpreter.Load) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.load = loadReport{receivedAt: e.Clock.Now(), slowdown: load.Slowdown}
	e.limit.SetReportsLoad()
	stall := time.Duration(0)
	if e.isSlow() {
		stall = slowStall
	}
	e.schedule.SetExpectedStall(stall)
	e.applyLimit()
	e.notifyPeers()
}

// AdoptSiblingLoad adopts the best number of slots that the node of another upstream of the same service has
// learned. Loads without one and loads of other services are ignored.
func (e *Executor) AdoptSiblingLoad(service string, load carrier.Load) {
	if load.BestSlotFraction == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if service != e.announcement.Service {
		return
	}
	e.limit.Adopt(e.Clock.Now(), load.BestSlotFraction)
	e.applyLimit()
}

// LoadAge returns the age of the newest load report, whether any request is running at the upstream, and
// whether this instance of it has reported its load at all.
func (e *Executor) LoadAge() (age time.Duration, running, reportsLoad bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Clock.Now().Sub(e.load.receivedAt), len(e.inFlight) > 0, !e.load.receivedAt.IsZero()
}

// canStartPromptly reports whether a request could start at once and, unless it tolerates a slow upstream, at
// one that is not slow. It is called with mu held.
func (e *Executor) canStartPromptly(toleratesSlow bool) bool {
	if e.schedule.Queued() > 0 || e.schedule.Running() >= e.schedule.Slots() {
		return false
	}
	return toleratesSlow || !e.isSlow()
}

// isSlow reports whether a current load report says that the upstream is slow. It is called with mu held.
func (e *Executor) isSlow() bool {
	return carrier.Load{Slowdown: e.load.slowdown}.IsSlow() && e.Clock.Now().Sub(e.load.receivedAt) < loadReportTTL
}

// isSteady reports whether a current load report says that the upstream's VM runs at its usual speed. It is
// called with mu held.
func (e *Executor) isSteady() bool {
	return e.load.slowdown > 0 && e.load.slowdown < maxSteadySlowdown &&
		e.Clock.Now().Sub(e.load.receivedAt) < loadReportTTL
}

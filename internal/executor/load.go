package executor

import (
	"context"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
	"github.com/marigoldrelay/marigoldrelay/internal/interpreter"
)

const (
	// loadReportTTL is how long a load report of the upstream counts as current.
	loadReportTTL = 150 * time.Millisecond
	// maxStartReportAge is how old the load report may be on which a request is started. Older ones are replaced by a
	// probe, because a request that starts while the VM is slow is slow to its end.
	maxStartReportAge = 10 * time.Millisecond
	// maxSteadySlowdown is the slowdown from which an upstream counts as slower than usual.
	maxSteadySlowdown = 1.2
	// minSlowPeriodLeft is how long a slow period that has just begun is expected to last.
	minSlowPeriodLeft = 300 * time.Millisecond
)

// loadReport is the upstream's newest load report.
type loadReport struct {
	receivedAt time.Time
	slowdown   float64
	// slowSince is when the slow period began that the upstream is in, if it is slow.
	slowSince time.Time
}

// LoadProber asks the upstream for its load.
type LoadProber interface {
	// ProbeLoad asks the upstream for its load and passes the answer to UpdateLoad. It returns after that, or when the
	// upstream has not answered promptly or ctx is done.
	ProbeLoad(ctx context.Context)
}

// UpdateLoad records a load report of the upstream. While the upstream is slow, the scheduler holds requests back.
func (e *Executor) UpdateLoad(load interpreter.Load) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Clock.Now()
	slowSince := now
	if e.isSlow() {
		slowSince = e.load.slowSince
	}
	e.load = loadReport{receivedAt: now, slowdown: load.Slowdown, slowSince: slowSince}
	e.limit.SetReportsLoad()
	e.updateSlowPeriod(now)
	e.applyLimit()
	e.notifyPeers()
}

// updateSlowPeriod tells the scheduler whether the upstream is slow, and for how long that is expected to last: for
// minSlowPeriodLeft, or as long again as it has lasted. A request is then held for at most about the time that it would
// lose by starting at once (the ski-rental rule). It is called with mu held.
func (e *Executor) updateSlowPeriod(now time.Time) {
	if !e.isSlow() {
		e.schedule.SetSlowPeriod(now, 1, 0)
		return
	}
	e.schedule.SetSlowPeriod(now, e.load.slowdown, max(minSlowPeriodLeft, now.Sub(e.load.slowSince)))
}

// refreshLoad probes the upstream if an attempt could start now but the last load report is too old to tell whether it
// would be slow.
func (e *Executor) refreshLoad(ctx context.Context) {
	if e.needsLoadProbe() {
		e.LoadProber.ProbeLoad(ctx)
	}
}

func (e *Executor) needsLoadProbe() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.load.receivedAt.IsZero() || e.limitsProbes() || e.schedule.Running() >= e.schedule.Slots() {
		return false
	}
	now := e.Clock.Now()
	if e.schedule.ColdRate() > 0 && e.schedule.IsThrottled(now) {
		// No request can start at the cold upstream, whatever it answers.
		return false
	}
	return now.Sub(e.load.receivedAt) > maxStartReportAge
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

// LoadState is what the prober needs to know to decide when to ask the upstream for its load.
type LoadState struct {
	// Age is the age of the newest load report. IsReported is false if this instance has not reported its load at all.
	Age        time.Duration
	IsReported bool
	// Queued and Running are true if requests are queued here or running at the upstream.
	Queued  bool
	Running bool
	// ProbesLimited is true if probes, which might count, would use up the upstream's rate limit.
	ProbesLimited bool
	// Slow is true if the upstream counts as slow.
	Slow bool
}

// LoadState returns the state of the upstream's load reports.
func (e *Executor) LoadState() LoadState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return LoadState{
		Age: e.Clock.Now().Sub(e.load.receivedAt), IsReported: !e.load.receivedAt.IsZero(),
		Queued: e.schedule.Queued() > 0, ProbesLimited: e.limitsProbes(), Running: len(e.inFlight) > 0, Slow: e.isSlow(),
	}
}

// maxProbedUse is the use of the upstream's rate limit from which it is probed seldom.
const maxProbedUse = 0.5

// limitsProbes reports whether probes would use up the upstream's rate limit. It is called with mu held.
func (e *Executor) limitsProbes() bool {
	return e.schedule.RateLimitUse(e.Clock.Now()) >= maxProbedUse
}

// canStartPromptly reports whether a request could start at once, at the upstream's usual speed and within its rate
// limit. It is called with mu held.
func (e *Executor) canStartPromptly() bool {
	return e.schedule.Queued() == 0 && e.schedule.Running() < e.schedule.Slots() && !e.isSlow() && !e.schedule.IsThrottled(e.Clock.Now())
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

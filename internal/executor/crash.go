package executor

import (
	"context"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/quarantiner"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

// upstreamRun is one process of the upstream as this node has seen it. An instance that starts again under its id, and
// even with the same start time, is another run. Executor.mu guards it.
type upstreamRun struct {
	// number counts the runs that this node has seen.
	number  uint64
	process announcer.Process
	service string
	// ended is true if nothing listened at the address after the run had begun.
	ended bool
	// lost holds when the connections of requests were lost since the last answer, although the process seemed to run.
	lost map[quarantiner.Fingerprint]time.Time
	// report is that of the crash, or of a loss that is being looked into; nil if there is none.
	report *crashReport
	// safe holds the requests that the process has run without a crash.
	safe *quarantiner.SafeFingerprints
}

// runningRequest is a request that is in flight at the upstream.
type runningRequest struct {
	fingerprint quarantiner.Fingerprint
	run         *upstreamRun
}

// crashReport is the report of one crash. The channel done is closed when the report has been sent to the
// service's nodes, or turned out not to be needed.
type crashReport struct {
	done chan struct{}
}

func newUpstreamRun(number uint64, a announcer.Announcement) *upstreamRun {
	return &upstreamRun{
		number: number, process: a.Process(), service: a.Service,
		lost: make(map[quarantiner.Fingerprint]time.Time), safe: quarantiner.NewSafeFingerprints(),
	}
}

// trackRun begins a new run if the announcement is of another process than the current one: isNew says that it names
// another, or the current one has ended and something is ready again. It returns the crash of a process that another one
// has replaced before its loss was noticed, or nil. It is called with mu held.
func (e *Executor) trackRun(a announcer.Announcement, isNew bool) (began bool, missed *quarantiner.Crash) {
	last := e.upstreamRun
	isBack := last.ended && a.State == announcer.StateReady
	if !isNew && !isBack {
		if last.process.Born == 0 {
			last.process = a.Process()
		}
		last.service = a.Service
		return false, nil
	}
	if len(last.lost) > 0 && e.announcement.State == announcer.StateReady {
		missed = e.crashOf(last)
	}
	e.upstreamRun = newUpstreamRun(last.number+1, a)
	return true, missed
}

// lossSpread is how far apart the losses of the requests that ran at one crash can be noticed.
const lossSpread = 100 * time.Millisecond

// lastLost returns the requests that were lost together with the last one. A faulty process can lose many before it ends.
func (r *upstreamRun) lastLost() map[quarantiner.Fingerprint]struct{} {
	var last time.Time
	for _, at := range r.lost {
		if at.After(last) {
			last = at
		}
	}
	together := make(map[quarantiner.Fingerprint]struct{})
	for fingerprint, at := range r.lost {
		if last.Sub(at) <= lossSpread {
			together[fingerprint] = struct{}{}
		}
	}
	return together
}

// crashOf returns the crash of a run with the requests that ran at it, except those known to have run there without a
// crash. It is called with mu held.
func (e *Executor) crashOf(run *upstreamRun) *quarantiner.Crash {
	run.ended = true
	suspects := run.lastLost()
	clear(run.lost)
	for _, request := range e.inFlight {
		if request.run == run {
			suspects[request.fingerprint] = struct{}{}
		}
	}
	crash := &quarantiner.Crash{Process: run.process, Reporter: e.ProcessName, Run: run.number, Service: run.service}
	for fingerprint := range suspects {
		if !run.safe.Has(fingerprint) {
			crash.Fingerprints = append(crash.Fingerprints, fingerprint)
		}
	}
	return crash
}

// publishCrash counts a crash and reports it to the service's nodes.
func (e *Executor) publishCrash(ctx context.Context, crash *quarantiner.Crash) {
	e.Meter.Event("upstream_crashes")
	if e.OnCrash != nil {
		e.OnCrash(crash)
	}
	if len(crash.Fingerprints) == 0 {
		return
	}
	e.Quarantiner.Report(*crash)
	e.Links.ReportCrash(ctx, *crash)
}

// reportLoss handles the loss of a connection with a request that ran. If the process has crashed, it reports to the
// service's nodes which requests were running then. It returns after the report, so that a retry of a request
// reaches nodes that know of the crash. A loss without a crash is remembered until the process answers again, because a
// process that is back already when it is looked for seems never to have been away.
func (e *Executor) reportLoss(ctx context.Context, x *Execution) {
	e.mu.Lock()
	request := e.inFlight[x]
	run := request.run
	run.lost[request.fingerprint] = e.Clock.Now()
	report := run.report
	isReporter := report == nil
	if isReporter {
		report = &crashReport{done: make(chan struct{})}
		run.report = report
	}
	process := run.process
	e.mu.Unlock()
	if !isReporter {
		<-report.done
		return
	}
	defer close(report.done)
	isDown := e.Upstream.IsDown(ctx, process)
	e.mu.Lock()
	if !isDown {
		run.report = nil
		e.mu.Unlock()
		return
	}
	crash := e.crashOf(run)
	e.mu.Unlock()
	e.OnUpstreamDown(process)
	e.publishCrash(ctx, crash)
}

// reportRefused handles a refused connection: the process of the run is gone. If requests were lost there before, it has
// crashed while they ran.
func (e *Executor) reportRefused(ctx context.Context, run *upstreamRun) {
	e.mu.Lock()
	var crash *quarantiner.Crash
	if !run.ended && len(run.lost) > 0 {
		crash = e.crashOf(run)
	}
	run.ended = true
	process := run.process
	e.mu.Unlock()
	e.OnUpstreamDown(process)
	if crash != nil {
		e.publishCrash(ctx, crash)
	}
}

package executor

import (
	"time"

	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

const (
	// maxColdDoubt is how long a new process of the upstream counts as cold if it does not say whether it is. It is longer
	// than the usual lease of an announcement, within which a process announces itself.
	maxColdDoubt = 10 * time.Second
	// maxAnnouncementAge is how long an announcement can be on its way: some arrive seconds late. One that arrives sooner after
	// a response may tell of an earlier state.
	maxAnnouncementAge = 5 * time.Second
)

// coldState is what is known of the time for which one process of the upstream is cold. It has effect only if the document
// has a rate for cold upstreams of the service.
type coldState struct {
	// until is when the upstream stops being cold, as it has said last.
	until time.Time
	// saidAt is when a report of it arrived that the upstream is cold, and isAnnounced is true if that was an announcement.
	saidAt      time.Time
	isAnnounced bool
	// unknownUntil is until when the upstream counts as cold because it has not said whether it is.
	unknownUntil time.Time
	// inProbes is true if a response to a probe has said that it is cold.
	inProbes bool
}

// HandleCold applies the time for which the upstream stays cold, as one of its announcements states it. Announcements of a
// process other than the current one are ignored.
func (e *Executor) HandleCold(process announcer.Process, left time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !process.IsSame(e.announcement.Process()) {
		return
	}
	now := e.Clock.Now()
	e.cold.unknownUntil = time.Time{}
	report := coldReport{left: left, writtenAt: now, isAnnounced: true}
	if !e.cold.isAnnounced {
		// Announcements arrive in order, but they can be overtaken by a response.
		report.writtenAt = now.Add(-maxAnnouncementAge)
	}
	e.cold.apply(now, report)
	e.applyCold(now)
}

// updateCold applies the time for which the upstream stays cold in one of its responses. A response to a probe without it
// says that the upstream is not cold, where an earlier one has said that it is. It is called with mu held.
func (e *Executor) updateCold(now time.Time, named *NamedConditions) {
	isProbe := named.Kind == ResponseProbe
	switch {
	case named.Cold.Named:
		e.cold.unknownUntil = time.Time{}
		e.cold.inProbes = e.cold.inProbes || (isProbe && named.Cold.Left > 0)
	case !isProbe || named.Cold.Invalid || !e.cold.inProbes:
		return
	}
	e.cold.apply(now, coldReport{left: named.Cold.Left, writtenAt: named.SentAt})
	e.applyCold(now)
}

// coldReport is what the upstream says of the time for which it stays cold.
type coldReport struct {
	left time.Duration
	// writtenAt is the earliest time at which the upstream can have made the report.
	writtenAt   time.Time
	isAnnounced bool
}

// apply applies a report that arrives now. One that would end or shorten the time is ignored unless it was certainly made
// after the last one that the upstream is cold.
func (c *coldState) apply(now time.Time, report coldReport) {
	until := now.Add(report.left)
	if until.Before(c.until) && report.writtenAt.Before(c.saidAt) {
		return
	}
	c.until = until
	if report.left > 0 {
		c.saidAt, c.isAnnounced = now, report.isAnnounced
	}
}

// isCold reports whether the upstream is cold or counts as cold.
func (c *coldState) isCold(now time.Time) bool {
	return now.Before(c.until) || now.Before(c.unknownUntil)
}

// applyCold sets the rate of the scheduler while the upstream is cold. It is called with mu held.
func (e *Executor) applyCold(now time.Time) {
	perSecond := 0.0
	if e.cold.isCold(now) {
		perSecond = e.coldPerSecond()
	}
	before := e.schedule.ColdRate()
	if perSecond == before {
		return
	}
	e.schedule.SetColdRate(now, perSecond)
	e.notifyPeers()
	if (perSecond > 0) != (before > 0) {
		e.countCold(perSecond > 0)
	}
}

// coldPerSecond returns the rate that a cold upstream of the service bears, or zero if the document has none.
func (e *Executor) coldPerSecond() float64 {
	document := e.document.Load()
	if document == nil {
		return 0
	}
	service, _ := document.ServiceNamed(e.announcement.Service)
	return service.ColdPerSecond
}

// countCold counts a change of the upstream between cold and warm.
func (e *Executor) countCold(isCold bool) {
	if isCold {
		e.Meter.Event("cold_begun")
		return
	}
	e.Meter.Event("cold_ended")
}

// Package timekeeper defines the clock that other packages take as a dependency.
package timekeeper

import (
	"context"
	"time"
)

// Clock returns the current time and schedules function calls.
type Clock interface {
	// AfterFunc calls f in its own goroutine after d. The Timer can cancel or postpone the call.
	AfterFunc(d time.Duration, f func()) Timer
	// Now returns the current time with its monotonic reading.
	Now() time.Time
}

// Timer is a call that was scheduled with AfterFunc.
type Timer interface {
	// Reset reschedules the call to d from now. It reports whether the timer was active.
	Reset(d time.Duration) bool
	// Stop cancels the call if it has not started. It reports whether the timer was active.
	Stop() bool
}

// System is the Clock that uses the time and the timers of package time.
type System struct{}

// AfterFunc implements Clock.
func (System) AfterFunc(d time.Duration, f func()) Timer {
	return time.AfterFunc(d, f)
}

// Now implements Clock.
func (System) Now() time.Time {
	return time.Now()
}

// Sleep waits until d has passed on the clock or ctx is done.
func Sleep(ctx context.Context, clock Clock, d time.Duration) {
	expired := make(chan struct{})
	timer := clock.AfterFunc(d, func() { close(expired) })
	defer timer.Stop()
	select {
	case <-expired:
	case <-ctx.Done():
	}
}

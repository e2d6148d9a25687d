package budgeter

import (
	"sync"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

const (
	// halfWindowSpans is the number of spans into which half a window is divided.
	halfWindowSpans = 50
	// windowSpans is the number of spans that a window ending now can overlap.
	windowSpans = 2*halfWindowSpans + 1
	// ringSpans is the number of spans that are kept: those of the window and of the half window before it.
	ringSpans = windowSpans + halfWindowSpans - 1
)

// RepeatLimits limits the repeats that one upstream receives. Repeats are requests that an upstream may have received
// before, and calls made during a run that was a repeat itself.
type RepeatLimits struct {
	// Ratio is the number of repeats allowed per first arrival, and Share the number of repeats allowed in addition
	// in each Window.
	Ratio  float64
	Share  float64
	Window time.Duration
}

// Repeats limits the repeats that one upstream receives. In each window they are at most Share plus Ratio times the
// mean of two counts: the first arrivals whose requests began in that window, and those whose requests began in the
// window that starts half a window earlier. Limits of this form add up: all upstreams of a service together receive at
// most Ratio times all first arrivals plus the sum of the shares, however the load is distributed over them and moves.
// No unused allowance is saved for longer than a window. Repeats is safe for concurrent use.
type Repeats struct {
	clock  timekeeper.Clock
	limits func() RepeatLimits

	mu sync.Mutex
	// spans is a ring buffer. newest is the number of its newest span, counted from startedAt.
	spans     [ringSpans]repeatSpan
	startedAt time.Time
	newest    int
	window    time.Duration
}

// repeatSpan counts the first arrivals and repeats of one span of the window.
type repeatSpan struct {
	firsts  int
	repeats int
}

// NewRepeats returns a Repeats without arrivals that calls limits on each use. In its first window the share is zero,
// because an earlier process at the same upstream may have used it up.
func NewRepeats(clock timekeeper.Clock, limits func() RepeatLimits) *Repeats {
	return &Repeats{clock: clock, limits: limits}
}

// Restart drops all counts, as for a new process. It is called when the upstream starts to serve another service.
func (r *Repeats) Restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restart(r.clock.Now(), r.window)
}

// CountFirst counts the first arrival of a request that began at the given time.
func (r *Repeats) CountFirst(began time.Time) {
	r.record(began, repeatSpan{firsts: 1})
}

// UndoFirst undoes a CountFirst for a request that did not arrive after all.
func (r *Repeats) UndoFirst(began time.Time) {
	r.record(began, repeatSpan{firsts: -1})
}

// Take counts a repeat that arrives now, if it is within the given fraction of the limit. It reports whether it is.
func (r *Repeats) Take(fraction float64) bool {
	return r.admit(fraction, 1)
}

// Allows reports whether a repeat that arrives now would be within the given fraction of the limit.
func (r *Repeats) Allows(fraction float64) bool {
	return r.admit(fraction, 0)
}

// UndoTake undoes a Take at the given time for a repeat that did not arrive after all.
func (r *Repeats) UndoTake(at time.Time) {
	r.record(at, repeatSpan{repeats: -1})
}

func (r *Repeats) admit(fraction float64, count int) bool {
	limits := r.limits()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	r.advance(now, limits.Window)
	if now.Sub(r.startedAt) < limits.Window {
		limits.Share = 0
	}
	if !r.isWithinLimits(limits, fraction) {
		return false
	}
	r.spans[r.newest%ringSpans].repeats += count
	return true
}

// isWithinLimits reports whether one more repeat is within the fraction of the limit in each window that contains the
// present. For a window that begins within a span, all of that span's repeats count, but only those first arrivals that
// are in the window wherever in the span it begins. It is called with mu held.
func (r *Repeats) isWithinLimits(limits RepeatLimits, fraction float64) bool {
	// firstsBefore[i] is the number of first arrivals in the i oldest spans.
	var firstsBefore [ringSpans + 1]int
	for i := range ringSpans {
		firstsBefore[i+1] = firstsBefore[i] + r.spanAt(i).firsts
	}
	repeats := 1
	for i := ringSpans - 1; i >= ringSpans-windowSpans; i-- {
		repeats += r.spanAt(i).repeats
		inWindow := firstsBefore[ringSpans] - firstsBefore[i+1]
		inEarlierWindow := firstsBefore[min(i+halfWindowSpans, ringSpans)] - firstsBefore[i+1-halfWindowSpans]
		mean := float64(inWindow+inEarlierWindow) / 2
		if float64(repeats) > fraction*(limits.Ratio*mean+limits.Share) {
			return false
		}
	}
	return true
}

// spanAt returns a span by its index among the spans of the ring, from the oldest to the newest.
func (r *Repeats) spanAt(i int) repeatSpan {
	number := r.newest - ringSpans + 1 + i
	if number < 0 {
		return repeatSpan{}
	}
	return r.spans[number%ringSpans]
}

func (r *Repeats) record(at time.Time, delta repeatSpan) {
	limits := r.limits()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(r.clock.Now(), limits.Window)
	number := r.spanNumber(at)
	if at.Before(r.startedAt) || number <= r.newest-ringSpans || number > r.newest {
		return
	}
	span := &r.spans[number%ringSpans]
	span.firsts = max(0, span.firsts+delta.firsts)
	span.repeats = max(0, span.repeats+delta.repeats)
}

// advance clears the spans that have begun since the last call, or all spans if the window has changed. It is called
// with mu held.
func (r *Repeats) advance(now time.Time, window time.Duration) {
	if window != r.window {
		r.restart(now, window)
	}
	current := r.spanNumber(now)
	r.newest = max(r.newest, current-ringSpans)
	for r.newest < current {
		r.newest++
		r.spans[r.newest%ringSpans] = repeatSpan{}
	}
}

func (r *Repeats) restart(now time.Time, window time.Duration) {
	r.startedAt, r.newest, r.window = now, 0, window
	clear(r.spans[:])
}

// spanNumber returns the number of the span that contains the given time, counted from startedAt.
func (r *Repeats) spanNumber(at time.Time) int {
	if r.window == 0 {
		return 0
	}
	return int(at.Sub(r.startedAt) * (2 * halfWindowSpans) / r.window)
}

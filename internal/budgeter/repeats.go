package budgeter

import (
	"sync"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

const (
	// halfSpans is the number of spans into which half a window is divided.
	halfSpans = 50
	// windowSpans is the number of spans that a window which ends now can touch, and keptSpans with the half
	// window before it.
	windowSpans = 2*halfSpans + 1
	keptSpans   = windowSpans + halfSpans - 1
)

// RepeatLimits is what one upstream may get of repeats: requests that an upstream may have got before, and
// calls made by a run that was a repeat itself.
type RepeatLimits struct {
	// Ratio is the number of repeats for each first arrival, Share how many more there may be in a Window.
	Ratio  float64
	Share  float64
	Window time.Duration
}

// Repeats bounds the repeats that one upstream gets. In each window they are at most Share and Ratio times
// the mean of two counts: the first arrivals whose requests began in that window, and those of the window that
// began half a window earlier. Bounds of this form add up: all upstreams of a service together get at most
// the ratio of all first arrivals and the sum of the shares, however the load is spread over them and moves.
// Nothing is saved for longer than a window. It is safe for concurrent use.
type Repeats struct {
	clock  timekeeper.Clock
	limits func() RepeatLimits

	mu sync.Mutex
	// spans is a ring; last is the number of its newest span since began.
	spans  [keptSpans]repeatSpan
	began  time.Time
	last   int
	window time.Duration
}

// repeatSpan counts what came in one part of the window.
type repeatSpan struct {
	firsts  int
	repeats int
}

// NewRepeats returns a bound that follows limits. Its share holds from a window after the start on, because
// an earlier process at the same upstream may have used it up.
func NewRepeats(clock timekeeper.Clock, limits func() RepeatLimits) *Repeats {
	return &Repeats{clock: clock, limits: limits}
}

// Restart forgets all that came, as for a new process. It is called when the upstream serves another service.
func (r *Repeats) Restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restart(r.clock.Now(), r.window)
}

// First books a first arrival of a request that began at the given time.
func (r *Repeats) First(began time.Time) {
	r.book(began, repeatSpan{firsts: 1})
}

// UndoFirst takes back a First that has not arrived after all.
func (r *Repeats) UndoFirst(began time.Time) {
	r.book(began, repeatSpan{firsts: -1})
}

// Take books a repeat that arrives now, if it is within the given part of the bound.
func (r *Repeats) Take(part float64) bool {
	return r.admit(part, 1)
}

// Allows reports whether a repeat could arrive now within the given part of the bound.
func (r *Repeats) Allows(part float64) bool {
	return r.admit(part, 0)
}

// UndoTake takes back a Take of the given time that has not arrived after all.
func (r *Repeats) UndoTake(at time.Time) {
	r.book(at, repeatSpan{repeats: -1})
}

func (r *Repeats) admit(part float64, count int) bool {
	limits := r.limits()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	r.advance(now, limits.Window)
	if now.Sub(r.began) < limits.Window {
		limits.Share = 0
	}
	if !r.hasRoom(limits, part) {
		return false
	}
	r.spans[r.last%keptSpans].repeats += count
	return true
}

// hasRoom looks at each window that holds the present. One that begins within a span has all of the span's
// repeats, and of the first arrivals those that it has wherever in the span it begins. It is called with mu
// held.
func (r *Repeats) hasRoom(limits RepeatLimits, part float64) bool {
	// sums[i] is the number of first arrivals in the i oldest spans.
	var sums [keptSpans + 1]int
	for i := range keptSpans {
		sums[i+1] = sums[i] + r.kept(i).firsts
	}
	repeats := 1
	for i := keptSpans - 1; i >= keptSpans-windowSpans; i-- {
		repeats += r.kept(i).repeats
		own := sums[keptSpans] - sums[i+1]
		earlier := sums[min(i+halfSpans, keptSpans)] - sums[i+1-halfSpans]
		mean := float64(own+earlier) / 2
		if float64(repeats) > part*(limits.Ratio*mean+limits.Share) {
			return false
		}
	}
	return true
}

// kept returns a span by its place among those that are kept, the oldest first.
func (r *Repeats) kept(i int) repeatSpan {
	number := r.last - keptSpans + 1 + i
	if number < 0 {
		return repeatSpan{}
	}
	return r.spans[number%keptSpans]
}

func (r *Repeats) book(at time.Time, came repeatSpan) {
	limits := r.limits()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(r.clock.Now(), limits.Window)
	number := r.number(at)
	if at.Before(r.began) || number <= r.last-keptSpans || number > r.last {
		return
	}
	span := &r.spans[number%keptSpans]
	span.firsts = max(0, span.firsts+came.firsts)
	span.repeats = max(0, span.repeats+came.repeats)
}

// advance empties the spans that have begun since the last call, and all of them where the window has changed.
// It is called with mu held.
func (r *Repeats) advance(now time.Time, window time.Duration) {
	if window != r.window {
		r.restart(now, window)
	}
	newest := r.number(now)
	r.last = max(r.last, newest-keptSpans)
	for r.last < newest {
		r.last++
		r.spans[r.last%keptSpans] = repeatSpan{}
	}
}

func (r *Repeats) restart(now time.Time, window time.Duration) {
	r.began, r.last, r.window = now, 0, window
	clear(r.spans[:])
}

// number returns the number of the span in which a time lies.
func (r *Repeats) number(at time.Time) int {
	if r.window == 0 {
		return 0
	}
	return int(at.Sub(r.began) * (2 * halfSpans) / r.window)
}

// Package limiter adapts how many requests one upstream runs at once. It holds no locks and starts
// no goroutines: its owner serialises the calls and passes the time in.
package limiter

import (
	"math"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/asserter"
)

const (
	baselineSmoothing = 0.01
	decrease          = 0.7
	decreaseInterval  = 50 * time.Millisecond
	failureSmoothing  = 0.1
	// latencyFloor is the part of the slots that slow answers alone do not cut below: the slots are
	// the upstream's own word, and a lower limit loses capacity where slowness has other causes.
	latencyFloor    = 0.5
	minLimit        = 1.0
	recentSmoothing = 0.05
	slowStartPart   = 4
	tolerance       = 2.0
	windowSamples   = 20
)

// Result is how a request ended at the upstream.
type Result int

// The results.
const (
	// ResultAnswered is an answer other than an overload or failure.
	ResultAnswered Result = iota
	// ResultFailed is an error answer, a shed request, a timeout or a lost connection.
	ResultFailed
)

// Limiter lowers the limit when the latency rises above its baseline or requests fail, and raises
// it while the limit is used (additive increase, multiplicative decrease; Chiu and Jain, 1989).
type Limiter struct {
	baseline    float64
	crowding    crowding
	failureRate float64
	lastCut     time.Time
	limit       float64
	recent      float64
	reported    bool
	samples     int
	slots       int
	starting    bool
}

// New returns a limiter for an upstream that has just started and announced slots.
func New(slots int) *Limiter {
	l := &Limiter{slots: slots}
	l.Restart()
	return l
}

// Restart begins the slow start of an upstream that is new. One that reports its load needs none.
func (l *Limiter) Restart() {
	if l.reported {
		*l = Limiter{crowding: l.crowding, limit: math.Max(minLimit, float64(l.slots)), reported: true, slots: l.slots}
		return
	}
	*l = Limiter{
		limit:    math.Max(minLimit, float64(l.slots)/slowStartPart),
		slots:    l.slots,
		starting: true,
	}
}

// SetSlots changes the announced number of slots, which bounds the limit.
func (l *Limiter) SetSlots(slots int) {
	if l.reported && slots != l.slots {
		l.crowding = crowding{}
		l.limit = math.Max(minLimit, float64(slots))
	}
	l.slots = slots
	l.limit = math.Min(l.limit, float64(max(1, slots)))
}

// Reported tells the limiter that the upstream reports its load. Then slow answers and failures are no
// reason for a lower limit: an upstream that has no room says so, and fewer requests at once don't mend
// another fault. Only an upstream that gets more done with fewer requests at once is given fewer.
func (l *Limiter) Reported() {
	if l.reported {
		return
	}
	l.reported = true
	l.Restart()
}

// Limit returns how many requests may run at once; it is at least 1 and at most the slots.
func (l *Limiter) Limit() int {
	limit := int(l.limit)
	asserter.That(limit >= 1 && limit <= max(1, l.slots), "limiter-range", "%d of %d", limit, l.slots)
	return limit
}

// FailureRate returns the smoothed part of the requests that failed, from 0 to 1.
func (l *Limiter) FailureRate() float64 {
	return l.failureRate
}

// Latency returns the smoothed time of recent answers.
func (l *Limiter) Latency() time.Duration {
	return time.Duration(l.recent * float64(time.Second))
}

// Sample is what one request tells of its upstream.
type Sample struct {
	// Class is the kind of request; requests of one class are expected to take alike.
	Class string
	// Latency is the time at the upstream.
	Latency time.Duration
	Result  Result
	// Running is the number of requests that ran beside this one, itself included: the mean of those at its
	// start and at its end.
	Running int
	// Steady is true where the upstream has told that its VM ran at its usual speed.
	Steady bool
}

// Observe learns from a request that has ended.
func (l *Limiter) Observe(now time.Time, sample Sample) {
	failed := 0.0
	if sample.Result == ResultFailed {
		failed = 1
	}
	l.failureRate += failureSmoothing * (failed - l.failureRate)
	if l.reported {
		l.observeCrowding(now, sample)
		return
	}
	if sample.Result == ResultFailed {
		l.cut(now, minLimit)
		return
	}
	l.learn(sample.Latency.Seconds())
	if l.samples >= windowSamples && l.recent > tolerance*l.baseline {
		l.cut(now, latencyFloor*float64(l.slots))
		return
	}
	l.raise(sample.Running)
}

// observeCrowding leaves slots free where the upstream gets more done so.
func (l *Limiter) observeCrowding(now time.Time, sample Sample) {
	if sample.Result == ResultFailed || !sample.Steady || l.slots == 0 {
		return
	}
	l.crowding.observe(sample.Class, sample.Latency, float64(sample.Running)/float64(l.slots))
	l.limit = float64(l.crowding.limit(now, l.slots))
}

// Best returns the part of the slots with which the upstream gets most done, or zero where that was not
// learned here.
func (l *Limiter) Best() float64 {
	if !l.reported {
		return 0
	}
	return l.crowding.best
}

// Adopt takes what the node of another upstream of the same service has learned. It is used until this
// one has learned as much itself.
func (l *Limiter) Adopt(now time.Time, best float64) {
	if !l.reported {
		return
	}
	l.crowding.adopt(now, best)
	l.limit = float64(l.crowding.limit(now, l.slots))
}

func (l *Limiter) learn(seconds float64) {
	l.samples++
	if l.samples == 1 {
		l.recent = seconds
		l.baseline = seconds
		return
	}
	l.recent += recentSmoothing * (seconds - l.recent)
	// The baseline follows a lasting change, so that a lower limit is not kept for ever.
	l.baseline += max(baselineSmoothing, 1/float64(l.samples)) * (seconds - l.baseline)
}

// cut lowers the limit at most once in each interval and not below floor.
func (l *Limiter) cut(now time.Time, floor float64) {
	l.starting = false
	if now.Sub(l.lastCut) < decreaseInterval {
		return
	}
	l.lastCut = now
	l.limit = math.Max(math.Min(l.limit, math.Max(minLimit, floor)), l.limit*decrease)
}

func (l *Limiter) raise(running int) {
	if float64(running) < l.limit/2 {
		return
	}
	step := 1 / l.limit
	if l.starting {
		step = 1
	}
	l.limit = math.Min(l.limit+step, float64(max(1, l.slots)))
}

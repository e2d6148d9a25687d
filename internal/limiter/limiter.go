// Package limiter adapts the concurrency limit of one upstream: how many requests it runs at once. It uses no
// locks and starts no goroutines: the owner serialises the calls and passes the current time.
package limiter

import (
	"math"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/asserter"
)

const (
	// baselineSmoothing, failureSmoothing and recentSmoothing are the weights of a new sample in the baseline
	// latency, the failure rate and the recent latency.
	baselineSmoothing = 0.01
	// decreaseFactor is the factor by which the limit is lowered, at most once per decreaseInterval.
	decreaseFactor   = 0.7
	decreaseInterval = 50 * time.Millisecond
	failureSmoothing = 0.1
	// latencyFloorFraction is the fraction of the slots below which slow answers alone do not lower the
	// limit. The upstream itself has announced the slots, and a lower limit loses capacity if the answers
	// are slow for a reason other than overload.
	latencyFloorFraction = 0.5
	minLimit             = 1.0
	recentSmoothing      = 0.05
	// slowStartDivisor is the divisor of the slots that gives the limit at the beginning of the slow start.
	slowStartDivisor = 4
	// latencyTolerance is the multiple of the baseline above which the recent latency lowers the limit.
	latencyTolerance = 2.0
	// windowSamples is the number of samples before which the latency does not lower the limit.
	windowSamples = 20
)

// Result is how a request ended at the upstream.
type Result int

// The values of Result.
const (
	// ResultAnswered is an answer that signals neither overload nor failure.
	ResultAnswered Result = iota
	// ResultFailed is an answer that signals overload or failure, a timeout, or a lost connection.
	ResultFailed
)

// Limiter lowers the limit when the latency rises above its baseline or requests fail, and raises it while the
// limit is in use (additive increase, multiplicative decrease; Chiu and Jain, 1989). For an upstream that
// reports its load, it instead uses the number of slots with the highest throughput; see SetReportsLoad. It is
// not safe for concurrent use.
type Limiter struct {
	baselineLatency float64
	contention      contention
	failureRate     float64
	lastDecrease    time.Time
	limit           float64
	recentLatency   float64
	reportsLoad     bool
	samples         int
	slots           int
	inSlowStart     bool
}

// New returns a limiter for an upstream that has just started and has announced the number of slots.
func New(slots int) *Limiter {
	l := &Limiter{slots: slots}
	l.Restart()
	return l
}

// Restart begins the slow start of an upstream that has just started. An upstream that reports its load needs
// none and gets all of its slots at once.
func (l *Limiter) Restart() {
	if l.reportsLoad {
		*l = Limiter{contention: l.contention, limit: math.Max(minLimit, float64(l.slots)), reportsLoad: true, slots: l.slots}
		return
	}
	*l = Limiter{
		limit:       math.Max(minLimit, float64(l.slots)/slowStartDivisor),
		slots:       l.slots,
		inSlowStart: true,
	}
}

// SetSlots changes the announced number of slots, which is the upper bound of the limit.
func (l *Limiter) SetSlots(slots int) {
	if l.reportsLoad && slots != l.slots {
		l.contention = contention{}
		l.limit = math.Max(minLimit, float64(slots))
	}
	l.slots = slots
	l.limit = math.Min(l.limit, float64(max(1, slots)))
}

// SetReportsLoad records that the upstream reports its load. From then on slow answers and failures do not lower
// the limit: such an upstream reports when it is full, and fewer concurrent requests do not help against another
// fault. The limit is lowered only where the upstream has a higher throughput with fewer concurrent requests.
func (l *Limiter) SetReportsLoad() {
	if l.reportsLoad {
		return
	}
	l.reportsLoad = true
	l.Restart()
}

// Limit returns the maximum number of concurrent requests; it is at least 1 and at most the number of slots.
func (l *Limiter) Limit() int {
	limit := int(l.limit)
	asserter.That(limit >= 1 && limit <= max(1, l.slots), "limiter-range", "%d of %d", limit, l.slots)
	return limit
}

// FailureRate returns the smoothed fraction of the requests that failed, from 0 to 1.
func (l *Limiter) FailureRate() float64 {
	return l.failureRate
}

// Latency returns the smoothed latency of recent answers. It is not updated once the upstream reports its load.
func (l *Limiter) Latency() time.Duration {
	return time.Duration(l.recentLatency * float64(time.Second))
}

// Sample is the observation of one request that has ended at the upstream.
type Sample struct {
	// Class is the kind of request. Requests of one class are expected to take about the same time.
	Class string
	// Latency is the time that the request took at the upstream.
	Latency time.Duration
	Result  Result
	// Running is the number of concurrent requests, including this one: the mean of the numbers at its start
	// and at its end.
	Running int
	// Steady is true if the upstream has reported that its VM was running at its usual speed.
	Steady bool
}

// Observe updates the limit and the failure rate from a request that has ended.
func (l *Limiter) Observe(now time.Time, sample Sample) {
	failed := 0.0
	if sample.Result == ResultFailed {
		failed = 1
	}
	l.failureRate += failureSmoothing * (failed - l.failureRate)
	if l.reportsLoad {
		l.observeContention(now, sample)
		return
	}
	if sample.Result == ResultFailed {
		l.lower(now, minLimit)
		return
	}
	l.updateLatency(sample.Latency.Seconds())
	if l.samples >= windowSamples && l.recentLatency > latencyTolerance*l.baselineLatency {
		l.lower(now, latencyFloorFraction*float64(l.slots))
		return
	}
	l.raise(sample.Running)
}

// observeContention sets the limit to the number of slots with the highest throughput. Failed samples and those
// that are not steady are ignored.
func (l *Limiter) observeContention(now time.Time, sample Sample) {
	if sample.Result == ResultFailed || !sample.Steady || l.slots == 0 {
		return
	}
	l.contention.observe(sample.Class, sample.Latency, float64(sample.Running)/float64(l.slots))
	l.limit = float64(l.contention.limit(now, l.slots))
}

// BestFraction returns the fraction of the slots with the highest throughput of the upstream, or zero if it has
// not been learned here.
func (l *Limiter) BestFraction() float64 {
	if !l.reportsLoad {
		return 0
	}
	return l.contention.bestFraction
}

// Adopt takes the best fraction of the slots that the node of another upstream of the same service has learned.
// It is used for adoptedTTL, or until this limiter has learned its own. It is ignored if the upstream does not
// report its load.
func (l *Limiter) Adopt(now time.Time, fraction float64) {
	if !l.reportsLoad {
		return
	}
	l.contention.adopt(now, fraction)
	l.limit = float64(l.contention.limit(now, l.slots))
}

// updateLatency adds the latency of an answer to the recent latency and to its baseline.
func (l *Limiter) updateLatency(seconds float64) {
	l.samples++
	if l.samples == 1 {
		l.recentLatency = seconds
		l.baselineLatency = seconds
		return
	}
	l.recentLatency += recentSmoothing * (seconds - l.recentLatency)
	// The baseline follows a lasting change, so that the limit does not stay low forever.
	l.baselineLatency += max(baselineSmoothing, 1/float64(l.samples)) * (seconds - l.baselineLatency)
}

// lower reduces the limit, at most once per decreaseInterval and not below floor. It ends the slow start.
func (l *Limiter) lower(now time.Time, floor float64) {
	l.inSlowStart = false
	if now.Sub(l.lastDecrease) < decreaseInterval {
		return
	}
	l.lastDecrease = now
	l.limit = math.Max(math.Min(l.limit, math.Max(minLimit, floor)), l.limit*decreaseFactor)
}

// raise increases the limit if at least half of it is in use: by 1 for each answer during the slow start, and
// after it by about 1 for as many answers as the limit.
func (l *Limiter) raise(running int) {
	if float64(running) < l.limit/2 {
		return
	}
	step := 1 / l.limit
	if l.inSlowStart {
		step = 1
	}
	l.limit = math.Min(l.limit+step, float64(max(1, l.slots)))
}

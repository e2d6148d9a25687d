package limiter

import (
	"math/rand/v2"
	"testing"
	"time"
)

// contendedUpstream is a model of an upstream that reports its load. While more than the fraction knee of its
// slots is in use, as in a burst on a full fleet, all requests take longer by the factor slowdown. Requests of
// class "calls" then also wait for other upstreams and take longer by callsFactor.
type contendedUpstream struct {
	callsFactor float64
	knee        float64
	random      *rand.Rand
	slowdown    float64
}

func (u *contendedUpstream) answer(class string, running, slots int) time.Duration {
	seconds := 0.1 * (0.7 + 0.6*u.random.Float64())
	if float64(running) > u.knee*float64(slots) {
		seconds *= u.slowdown
		if class == "calls" {
			seconds *= u.callsFactor
		}
	}
	return time.Duration(seconds * float64(time.Second))
}

// runLoad runs requests of two classes for the given time, with a concurrency that cycles from 1 to the limit.
// It returns the limit at the end.
func (u *contendedUpstream) runLoad(l *Limiter, now *time.Time, slots int, d time.Duration) int {
	classes := []string{"calls", "plain"}
	started := *now
	for n := 0; now.Sub(started) < d; n++ {
		running := 1 + n%l.Limit()
		class := classes[u.random.IntN(len(classes))]
		latency := u.answer(class, running, slots)
		*now = now.Add(latency / time.Duration(running))
		l.Observe(*now, Sample{Class: class, Latency: latency, Running: running, Steady: true})
	}
	return l.Limit()
}

func newReportingLimiter(slots int) *Limiter {
	l := New(slots)
	l.SetReportsLoad()
	return l
}

// TestBurstOnFullFleet runs upstreams up to their limit. The limit must leave slots free only where an upstream has
// a lower throughput when nearly full; slow calls to other services must not lower it.
func TestBurstOnFullFleet(t *testing.T) {
	tests := []struct {
		name     string
		upstream contendedUpstream
		slots    int
		want     int
	}{
		{"slower above four fifths", contendedUpstream{callsFactor: 1, knee: 0.8, slowdown: 1.7}, 12, 9},
		{"eleven slots", contendedUpstream{callsFactor: 1, knee: 0.8, slowdown: 1.7}, 11, 8},
		{"hundred slots", contendedUpstream{callsFactor: 1, knee: 0.8, slowdown: 1.7}, 100, 80},
		{"a little slower", contendedUpstream{callsFactor: 1, knee: 0.8, slowdown: 1.1}, 12, 12},
		{"at its usual speed", contendedUpstream{callsFactor: 1, knee: 1, slowdown: 1}, 9, 9},
		{"slow calls to other services", contendedUpstream{callsFactor: 3, knee: 0.6, slowdown: 1}, 12, 12},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.upstream.random = rand.New(rand.NewPCG(1, 2))
			l, now := newReportingLimiter(test.slots), time.Unix(0, 0)
			if got := test.upstream.runLoad(l, &now, test.slots, 15*time.Second); got != test.want {
				t.Errorf("%d of %d slots are used, want %d", got, test.slots, test.want)
			}
		})
	}
}

// TestContentionIsRelearned uses an upstream that is slow when nearly full and later is not. The limit must not
// stay low after relearnInterval.
func TestContentionIsRelearned(t *testing.T) {
	u := &contendedUpstream{callsFactor: 1, knee: 0.8, random: rand.New(rand.NewPCG(1, 3)), slowdown: 1.7}
	l, now := newReportingLimiter(12), time.Unix(0, 0)
	if got := u.runLoad(l, &now, 12, 15*time.Second); got != 9 {
		t.Fatalf("%d of 12 slots are used, want 9", got)
	}
	u.slowdown = 1
	if got := u.runLoad(l, &now, 12, relearnInterval+10*time.Second); got != 12 {
		t.Errorf("%d of 12 slots are used once the upstream is no longer slowed, want 12", got)
	}
}

// TestRestartedNodeAdoptsFromSiblings gives a new limiter the best fraction that a sibling has learned. It must be
// used at once, must not be reported as learned here, and must expire.
func TestRestartedNodeAdoptsFromSiblings(t *testing.T) {
	l, now := newReportingLimiter(11), time.Unix(0, 0)
	l.Adopt(now, 0.73)
	if got := l.Limit(); got != 8 {
		t.Errorf("%d of 11 slots are used, want 8", got)
	}
	if l.BestFraction() != 0 {
		t.Error("the adopted fraction is reported as learned here")
	}
	now = now.Add(2 * adoptedTTL)
	l.Observe(now, Sample{Class: "plain", Latency: time.Second, Running: 1, Steady: true})
	if got := l.Limit(); got != 11 {
		t.Errorf("%d of 11 slots are used after the adopted limit has expired", got)
	}
}

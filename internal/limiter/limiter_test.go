package limiter

import (
	"math/rand/v2"
	"testing"
	"time"
)

// upstream is a model of a server whose answers take longer when more requests run than its capacity.
type upstream struct {
	capacity float64
	random   *rand.Rand
	service  time.Duration
}

func (u *upstream) answer(running int) time.Duration {
	slowdown := max(1, float64(running)/u.capacity)
	return time.Duration(float64(u.service) * slowdown * u.random.ExpFloat64())
}

// serve runs count requests at the limit and returns the limit after each of them.
func serve(l *Limiter, u *upstream, now *time.Time, count int) []int {
	limits := make([]int, 0, count)
	for range count {
		running := l.Limit()
		latency := u.answer(running)
		*now = now.Add(latency / time.Duration(running))
		l.Observe(*now, Sample{Latency: latency, Running: running})
		limits = append(limits, l.Limit())
	}
	return limits
}

func meanLimit(limits []int) float64 {
	sum := 0
	for _, limit := range limits {
		sum += limit
	}
	return float64(sum) / float64(len(limits))
}

func TestSlowStartReachesAllSlots(t *testing.T) {
	l, now := New(12), time.Unix(0, 0)
	if first := l.Limit(); first > 3 {
		t.Errorf("a new upstream gets %d concurrent requests", first)
	}
	u := &upstream{capacity: 100, random: rand.New(rand.NewPCG(1, 1)), service: 10 * time.Millisecond}
	limits := serve(l, u, &now, 2000)
	for i, limit := range limits {
		if limit == 12 {
			t.Logf("all slots after %d answers", i+1)
			break
		}
	}
	if got := meanLimit(limits[1000:]); got < 11.5 {
		t.Errorf("a steady upstream gets %.1f of 12 slots", got)
	}
}

// TestCapacityDrop reduces the capacity of the server to a quarter, as a neighbour's burst does. The limit must
// fall within a second, and recover when the burst is over.
func TestCapacityDrop(t *testing.T) {
	l, now := New(12), time.Unix(0, 0)
	u := &upstream{capacity: 12, random: rand.New(rand.NewPCG(2, 1)), service: 10 * time.Millisecond}
	serve(l, u, &now, 2000)
	began := now
	u.capacity = 3
	for l.Limit() > 8 && now.Sub(began) < time.Minute {
		serve(l, u, &now, 1)
	}
	t.Logf("the limit is %d after %s", l.Limit(), now.Sub(began))
	if now.Sub(began) > time.Second {
		t.Errorf("the limit took %s to fall", now.Sub(began))
	}
	u.capacity = 12
	if got := meanLimit(serve(l, u, &now, 4000)[2000:]); got < 11 {
		t.Errorf("the limit is %.1f of 12 after the burst", got)
	}
}

func TestFailuresReduceLimitToOne(t *testing.T) {
	l, now := New(12), time.Unix(0, 0)
	u := &upstream{capacity: 100, random: rand.New(rand.NewPCG(3, 1)), service: 10 * time.Millisecond}
	serve(l, u, &now, 500)
	for range 200 {
		now = now.Add(5 * time.Millisecond)
		l.Observe(now, Sample{Latency: 100 * time.Microsecond, Result: ResultFailed, Running: l.Limit()})
	}
	if l.Limit() != 1 || l.FailureRate() < 0.9 {
		t.Errorf("a failing upstream gets %d concurrent requests, failure rate %.2f", l.Limit(), l.FailureRate())
	}
	if latency := l.Latency(); latency < 2*time.Millisecond {
		t.Errorf("quick failures count as a latency of %s", latency)
	}
}

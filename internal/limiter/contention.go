package limiter

import (
	"math"
	"time"
)

const (
	// uncontendedFraction is the fraction of the slots up to which an upstream is taken to run at its usual
	// speed.
	uncontendedFraction = 0.5
	// contentionLevels is the number of levels into which the slots above uncontendedFraction are divided.
	contentionLevels = 5
	// minThroughputFraction is the fraction of the throughput of all slots that a smaller number of slots must
	// exceed to be preferred. Fewer slots in use also mean that each request is answered sooner.
	minThroughputFraction = 1.0
	// relearnInterval is how long a lower limit is kept before the slots above it are tried again.
	relearnInterval = time.Minute
	// adoptedTTL is how long a lower limit that was learned at another upstream is used.
	adoptedTTL = 10 * time.Second
	// adoptionPause is how long no limit is adopted from another upstream once the slots above a lower limit
	// are tried again.
	adoptionPause = 2 * time.Second
	// minSamples is the number of samples from which a mean counts as known.
	minSamples = 16
	// maxMeanSamples limits the weight of a mean, in samples.
	maxMeanSamples = 64
	// roundingError is added to a number of slots that is computed from a fraction before it is rounded down,
	// because it can be slightly too low.
	roundingError = 0.005
)

// fadingMean is a mean in which the weight of old samples decays.
type fadingMean struct {
	samples int
	value   float64
}

func (m *fadingMean) observe(value float64) {
	m.samples = min(m.samples+1, maxMeanSamples)
	m.value += (value - m.value) / float64(m.samples)
}

func (m *fadingMean) isKnown() bool {
	return m.samples >= minSamples
}

// classLatency holds the mean latencies of one class of requests, in seconds: with up to uncontendedFraction
// of the slots in use, and at each level above.
type classLatency struct {
	uncontended fadingMean
	levels      [contentionLevels]fadingMean
}

// usualLatency returns the latency, in seconds, with the fewest slots in use for which it is known. It reports
// false if none is known below the level.
func (c *classLatency) usualLatency(level int) (float64, bool) {
	if c.uncontended.isKnown() {
		return c.uncontended.value, true
	}
	for i := range level {
		if c.levels[i].isKnown() {
			return c.levels[i].value, true
		}
	}
	return 0, false
}

// contention learns how much longer requests take at an upstream when many of its slots are in use. It compares
// only requests of the same class with each other, and uses the class that slows down least: the time that a
// request spends on calls to other services does not indicate contention at this upstream.
type contention struct {
	// adoptedFraction is the best fraction of the slots as learned at another upstream. It is valid until
	// adoptedUntil.
	adoptedFraction float64
	adoptedUntil    time.Time
	// bestFraction is the best fraction of the slots as learned here; zero if it is not known.
	bestFraction float64
	classes      map[string]*classLatency
	// adoptAfter is the time before which nothing is adopted, because the slots above the limit are tried again.
	adoptAfter time.Time
	// loweredAt is when the limit first fell below the slots since the last reset of the levels; zero if it
	// has not.
	loweredAt time.Time
}

// observe adds the latency of a request of the class that ran while the given fraction of the slots, including
// its own, was in use.
func (c *contention) observe(class string, latency time.Duration, fraction float64) {
	if c.classes == nil {
		c.classes = make(map[string]*classLatency)
	}
	stats, ok := c.classes[class]
	if !ok {
		stats = &classLatency{}
		c.classes[class] = stats
	}
	if fraction <= uncontendedFraction {
		stats.uncontended.observe(latency.Seconds())
		return
	}
	stats.levels[levelOf(fraction)].observe(latency.Seconds())
}

// levelOf returns the level of a fraction of the slots above uncontendedFraction.
func levelOf(fraction float64) int {
	level := int(math.Ceil((fraction-uncontendedFraction)/(1-uncontendedFraction)*contentionLevels)) - 1
	return min(max(0, level), contentionLevels-1)
}

// slotsAt returns the number of slots at the upper end of a level.
func slotsAt(level, slots int) int {
	fraction := uncontendedFraction + (1-uncontendedFraction)*float64(level+1)/contentionLevels
	return int(fraction*float64(slots) + roundingError)
}

// latencyRatio returns the ratio of the latency at a level to the usual one, of the class that slows down least;
// it is at least 1. It reports false if any class with a known usual latency has no known one at the level.
func (c *contention) latencyRatio(level int) (float64, bool) {
	least, found := 0.0, false
	for _, class := range c.classes {
		usual, ok := class.usualLatency(level)
		if !ok {
			continue
		}
		if !class.levels[level].isKnown() {
			return 0, false
		}
		if ratio := class.levels[level].value / usual; !found || ratio < least {
			least, found = ratio, true
		}
	}
	return max(1, least), found
}

// limit returns the number of slots with the highest throughput. Until that is known here it returns the adopted
// number, or all slots.
func (c *contention) limit(now time.Time, slots int) int {
	if !c.loweredAt.IsZero() && now.Sub(c.loweredAt) > relearnInterval {
		c.resetLevels(now)
	}
	fullRatio, ok := c.latencyRatio(contentionLevels - 1)
	if !ok {
		c.bestFraction = 0
		if now.Before(c.adoptedUntil) {
			return max(1, int(c.adoptedFraction*float64(slots)+roundingError))
		}
		return slots
	}
	best, bestThroughput := slots, minThroughputFraction*float64(slots)/fullRatio
	ratio := 1.0
	for level := range contentionLevels - 1 {
		if known, ok := c.latencyRatio(level); ok {
			ratio = known
		}
		used := slotsAt(level, slots)
		if throughput := float64(used) / ratio; throughput > bestThroughput {
			best, bestThroughput = used, throughput
		}
	}
	if best < slots && c.loweredAt.IsZero() {
		c.loweredAt = now
	}
	c.bestFraction = float64(best) / float64(slots)
	return max(1, best)
}

// adopt records the best fraction of the slots that was learned at another upstream of the service.
func (c *contention) adopt(now time.Time, fraction float64) {
	if now.Before(c.adoptAfter) {
		return
	}
	c.adoptedFraction = fraction
	c.adoptedUntil = now.Add(adoptedTTL)
}

// resetLevels clears the latencies of all levels, so that the slots above the limit are tried again.
func (c *contention) resetLevels(now time.Time) {
	c.adoptedUntil = time.Time{}
	c.adoptAfter = now.Add(adoptionPause)
	c.loweredAt = time.Time{}
	for _, class := range c.classes {
		class.levels = [contentionLevels]fadingMean{}
	}
}

package limiter

import (
	"math"
	"time"
)

const (
	// calmPart is the part of the slots up to which an upstream works at its usual speed.
	calmPart = 0.5
	// crowdedLevels divide the slots above calmPart.
	crowdedLevels = 5
	// crowdingGain is the part of what all slots get done that fewer must get done as well: each request is
	// answered sooner then.
	crowdingGain = 1.0
	// crowdingTime is how long a lower limit is kept before the slots above it are tried again, and
	// adoptedTime how long one that was learned elsewhere is.
	crowdingTime = time.Minute
	adoptedTime  = 10 * time.Second
	// freshTime is for how long after an own trial nothing is adopted.
	freshTime  = 2 * time.Second
	minSamples = 16
	// meanSamples bounds how many samples a mean weighs.
	meanSamples = 64
	// roundingError is by how much a number of slots that is worked out by parts may fall short.
	roundingError = 0.005
)

// average is a mean in which old samples fade.
type average struct {
	samples int
	value   float64
}

func (a *average) observe(value float64) {
	a.samples = min(a.samples+1, meanSamples)
	a.value += (value - a.value) / float64(a.samples)
}

func (a *average) isKnown() bool {
	return a.samples >= minSamples
}

// crowdedClass holds the times of one class of requests, in seconds: with few slots in use and at each
// level above.
type crowdedClass struct {
	calm   average
	levels [crowdedLevels]average
}

// usual returns the time with the fewest slots in use that is known. It reports false where none is known
// below the level.
func (c *crowdedClass) usual(level int) (float64, bool) {
	if c.calm.isKnown() {
		return c.calm.value, true
	}
	for i := range level {
		if c.levels[i].isKnown() {
			return c.levels[i].value, true
		}
	}
	return 0, false
}

// crowding learns how much longer requests take at an upstream when many of its slots are in use. It
// compares requests of one class with each other and believes the class that suffers least: the time that
// a request spends on calls to other services is no sign of crowding here.
type crowding struct {
	// adopted is the part of the slots that is best used as learned elsewhere, until adoptedUntil.
	adopted      float64
	adoptedUntil time.Time
	// best is the part that is best used as learned here; zero where it is not known.
	best    float64
	classes map[string]*crowdedClass
	// fresh is until when the upper levels are tried here.
	fresh time.Time
	// lowered is when the limit was last found to be below the slots.
	lowered time.Time
}

// observe learns from a request that took the given time while part of the slots, itself included, were in
// use at its start.
func (c *crowding) observe(class string, taken time.Duration, part float64) {
	if c.classes == nil {
		c.classes = make(map[string]*crowdedClass)
	}
	known, ok := c.classes[class]
	if !ok {
		known = &crowdedClass{}
		c.classes[class] = known
	}
	if part <= calmPart {
		known.calm.observe(taken.Seconds())
		return
	}
	known.levels[levelOf(part)].observe(taken.Seconds())
}

func levelOf(part float64) int {
	level := int(math.Ceil((part-calmPart)/(1-calmPart)*crowdedLevels)) - 1
	return min(max(0, level), crowdedLevels-1)
}

// slotsAt returns how many of the slots are in use at the top of a level.
func slotsAt(level, slots int) int {
	part := calmPart + (1-calmPart)*float64(level+1)/crowdedLevels
	return int(part*float64(slots) + roundingError)
}

// stretch returns how much longer requests take at a level than with few slots in use. It reports false
// while one of the classes is not known there.
func (c *crowding) stretch(level int) (float64, bool) {
	least, found := 0.0, false
	for _, class := range c.classes {
		usual, ok := class.usual(level)
		if !ok {
			continue
		}
		if !class.levels[level].isKnown() {
			return 0, false
		}
		if one := class.levels[level].value / usual; !found || one < least {
			least, found = one, true
		}
	}
	return max(1, least), found
}

// limit returns how many slots are best used.
func (c *crowding) limit(now time.Time, slots int) int {
	if !c.lowered.IsZero() && now.Sub(c.lowered) > crowdingTime {
		c.forget(now)
	}
	full, ok := c.stretch(crowdedLevels - 1)
	if !ok {
		c.best = 0
		if now.Before(c.adoptedUntil) {
			return max(1, int(c.adopted*float64(slots)+roundingError))
		}
		return slots
	}
	best, rate := slots, crowdingGain*float64(slots)/full
	stretch := 1.0
	for level := range crowdedLevels - 1 {
		if known, ok := c.stretch(level); ok {
			stretch = known
		}
		used := slotsAt(level, slots)
		if one := float64(used) / stretch; one > rate {
			best, rate = used, one
		}
	}
	if best < slots && c.lowered.IsZero() {
		c.lowered = now
	}
	c.best = float64(best) / float64(slots)
	return max(1, best)
}

// adopt takes what was learned of another upstream of the service.
func (c *crowding) adopt(now time.Time, best float64) {
	if now.Before(c.fresh) {
		return
	}
	c.adopted = best
	c.adoptedUntil = now.Add(adoptedTime)
}

// forget makes the upper levels unknown, so that they are tried again.
func (c *crowding) forget(now time.Time) {
	c.adoptedUntil = time.Time{}
	c.fresh = now.Add(freshTime)
	c.lowered = time.Time{}
	for _, class := range c.classes {
		class.levels = [crowdedLevels]average{}
	}
}

package localizer

import (
	"math"
	"time"
)

const (
	// defaultHop is the time of a hop to another data centre and back until it is measured.
	defaultHop = time.Millisecond
	// hopRise is the part of a longer sample by which the measured time rises. It is small because the samples hold the
	// wait in the queue of the other node, which is not part of the hop.
	hopRise = 0.1
	// hopLifetime is how long a measured time is believed as it is. It then falls to half in each further hopLifetime, so that
	// a link that was slow is tried again.
	hopLifetime = 5 * time.Second
)

// hop measures the time of a hop to another data centre and back as a minimum of the samples that rises slowly.
type hop struct {
	time       time.Duration
	measuredAt time.Time
}

func (h *hop) observe(now time.Time, elapsed time.Duration) {
	if believed := h.at(now); elapsed < believed || h.measuredAt.IsZero() {
		h.time = max(0, elapsed)
	} else {
		h.time = believed + time.Duration(hopRise*float64(elapsed-believed))
	}
	h.measuredAt = now
}

// at returns what the measured time is believed to be at a later time.
func (h *hop) at(now time.Time) time.Duration {
	halvings := max(0, now.Sub(h.measuredAt)-hopLifetime).Seconds() / hopLifetime.Seconds()
	return time.Duration(float64(h.time) * math.Exp2(-halvings))
}

// hopTo returns the time of a hop to the data centre and back.
func (l *Localizer) hopTo(now time.Time, dataCentre string) time.Duration {
	if dataCentre == l.config.Home {
		return 0
	}
	if h, ok := l.hops[dataCentre]; ok {
		return h.at(now)
	}
	return defaultHop
}

package localizer

import "time"

const (
	// historyInterval is the time between two entries of a history.
	historyInterval = 50 * time.Millisecond
	// historyLength is the number of entries: enough for the age up to which reports are believed.
	historyLength = int(2*reportTrust/historyInterval) + 1
)

// history holds the values of a share over the last seconds.
type history struct {
	entries [historyLength]historyEntry
	next    int
}

type historyEntry struct {
	at    time.Time
	value float64
}

// add records the value at a time that is not before that of the last call.
func (h *history) add(now time.Time, value float64) {
	last := (h.next + historyLength - 1) % historyLength
	if now.Sub(h.entries[last].at) < historyInterval {
		return
	}
	h.entries[h.next] = historyEntry{at: now, value: value}
	h.next = (h.next + 1) % historyLength
}

// at returns the value at the time, or the oldest one.
func (h *history) at(when time.Time) float64 {
	for i := range historyLength {
		entry := h.entries[(h.next+historyLength-1-i)%historyLength]
		if entry.at.IsZero() {
			return 0
		}
		if !entry.at.After(when) {
			return entry.value
		}
	}
	return h.entries[h.next].value
}

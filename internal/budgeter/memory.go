package budgeter

import (
	"sync"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

const (
	// patience limits how long a request's body waits for room, unread.
	patience = time.Second
	// minStall is how long the body of a request must have made no progress before it makes room for others. A shorter time
	// would hit senders on links of a few megabits a second, which need 250 ms for what counts as progress.
	minStall = 500 * time.Millisecond
	// waitInterval is how often a waiting body looks for others that have stalled.
	waitInterval = 100 * time.Millisecond
)

// Memory limits the bytes that the bodies of requests and responses occupy at once in a process. Bodies that are whole are not
// given up. Where the body of a response finds no room, requests that are being received are given up, and then the largest
// response that is being received, so that small ones go on beside a sender that never stops. Where the body of a request
// finds no room, the one that has held most bytes without progress for longest is given up, if there is one; otherwise it waits
// for a time. It is safe for concurrent use.
type Memory struct {
	clock timekeeper.Clock
	// limit is in bytes, and limits are those of the classes.
	limit  int
	limits [classCount]int

	mu sync.Mutex
	// receiving holds the holdings that can be given up.
	receiving map[*Holding]struct{}
	// released signals that a holding was given up or released, or that a waiting body has to look again.
	released sync.Cond
	classes  [classCount]usage
	garbage  garbage
	// givenUp counts the bodies that were given up.
	givenUp int
}

// NewMemory returns a Memory without holdings. The limit is in bytes, for all classes together and each.
func NewMemory(limit int) *Memory {
	return NewSharedMemory(timekeeper.System{}, nil, limit, [classCount]int{limit, limit, limit})
}

// NewSharedMemory returns a Memory without holdings. The limits of the classes, in their order, bind beside the limit for all. What
// is released counts until the collector has freed it; at once if that is nil.
func NewSharedMemory(clock timekeeper.Clock, collector Collector, limit int, classLimits [classCount]int) *Memory {
	m := &Memory{clock: clock, limit: limit, limits: classLimits, receiving: make(map[*Holding]struct{})}
	m.garbage.collector = collector
	m.released.L = &m.mu
	return m
}

// Begin returns the holding of a body that is about to be received. When the body must make room for others, giveUp is called
// once, and must make the reception fail without blocking, so that the holding is released at once.
func (m *Memory) Begin(class Class, giveUp func()) *Holding {
	h := &Holding{class: class, giveUp: giveUp, memory: m, progressedAt: m.clock.Now()}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.receiving[h] = struct{}{}
	return h
}

// TryHold returns a holding of bytes that is never given up, or nil if there is no room for them now.
func (m *Memory) TryHold(class Class, bytes int) *Holding {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := &Holding{class: class, memory: m}
	if !m.fits(class, bytes) {
		return nil
	}
	m.classes[class].used += bytes
	h.bytes = bytes
	return h
}

// Used returns the bytes that bodies occupy.
func (m *Memory) Used() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.total(false)
}

// UsedBy returns the bytes that the bodies of a class occupy.
func (m *Memory) UsedBy(class Class) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.classes[class].used
}

// GivenUp returns the number of bodies that were given up.
func (m *Memory) GivenUp() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.givenUp
}

// total returns the bytes of all holdings, or of those that stay. It is called with mu held.
func (m *Memory) total(staying bool) int {
	total := 0
	for _, u := range m.classes {
		total += u.used
		if staying {
			total -= u.leaving
		}
	}
	return total
}

// fits reports whether another needed bytes of a class fit now. It is called with mu held.
func (m *Memory) fits(class Class, needed int) bool {
	return m.fitsClass(class, needed, false) && m.total(false)+m.garbage.bytes() <= m.limit-needed
}

// fitsCollected reports whether another needed bytes of a class fit once garbage is collected. It is called with mu held.
func (m *Memory) fitsCollected(class Class, needed int) bool {
	return m.fitsClass(class, needed, false) && m.total(false) <= m.limit-needed
}

func (m *Memory) fitsClass(class Class, needed int, staying bool) bool {
	used := m.classes[class].used
	if staying {
		used -= m.classes[class].leaving
	}
	return used <= m.limits[class]-needed
}

// makeRoom waits until another needed bytes fit for h, which then occupies wanted, and gives up others for that. It reports
// whether the bytes fit. It is called with mu held.
func (m *Memory) makeRoom(h *Holding, needed, wanted int) bool {
	// No room can be made for what exceeds the limits by itself.
	if wanted > min(m.limit, m.limits[h.class]) {
		return false
	}
	var waitingSince time.Time
	for !m.fits(h.class, needed) {
		if m.fitsCollected(h.class, needed) {
			m.collect()
		} else if m.fitsClass(h.class, needed, true) && m.total(true) <= m.limit-needed {
			m.released.Wait()
		} else if other := m.victim(h, needed, wanted); other != nil {
			m.giveUp(other)
		} else if h.class == ClassAnswer {
			return false
		} else if waitingSince.IsZero() {
			waitingSince = m.clock.Now()
		} else if m.clock.Now().Sub(waitingSince) >= patience {
			return false
		} else {
			m.wait()
		}
		if h.isGivenUp {
			return false
		}
	}
	return true
}

// wait waits until a holding is released, or for waitInterval. It is called with mu held.
func (m *Memory) wait() {
	timer := m.clock.AfterFunc(waitInterval, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.released.Broadcast()
	})
	defer timer.Stop()
	m.released.Wait()
}

// victim returns the holding that is to make room for h, or nil. It is called with mu held.
func (m *Memory) victim(h *Holding, needed, wanted int) *Holding {
	isOwnLimit := !m.fitsClass(h.class, needed, true)
	switch {
	case h.class == ClassRequest || isOwnLimit && h.class == ClassControl:
		return m.stalled(h)
	case !isOwnLimit:
		if largest := m.largest(ClassRequest); largest != nil && largest.bytes > 0 {
			return largest
		}
	}
	if h.class != ClassAnswer {
		return nil
	}
	if largest := m.largest(ClassAnswer); largest != nil && largest.bytes > wanted {
		return largest
	}
	return nil
}

// giveUp gives up the body of h. It is called with mu held.
func (m *Memory) giveUp(h *Holding) {
	h.isGivenUp = true
	m.givenUp++
	m.classes[h.class].leaving += h.bytes
	delete(m.receiving, h)
	h.giveUp()
	m.released.Broadcast()
}

// largest returns the largest holding of a class that can be given up, or nil. It is called with mu held.
func (m *Memory) largest(class Class) *Holding {
	var largest *Holding
	for h := range m.receiving {
		if h.class == class && (largest == nil || h.bytes > largest.bytes) {
			largest = h
		}
	}
	return largest
}

// stalled returns the holding of h's class that has made no progress for minStall or longer with the largest product of bytes
// and that time, if the product exceeds that of h. It returns nil if there is none. It is called with mu held.
func (m *Memory) stalled(h *Holding) *Holding {
	now := m.clock.Now()
	var found *Holding
	highest := float64(h.bytes) * now.Sub(h.progressedAt).Seconds()
	for other := range m.receiving {
		stall := now.Sub(other.progressedAt)
		if other == h || other.class != h.class || stall < minStall {
			continue
		}
		if product := float64(other.bytes) * stall.Seconds(); product > highest {
			found, highest = other, product
		}
	}
	return found
}

package budgeter

import "sync"

// Memory limits the bytes that the bodies of responses occupy at once in a process. Where a body finds no room, the largest
// one that is being received is given up, so that small ones go on beside a sender that never stops. Bodies that are whole are
// not given up. It is safe for concurrent use.
type Memory struct {
	// limit is in bytes.
	limit int

	mu sync.Mutex
	// leaving is the part of used that belongs to holdings which were given up and are not released yet.
	leaving int
	// receiving holds the holdings that can be given up.
	receiving map[*Holding]struct{}
	// released signals that a holding was given up or released.
	released sync.Cond
	// used is the sum of the bytes of all holdings.
	used int
}

// NewMemory returns a Memory without holdings. The limit is in bytes.
func NewMemory(limit int) *Memory {
	m := &Memory{limit: limit, receiving: make(map[*Holding]struct{})}
	m.released.L = &m.mu
	return m
}

// Begin returns the holding of a body that is about to be received. When the body must make room for others, giveUp is called
// once, and must make the reception fail without blocking, so that the holding is released at once.
func (m *Memory) Begin(giveUp func()) *Holding {
	h := &Holding{giveUp: giveUp, memory: m}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.receiving[h] = struct{}{}
	return h
}

// Used returns the bytes that bodies occupy.
func (m *Memory) Used() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// makeRoom waits until another needed bytes fit for h, and gives up the largest bodies that are being received for that, but none
// that is not larger than wanted. It reports whether the bytes fit. It is called with mu held.
func (m *Memory) makeRoom(h *Holding, needed, wanted int) bool {
	for m.used+needed > m.limit {
		if m.used-m.leaving+needed <= m.limit {
			m.released.Wait()
		} else if largest := m.largest(); largest == nil || largest.bytes <= wanted {
			return false
		} else {
			m.giveUp(largest)
		}
		if h.isGivenUp {
			return false
		}
	}
	return true
}

// giveUp gives up the body of h. It is called with mu held.
func (m *Memory) giveUp(h *Holding) {
	h.isGivenUp = true
	m.leaving += h.bytes
	delete(m.receiving, h)
	h.giveUp()
	m.released.Broadcast()
}

// largest returns the largest holding that can be given up, or nil. It is called with mu held.
func (m *Memory) largest() *Holding {
	var largest *Holding
	for h := range m.receiving {
		if largest == nil || h.bytes > largest.bytes {
			largest = h
		}
	}
	return largest
}

package budgeter

import "time"

// Holding is the memory of one body. Its fields are guarded by the mutex of its Memory. A nil Holding, that of a body that needs
// none, can be kept and released.
type Holding struct {
	bytes int
	class Class
	// giveUp is nil if the holding is an estimate, so that what is released of it is not garbage.
	giveUp    func()
	isGivenUp bool
	memory    *Memory
	// progressedAt is when a part of the body last arrived.
	progressedAt time.Time
}

// Resize changes the bytes that the body occupies, because a part of it has arrived. It waits for bodies that are given up for it,
// and that of a request for some time longer. It reports false, and changes nothing, if there is no room and no other body to give
// up, or if the body itself has been given up.
func (h *Holding) Resize(bytes int) bool {
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if h.isGivenUp {
		return false
	}
	if bytes > h.bytes && !m.makeRoom(h, bytes-h.bytes, bytes) {
		return false
	}
	m.free(h, h.bytes-bytes)
	m.classes[h.class].used += bytes - h.bytes
	h.bytes = bytes
	h.progressedAt = m.clock.Now()
	m.released.Broadcast()
	return true
}

// Progress records that a part of the body has arrived that needs no further bytes.
func (h *Holding) Progress() {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.progressedAt = h.memory.clock.Now()
}

// Keep records that the body is whole, so that it is not given up any more. It reports false if it has been given up.
func (h *Holding) Keep() bool {
	if h == nil {
		return true
	}
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	delete(h.memory.receiving, h)
	return !h.isGivenUp
}

// Release returns the memory of a body that is no longer needed. It can be called repeatedly.
func (h *Holding) Release() {
	if h == nil {
		return
	}
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	delete(h.memory.receiving, h)
	u := &h.memory.classes[h.class]
	h.memory.free(h, h.bytes)
	u.used -= h.bytes
	if h.isGivenUp {
		u.leaving -= h.bytes
	}
	h.bytes = 0
	h.memory.released.Broadcast()
}

// free counts bytes of h that are released, if they are positive, as garbage. It is called with mu held.
func (m *Memory) free(h *Holding, bytes int) {
	if bytes > 0 && h.giveUp != nil {
		m.garbage.add(bytes)
	}
}

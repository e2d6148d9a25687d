package budgeter

// Holding is the memory of one body. Its fields are guarded by the mutex of its Memory. A nil Holding, that of a body that needs
// none, can be kept and released.
type Holding struct {
	bytes     int
	giveUp    func()
	isGivenUp bool
	memory    *Memory
}

// Resize changes the bytes that the body occupies. It waits for bodies that are given up for it. It reports false, and changes
// nothing, if there is no room and no larger body to give up, or if the body itself has been given up.
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
	m.used += bytes - h.bytes
	h.bytes = bytes
	m.released.Broadcast()
	return true
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
	h.memory.used -= h.bytes
	if h.isGivenUp {
		h.memory.leaving -= h.bytes
	}
	h.bytes = 0
	h.memory.released.Broadcast()
}

package budgeter

// Collector is the garbage collector that frees released memory.
type Collector interface {
	// Collect collects all that is unreachable when it is called.
	Collect()
	// Cycles returns the number of cycles that have ended.
	Cycles() uint64
}

// garbage counts the released bytes that may not be collected yet. Without them, bodies that come and go fast occupied twice the
// limit between two cycles of the collector. It is guarded by the mutex of its Memory.
type garbage struct {
	// collector is nil where released memory counts as free at once.
	collector Collector
	// cycle is the number of cycles at the last look. Bytes released since then are young, those of the cycle before old.
	cycle      uint64
	old, young int
	// isCollecting is set while a body that found no room runs the collector.
	isCollecting bool
}

// add records that bytes were released.
func (g *garbage) add(bytes int) {
	if g.collector == nil {
		return
	}
	g.age()
	g.young += bytes
}

// age forgets the bytes that cycles since the last look have collected.
func (g *garbage) age() {
	if g.collector == nil {
		return
	}
	cycle := g.collector.Cycles()
	switch cycle - g.cycle {
	case 0:
	case 1:
		g.old, g.young = g.young, 0
	default:
		g.old, g.young = 0, 0
	}
	g.cycle = cycle
}

// bytes returns how much may not be collected yet.
func (g *garbage) bytes() int {
	g.age()
	return g.old + g.young
}

// collect runs the collector, or waits until another body has run it. It is called with mu held, which it releases meanwhile.
func (m *Memory) collect() {
	if m.garbage.isCollecting {
		m.released.Wait()
		return
	}
	m.garbage.isCollecting = true
	m.garbage.old, m.garbage.young = m.garbage.bytes(), 0
	m.mu.Unlock()
	m.garbage.collector.Collect()
	m.mu.Lock()
	m.garbage.cycle = m.garbage.collector.Cycles()
	m.garbage.old = 0
	m.garbage.isCollecting = false
	m.released.Broadcast()
}

// Package collector counts the cycles of the garbage collector, and starts one on request.
package collector

import (
	"runtime"
	"sync/atomic"
)

// Collector is the garbage collector of the process. It is safe for concurrent use.
type Collector struct {
	cycles *atomic.Uint64
}

// New returns a Collector that counts from now on.
func New() *Collector {
	c := &Collector{cycles: &atomic.Uint64{}}
	watchNext(c.cycles)
	return c
}

// marker is an object that each cycle collects. A pointer keeps it out of the blocks that small objects share.
type marker struct {
	_ *marker
}

// watchNext counts the next cycle, and those after it.
func watchNext(cycles *atomic.Uint64) {
	runtime.AddCleanup(&marker{}, func(cycles *atomic.Uint64) {
		cycles.Add(1)
		watchNext(cycles)
	}, cycles)
}

// Cycles returns the number of cycles that have ended. What became unreachable at one number has been collected two later, since a
// cycle may have been under way.
func (c *Collector) Cycles() uint64 {
	return c.cycles.Load()
}

// Collect collects all that is unreachable when it is called.
func (*Collector) Collect() {
	runtime.GC()
}

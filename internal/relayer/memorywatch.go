package relayer

import (
	"sync"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/budgeter"
	"github.com/marigoldrelay/marigoldrelay/internal/logger"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

// shortage is what there is too little of.
type shortage string

const (
	shortageConnections shortage = "connections"
	shortageMemory      shortage = "memory"
)

// shortageInterval is how long there must be no shortage before the next one is logged, and that the last one is over.
const shortageInterval = 10 * time.Second

// memoryWatch logs when a shortage for requests begins and when it is over. It is safe for concurrent use.
type memoryWatch struct {
	clock  timekeeper.Clock
	log    *logger.Component
	memory *budgeter.Memory

	mu sync.Mutex
	// count is the number of requests or connections that the present shortage has hit; zero if there is none.
	count int
	last  time.Time
}

// report records that a shortage has hit a request or a connection.
func (w *memoryWatch) report(kind shortage) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last = w.clock.Now()
	w.count++
	if w.count > 1 {
		return
	}
	w.log.Warn("Requests find no room.", "short-of", kind,
		"requests", w.memory.UsedBy(budgeter.ClassRequest), "answers", w.memory.UsedBy(budgeter.ClassAnswer))
	w.clock.AfterFunc(shortageInterval, w.check)
}

// check logs the end of a shortage, or looks again later.
func (w *memoryWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if left := shortageInterval - w.clock.Now().Sub(w.last); left > 0 {
		w.clock.AfterFunc(left, w.check)
		return
	}
	w.log.Info("Requests find room again.", "hit", w.count, "bodies-given-up", w.memory.GivenUp())
	w.count = 0
}

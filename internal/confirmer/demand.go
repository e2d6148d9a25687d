package confirmer

import (
	"context"
	"sync"
	"time"
)

// demandInterval is the least time between the starts of two rounds of questions that requests ask for.
const demandInterval = 200 * time.Millisecond

// demand lets requests ask for a confirmation and wait for it. It is safe for concurrent use.
type demand struct {
	// asked has an entry when a request waits for a confirmation.
	asked chan struct{}

	mu sync.Mutex
	// confirmed is closed and replaced with each confirmation.
	confirmed chan struct{}
}

func newDemand() *demand {
	return &demand{asked: make(chan struct{}, 1), confirmed: make(chan struct{})}
}

func (d *demand) ask() {
	select {
	case d.asked <- struct{}{}:
	default:
	}
}

// next returns a channel that is closed with the next confirmation.
func (d *demand) next() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.confirmed
}

func (d *demand) confirm() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.confirmed)
	d.confirmed = make(chan struct{})
}

// ConfirmNow waits until the node's document is known to be the newest for a moment after the call. It reports false if ctx is
// done before. Run has to be running.
func (c *Confirmer) ConfirmNow(ctx context.Context) bool {
	since := c.Uptime()
	for {
		confirmed := c.demand.next()
		if confirmedAt := c.confirmedAt.Load(); confirmedAt != 0 && time.Duration(confirmedAt-1) >= since {
			return true
		}
		c.demand.ask()
		select {
		case <-confirmed:
		case <-ctx.Done():
			return false
		}
	}
}

package scheduler

import (
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
)

// Class is what a request is accounted under.
type Class struct {
	Neighbour string
	// Rank is the position of the rank, 0 being the most urgent.
	Rank int
}

// Verdict is the final decision on a waiter.
type Verdict struct {
	// Binding is where a taken request is to run.
	Binding Binding
	// Taken is true when the request was bound to another server by Take.
	Taken bool
	// Refusal is set when the waiter is given up.
	Refusal *refuser.Refusal
}

type phase int

const (
	phaseNew phase = iota
	phaseQueued
	phaseRunning
	phaseTaken
	phaseRefused
	phaseDone
)

// Waiter is one request, or one reservation for a request that waits elsewhere.
type Waiter struct {
	Arrived  time.Time
	Class    Class
	Deadline time.Time
	// Reservation is true for a claim on a slot by a request that another server holds.
	Reservation bool
	// Useful is until when a start leads to an answer in time; zero where that is not known. A waiter
	// that is too late gives way to those that are not.
	Useful time.Time
	// Verdicts receives exactly one value for a waiter that Submit queued.
	Verdicts chan Verdict

	charged time.Duration
	phase   phase
}

// NewWaiter returns a waiter that arrived at now.
func NewWaiter(now time.Time, class Class, deadline time.Time) *Waiter {
	return &Waiter{Arrived: now, Class: class, Deadline: deadline}
}

// isLate reports whether an answer would come too late even if the request began now.
func (w *Waiter) isLate(now time.Time) bool {
	return !w.Useful.IsZero() && now.After(w.Useful)
}

// NewReservation returns a reservation that arrived at now.
func NewReservation(now time.Time, class Class, deadline time.Time) *Waiter {
	return &Waiter{Arrived: now, Class: class, Deadline: deadline, Reservation: true}
}

// Binding names the slot on another server that a request was bound to.
type Binding struct {
	Grant  uint64
	Server string
}

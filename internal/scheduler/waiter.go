package scheduler

import (
	"slices"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/pacer"
	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
)

// Class identifies the account of a request: its neighbour, workspace and rank.
type Class struct {
	Neighbour string
	// Rank is the position of the rank, 0 being the most urgent.
	Rank int
	// Workspace is the workspace of the request; empty if it has none.
	Workspace string
}

// withoutWorkspace returns the class of the neighbour's requests as a whole.
func (c Class) withoutWorkspace() Class {
	c.Workspace = ""
	return c
}

// Decision is the final decision on a queued waiter. The zero value means that the waiter has a slot here.
type Decision struct {
	// Binding is the slot in which a bound request is to run.
	Binding Binding
	// Bound is true if BindNext has bound the request to another server.
	Bound bool
	// Refusal is set if the waiter is refused.
	Refusal *refuser.Refusal
}

// phase is the state of a waiter. A withdrawn waiter counts as refused.
type phase int

const (
	phaseNew phase = iota
	phaseQueued
	phaseRunning
	phaseBound
	phaseRefused
	phaseDone
)

// Waiter is one request, or one reservation for a request that is queued at another server.
type Waiter struct {
	// AllowedRegions are the regions in which the request can run; empty for all.
	AllowedRegions []string
	Arrived        time.Time
	// Class is changed to the class that the scheduler accounts the waiter to when it is queued or gets a slot.
	Class    Class
	Deadline time.Time
	// Reservation is true for a reservation of a slot for a request that is queued at another server.
	Reservation bool
	// UsefulUntil is the latest start time at which the answer still comes in time; zero where it is not
	// known. A waiter that could only start later is refused if others are queued.
	UsefulUntil time.Time
	// Decisions receives exactly one value for a waiter that Submit queued and Withdraw has not removed.
	Decisions chan Decision

	// charged is the expected cost that is charged or, while the waiter is queued, counted in the backlog.
	charged time.Duration
	// pacers hold the permission to send the request, from the start until it is sent.
	pacers *pacer.Pair
	phase  phase
}

// NewWaiter returns a waiter for a request that arrived at now.
func NewWaiter(now time.Time, class Class, deadline time.Time) *Waiter {
	return &Waiter{Arrived: now, Class: class, Deadline: deadline}
}

// isTooLate reports whether the answer would come too late even if the request started now.
func (w *Waiter) isTooLate(now time.Time) bool {
	return !w.UsefulUntil.IsZero() && now.After(w.UsefulUntil)
}

// allows reports whether the request can run in a region.
func (w *Waiter) allows(region string) bool {
	return len(w.AllowedRegions) == 0 || slices.Contains(w.AllowedRegions, region)
}

// NewReservation returns a reservation that arrived at now.
func NewReservation(now time.Time, class Class, deadline time.Time) *Waiter {
	return &Waiter{Arrived: now, Class: class, Deadline: deadline, Reservation: true}
}

// Binding identifies the slot of another server that a request is bound to.
type Binding struct {
	Grant uint64
	// Region is the region of the server.
	Region string
	Server string
}

// Package registrar keeps the lease of the upstream that runs beside the node.
package registrar

import (
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

// LeaseTime is how long an announcement holds without a renewal, unless New is told otherwise.
const LeaseTime = 3 * time.Second

// MaxSlots bounds what an upstream can announce.
const MaxSlots = 10000

// Errors of Announce.
var (
	// ErrInvalid is wrapped by the error of an announcement that breaks a rule.
	ErrInvalid = merry.Sentinel("invalid announcement")
	// ErrOutdated is wrapped by the error of an announcement that a newer one came before.
	ErrOutdated = merry.Sentinel("outdated announcement")
)

// Registrar holds the newest announcement of one upstream. It is safe for concurrent use.
type Registrar struct {
	clock    timekeeper.Clock
	onChange func(announcer.Announcement)

	// order keeps the calls of onChange in the order of the changes.
	order sync.Mutex

	mu      sync.Mutex
	current announcer.Announcement
	expires time.Time
	lease   time.Duration
	// left is true when the current process has said that it goes.
	left  bool
	timer timekeeper.Timer
}

// New returns a registrar without an upstream. It calls onChange after each change
// of the announcement, in order; a lapsed lease counts as a change to the state gone.
func New(clock timekeeper.Clock, onChange func(announcer.Announcement)) *Registrar {
	return NewWithLease(clock, LeaseTime, onChange)
}

// NewWithLease returns a registrar whose announcements hold for the given time.
func NewWithLease(clock timekeeper.Clock, lease time.Duration, onChange func(announcer.Announcement)) *Registrar {
	gone := announcer.Announcement{State: announcer.StateGone}
	return &Registrar{clock: clock, lease: lease, onChange: onChange, current: gone}
}

// Announce takes an announcement or its renewal and returns the lease. The error wraps ErrInvalid or
// ErrOutdated.
func (r *Registrar) Announce(a announcer.Announcement) (announcer.Lease, error) {
	if err := check(a); err != nil {
		return announcer.Lease{}, err
	}
	r.order.Lock()
	defer r.order.Unlock()
	r.mu.Lock()
	if err := r.inOrder(a); err != nil {
		r.mu.Unlock()
		return announcer.Lease{}, err
	}
	changed := isChange(r.current, a)
	r.left = a.State == announcer.StateDraining || (a.State == announcer.StateGone && isCounted(a))
	r.current = a
	r.expires = r.clock.Now().Add(r.lease)
	if r.timer == nil {
		r.timer = r.clock.AfterFunc(r.lease, r.lapse)
	} else {
		r.timer.Reset(r.lease)
	}
	r.mu.Unlock()
	if changed {
		r.onChange(a)
	}
	return announcer.Lease{Time: r.lease.String()}, nil
}

// inOrder returns an error for an announcement that is older than what is known: of a process that was
// born before the current one, of one that has said that it goes, or one that came late. It is called
// with mu held.
func (r *Registrar) inOrder(a announcer.Announcement) error {
	if !isCounted(a) || !isCounted(r.current) {
		return nil
	}
	switch {
	case a.Born < r.current.Born:
		return fmt.Errorf("%w: instance %s was born before %s", ErrOutdated, a.Instance, r.current.Instance)
	case a.Born > r.current.Born || a.Instance != r.current.Instance:
		return nil
	case a.Sequence < r.current.Sequence:
		return fmt.Errorf("%w: announcement %d after %d", ErrOutdated, a.Sequence, r.current.Sequence)
	case r.left && a.State == announcer.StateReady:
		return fmt.Errorf("%w: instance %s has said that it goes", ErrOutdated, a.Instance)
	default:
		return nil
	}
}

// isCounted reports whether the announcement tells its place among others.
func isCounted(a announcer.Announcement) bool {
	return a.Born != 0
}

// isChange reports whether the announcements differ in more than their count.
func isChange(old, a announcer.Announcement) bool {
	old.Sequence, a.Sequence = 0, 0
	old.Cold, a.Cold = 0, 0
	return old != a
}

func (r *Registrar) lapse() {
	r.order.Lock()
	defer r.order.Unlock()
	r.mu.Lock()
	now := r.clock.Now()
	if now.Before(r.expires) || r.current.State == announcer.StateGone {
		r.mu.Unlock()
		return
	}
	r.end()
}

// end tells the observer that the upstream is gone. It is called with both locks held and lets go of
// mu.
func (r *Registrar) end() {
	r.current.State = announcer.StateGone
	gone := r.current
	r.mu.Unlock()
	r.onChange(gone)
}

// Withdraw notes that the process goes, as it says itself. A zero born stands for any start of it.
func (r *Registrar) Withdraw(instance string, born int64) {
	r.order.Lock()
	defer r.order.Unlock()
	r.mu.Lock()
	known := r.current.Instance == instance && (born == 0 || born == r.current.Born)
	if !known && r.current.State != announcer.StateGone {
		r.mu.Unlock()
		return
	}
	if !known {
		r.current.Instance = instance
		r.current.Born = born
	}
	r.left = true
	r.current.State = announcer.StateDraining
	leaving := r.current
	r.mu.Unlock()
	r.onChange(leaving)
}

// Found takes an upstream that was met without an announcement, unless one is known to be ready or has
// said that it goes.
func (r *Registrar) Found(a announcer.Announcement) {
	r.mu.Lock()
	current, left := r.current, r.left
	r.mu.Unlock()
	if current.State == announcer.StateReady || (left && current.Instance == a.Instance) {
		return
	}
	if current.Instance == a.Instance {
		a.Born, a.Sequence, a.Service, a.Slots = current.Born, current.Sequence, current.Service, max(a.Slots, current.Slots)
	}
	// What the upstream lacks to be of use is told by its own announcements.
	_, _ = r.Announce(a)
}

// Down ends the lease of an upstream whose process is gone. Its next announcement begins another.
func (r *Registrar) Down(instance string) {
	r.order.Lock()
	defer r.order.Unlock()
	r.mu.Lock()
	if r.current.Instance != instance || r.current.State == announcer.StateGone {
		r.mu.Unlock()
		return
	}
	r.end()
}

// Current returns the newest announcement. Its state is gone when the lease has lapsed.
func (r *Registrar) Current() announcer.Announcement {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.current
	if !r.clock.Now().Before(r.expires) {
		current.State = announcer.StateGone
	}
	return current
}

func check(a announcer.Announcement) error {
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return fmt.Errorf("%w: address: %q: want an IP and port", ErrInvalid, a.Address)
	}
	if a.Service == "" {
		return fmt.Errorf("%w: service: want a name", ErrInvalid)
	}
	if a.Slots < 1 || a.Slots > MaxSlots {
		return fmt.Errorf("%w: slots: %d: want 1 to %d", ErrInvalid, a.Slots, MaxSlots)
	}
	if !a.State.IsKnown() {
		return fmt.Errorf("%w: state: %q: want starting, ready, draining or gone", ErrInvalid, a.State)
	}
	return nil
}

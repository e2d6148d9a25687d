// Package registrar holds the newest announcement of the node's local upstream and its lease.
package registrar

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/marigoldrelay/marigoldrelay/internal/dialer"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

// LeaseTime is how long an announcement is valid without a renewal. NewWithLease sets another time.
const LeaseTime = 3 * time.Second

// MaxSlots is the largest number of slots that an upstream can announce.
const MaxSlots = 10000

// Limits of an announcement's other fields.
const (
	// maxClockSkew is how far in the future of the node's clock an upstream's process can have been born.
	maxClockSkew = time.Hour
	maxCold      = 24 * time.Hour
	maxSequence  = 1 << 48
)

// The errors of Announce.
var (
	// ErrInvalid is wrapped by the error for an announcement with an invalid field.
	ErrInvalid = merry.Sentinel("invalid announcement")
	// ErrOtherProcess is wrapped, with ErrOutdated, by the error for an announcement of a process in whose place another one
	// is registered.
	ErrOtherProcess = merry.Sentinel("another process of the upstream is registered")
	// ErrOutdated is wrapped by the error for an announcement that is older than the current state of the
	// upstream.
	ErrOutdated = merry.Sentinel("outdated announcement")
)

// maxLeaves is the number of leaves that a registrar remembers.
const maxLeaves = 64

// Registrar holds the newest announcement of one upstream. It is safe for concurrent use.
type Registrar struct {
	clock    timekeeper.Clock
	onChange func(announcer.Announcement)
	onCold   func(process announcer.Process, left time.Duration)

	// notifyMu serializes the changes and their calls of onChange, so that the calls come in the order of the
	// changes. It is locked before mu.
	notifyMu sync.Mutex

	mu        sync.Mutex
	current   announcer.Announcement
	expiresAt time.Time
	lease     time.Duration
	// isLeaving is true when the current process has announced that it is shutting down.
	isLeaving bool
	// leaves are the last leaves that were said to this node, its callers or an earlier process of this node, the newest last.
	leaves []announcer.Leave
	timer  timekeeper.Timer
}

// New returns a registrar without an upstream, whose leases last LeaseTime. It calls onChange after each
// change of the announcement, in order. An expired lease counts as a change to the state gone.
func New(clock timekeeper.Clock, onChange func(announcer.Announcement)) *Registrar {
	return NewWithLease(clock, LeaseTime, onChange, func(announcer.Process, time.Duration) {})
}

// NewWithLease is like New with another lease time. It also calls onCold with the time for which the upstream stays cold
// after each of its own announcements, whether or not that is a change, in order and after onChange.
func NewWithLease(clock timekeeper.Clock, lease time.Duration, onChange func(announcer.Announcement), onCold func(announcer.Process, time.Duration)) *Registrar {
	gone := announcer.Announcement{State: announcer.StateGone}
	return &Registrar{clock: clock, lease: lease, onChange: onChange, onCold: onCold, current: gone}
}

// Announce stores an announcement, or renews its lease, and returns the lease. A process that leaves stays draining, whatever it
// announces later. The error wraps ErrInvalid or ErrOutdated.
func (r *Registrar) Announce(a announcer.Announcement) (announcer.Lease, error) {
	if err := r.validate(a); err != nil {
		return announcer.Lease{}, err
	}
	r.notifyMu.Lock()
	defer r.notifyMu.Unlock()
	if err := r.store(a); err != nil {
		return announcer.Lease{}, err
	}
	r.onCold(a.Process(), a.Cold)
	return announcer.Lease{Time: r.lease.String()}, nil
}

// store stores an announcement, unless it is outdated, and calls onChange if it is a change. It is called with notifyMu
// held.
func (r *Registrar) store(a announcer.Announcement) error {
	r.mu.Lock()
	saysLeaving := a.State == announcer.StateDraining || a.IsLeave()
	hasAnnounced := r.isLeaving && a.Process() == r.current.Process()
	if a.State != announcer.StateGone && r.isNamed(a.Process()) && !hasAnnounced {
		a.State = announcer.StateDraining
	}
	err := r.checkOrder(a)
	if a.IsLeave() && (err == nil || errors.Is(err, ErrOtherProcess)) {
		r.rememberLeave(announcer.Leave{Process: a.Process()})
	}
	if err != nil {
		r.mu.Unlock()
		return err
	}
	changed := isChange(r.current, a)
	r.isLeaving = saysLeaving
	r.current = a
	r.expiresAt = r.clock.Now().Add(r.lease)
	if r.timer == nil {
		r.timer = r.clock.AfterFunc(r.lease, r.expireLease)
	} else {
		r.timer.Reset(r.lease)
	}
	r.mu.Unlock()
	if changed {
		r.onChange(a)
	}
	return nil
}

// checkOrder returns an error for an outdated announcement: one of a process that started before the current
// one, one that arrives after a later announcement of the same process, one that declares a process ready
// that is already shutting down, or one that names another service of the same process. Once the current lease has run
// out, another process or an earlier announcement is taken, so that one that was never the upstream's own shuts it out for
// no longer. It is called with mu held.
func (r *Registrar) checkOrder(a announcer.Announcement) error {
	if !isNumbered(a) || !isNumbered(r.current) {
		return nil
	}
	hasLease := r.clock.Now().Before(r.expiresAt)
	isOther := a.Process() != r.current.Process()
	switch {
	case isOther && hasLease && r.current.State != announcer.StateGone && r.isNamed(a.Process()):
		return fmt.Errorf("%w: %w: instance %s has said that it goes", ErrOutdated, ErrOtherProcess, a.Instance)
	case hasLease && !isOther && a.Service != r.current.Service:
		return fmt.Errorf("%w: service: %q: instance %s serves %q", ErrInvalid, a.Service, a.Instance, r.current.Service)
	case hasLease && a.Born < r.current.Born:
		return fmt.Errorf("%w: %w: instance %s was born before %s", ErrOutdated, ErrOtherProcess, a.Instance, r.current.Instance)
	case isOther:
		return nil
	case hasLease && a.Sequence < r.current.Sequence:
		return fmt.Errorf("%w: announcement %d after %d", ErrOutdated, a.Sequence, r.current.Sequence)
	case r.isLeaving && a.State == announcer.StateReady:
		return fmt.Errorf("%w: instance %s has said that it goes", ErrOutdated, a.Instance)
	default:
		return nil
	}
}

// isNumbered reports whether the announcement has the start time of its process, by which it can be ordered.
func isNumbered(a announcer.Announcement) bool {
	return a.Born != 0
}

// isChange reports whether the announcements differ in a field other than Sequence and Cold.
func isChange(old, a announcer.Announcement) bool {
	old.Sequence, a.Sequence = 0, 0
	old.Cold, a.Cold = 0, 0
	return old != a
}

// expireLease marks the upstream as gone if its lease was not renewed in the meantime.
func (r *Registrar) expireLease() {
	r.notifyMu.Lock()
	defer r.notifyMu.Unlock()
	r.mu.Lock()
	now := r.clock.Now()
	if now.Before(r.expiresAt) || r.current.State == announcer.StateGone {
		r.mu.Unlock()
		return
	}
	r.markGoneAndUnlock()
}

// markGoneAndUnlock changes the upstream's state to gone and calls onChange. It is called with both locks held
// and releases mu.
func (r *Registrar) markGoneAndUnlock() {
	r.current.State = announcer.StateGone
	gone := r.current
	r.mu.Unlock()
	r.onChange(gone)
}

// Withdraw records that a process of the upstream is shutting down, as reported by the process itself, and returns its leave. Its
// announcements as ready are refused from then on. The current process becomes draining, and so does another one while the
// current one is gone. If the process doesn't say when it started, the current process of the instance is meant, or else all that have
// started by now.
func (r *Registrar) Withdraw(process announcer.Process) announcer.Leave {
	r.notifyMu.Lock()
	defer r.notifyMu.Unlock()
	r.mu.Lock()
	isCurrent := r.current.Process().IsSame(process)
	leave := announcer.Leave{Process: process}
	if isCurrent {
		leave.Born = max(process.Born, r.current.Born)
	}
	leave = r.withBound(leave)
	r.rememberLeave(leave)
	if !isCurrent && r.current.State != announcer.StateGone {
		r.mu.Unlock()
		return leave
	}
	if !isCurrent {
		r.current.Instance = process.Instance
		r.current.Born = process.Born
	}
	r.isLeaving = true
	r.current.State = announcer.StateDraining
	r.current.Born = max(r.current.Born, process.Born)
	draining := r.current
	r.mu.Unlock()
	r.onChange(draining)
	return leave
}

// MarkLeaving records that a process has said in its answers, or to an earlier process of this node, that it leaves. Its state
// becomes draining and stays so, whatever it announces, also later.
func (r *Registrar) MarkLeaving(leave announcer.Leave) {
	r.notifyMu.Lock()
	defer r.notifyMu.Unlock()
	r.mu.Lock()
	isCurrent := leave.Names(r.current.Process())
	if isCurrent {
		leave.Born = max(leave.Born, r.current.Born)
	}
	r.rememberLeave(r.withBound(leave))
	if !isCurrent {
		r.mu.Unlock()
		return
	}
	wasServing := r.current.State != announcer.StateDraining && r.current.State != announcer.StateGone
	if wasServing {
		r.current.State = announcer.StateDraining
	}
	draining := r.current
	r.mu.Unlock()
	if wasServing {
		r.onChange(draining)
	}
}

// withBound returns the leave of a process whose start is not known as one of all that have started by now.
func (r *Registrar) withBound(leave announcer.Leave) announcer.Leave {
	switch {
	case leave.Born != 0:
		leave.BornBy = 0
	case leave.BornBy == 0:
		leave.BornBy = r.clock.Now().UnixMilli()
	}
	return leave
}

// rememberLeave adds a leave to those that are remembered. It is called with mu held.
func (r *Registrar) rememberLeave(leave announcer.Leave) {
	if slices.Contains(r.leaves, leave) {
		return
	}
	r.leaves = append(r.leaves, leave)
	r.leaves = r.leaves[max(0, len(r.leaves)-maxLeaves):]
}

// IsLeaving reports whether the process is known to leave.
func (r *Registrar) IsLeaving(process announcer.Process) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isNamed(process)
}

// isNamed reports whether one of the remembered leaves names the process. It is called with mu held.
func (r *Registrar) isNamed(process announcer.Process) bool {
	return slices.ContainsFunc(r.leaves, func(leave announcer.Leave) bool { return leave.Names(process) })
}

// AddDiscovered stores an upstream that was discovered without an announcement, unless the current upstream is ready
// or the discovered one is shutting down.
func (r *Registrar) AddDiscovered(a announcer.Announcement) {
	r.mu.Lock()
	current := r.current
	isLeaving := (r.isLeaving && current.Instance == a.Instance) || r.isNamed(a.Process())
	r.mu.Unlock()
	if current.State == announcer.StateReady || isLeaving {
		return
	}
	if current.Instance == a.Instance {
		a.Born, a.Sequence, a.Service, a.Slots = current.Born, current.Sequence, current.Service, max(a.Slots, current.Slots)
	}
	// The errors can be ignored: the upstream's own announcements provide what is missing here.
	if r.validate(a) != nil {
		return
	}
	r.notifyMu.Lock()
	defer r.notifyMu.Unlock()
	_ = r.store(a)
}

// MarkDown ends the lease of a process that is gone. The next announcement begins a new lease, also that of a process
// with an earlier start, whose clock was set back. It is ignored for a process other than the current one.
func (r *Registrar) MarkDown(process announcer.Process) {
	r.notifyMu.Lock()
	defer r.notifyMu.Unlock()
	r.mu.Lock()
	if !r.current.Process().IsSame(process) || r.current.State == announcer.StateGone {
		r.mu.Unlock()
		return
	}
	r.expiresAt = r.clock.Now()
	r.markGoneAndUnlock()
}

// Current returns the newest announcement. Its state is gone if the lease has expired.
func (r *Registrar) Current() announcer.Announcement {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.current
	if !r.clock.Now().Before(r.expiresAt) {
		current.State = announcer.StateGone
	}
	return current
}

// validate checks the fields. The error wraps ErrInvalid.
func (r *Registrar) validate(a announcer.Announcement) error {
	if address, err := netip.ParseAddrPort(a.Address); err != nil || !dialer.IsHost(address) || address.Addr().IsMulticast() {
		return fmt.Errorf("%w: address: %q: want the IP and port of a host", ErrInvalid, a.Address)
	}
	if latest := r.clock.Now().Add(maxClockSkew).UnixMilli(); a.Born < 0 || a.Born > latest {
		return fmt.Errorf("%w: born: %d: want 0 to %d", ErrInvalid, a.Born, latest)
	}
	if a.Sequence > maxSequence {
		return fmt.Errorf("%w: sequence: %d: want at most %d", ErrInvalid, a.Sequence, uint64(maxSequence))
	}
	if a.Cold < 0 || a.Cold > maxCold {
		return fmt.Errorf("%w: cold: %s: want 0s to %s", ErrInvalid, a.Cold, maxCold)
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

// Package announcer announces an upstream to the node beside it and renews its lease there.
package announcer

import "time"

// State is a state in the life cycle of an upstream.
type State string

// The states of an upstream, which are the values of the field "state" of an Announcement.
const (
	StateDraining State = "draining" // It finishes its requests and must not get new ones.
	StateGone     State = "gone"     // It has stopped serving.
	StateReady    State = "ready"    // It can be sent requests.
	StateStarting State = "starting" // It can't be sent requests yet.
)

// IsKnown reports whether s is one of the defined states.
func (s State) IsKnown() bool {
	switch s {
	case StateDraining, StateGone, StateReady, StateStarting:
		return true
	default:
		return false
	}
}

// Path is the path of a node's announce address to which an Announcement is sent, as JSON in a POST
// request.
const Path = "/announce"

// Announcement describes an upstream to the node beside it. Each announcement also renews the lease.
type Announcement struct {
	// Address is the IP and port on which the upstream serves HTTP.
	Address string `json:"address"`
	// Born is when the upstream's process started, in milliseconds since the Unix epoch; zero if it is
	// not known. Of two processes, the one that started later is the newer one.
	Born int64 `json:"born,omitempty"`
	// Cold is how long the upstream stays slow after its start, in nanoseconds in JSON.
	Cold time.Duration `json:"cold,omitempty"`
	// DataCentre is that of the upstream's VM; empty if it is not said.
	DataCentre string `json:"data-centre,omitempty"`
	// HealthPath is the path at which the upstream answers 200 while it considers itself healthy; empty
	// for none.
	HealthPath string `json:"health-path,omitempty"`
	// Instance is an id that is new for each start of the upstream's process.
	Instance string `json:"instance"`
	// LoadPath is the path at which the upstream reports its own load; empty for none.
	LoadPath string `json:"load-path,omitempty"`
	// Sequence rises with each announcement of one process; zero if the announcements are not numbered.
	Sequence uint64 `json:"sequence,omitempty"`
	// Service is the name of the service that the upstream provides.
	Service string `json:"service"`
	// Slots is the number of requests that the upstream can run at the same time.
	Slots int   `json:"slots"`
	State State `json:"state"`
}

// IsLeave reports whether the announcement says for good that its process leaves. Without a start time it can't be ordered, so that a
// later one can take it back.
func (a Announcement) IsLeave() bool {
	return a.Born != 0 && (a.State == StateDraining || a.State == StateGone)
}

// Lease is a node's answer to an Announcement.
type Lease struct {
	// Time is how long the announcement is valid, as a Go duration string.
	Time string `json:"time"`
}

// renewalsPerLease is how many times a lease is renewed within its time.
const renewalsPerLease = 4

// renewalInterval returns the time between two renewals, or fallback if Time is not a positive duration.
func (l Lease) renewalInterval(fallback time.Duration) time.Duration {
	parsed, err := time.ParseDuration(l.Time)
	if err != nil || parsed <= 0 {
		return fallback
	}
	return parsed / renewalsPerLease
}

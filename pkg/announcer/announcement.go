// Package announcer announces an upstream to the node beside it and keeps the lease alive.
package announcer

import "time"

// State is the phase of life of an upstream.
type State string

// The states of an upstream.
const (
	StateDraining State = "draining"
	StateGone     State = "gone"
	StateReady    State = "ready"
	StateStarting State = "starting"
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

// Path is where a node takes announcements, by POST of an Announcement as JSON.
const Path = "/announce"

// Announcement tells a node about the upstream beside it. Each is also a renewal of the lease.
type Announcement struct {
	// Address is the IP and port on which the upstream serves HTTP.
	Address string `json:"address"`
	// Born is when the upstream's process started, in milliseconds since 1970; zero where it is not
	// known. Of two processes the one that was born later is the newer.
	Born int64 `json:"born,omitempty"`
	// Cold is for how long the upstream stays slow after its start.
	Cold time.Duration `json:"cold,omitempty"`
	// HealthPath answers 200 while the upstream thinks itself healthy; empty for none.
	HealthPath string `json:"health-path,omitempty"`
	// Instance is new for each start of the upstream's process.
	Instance string `json:"instance"`
	// LoadPath answers the upstream's own view of its load; empty for none.
	LoadPath string `json:"load-path,omitempty"`
	// Sequence rises with each announcement of one process; zero where it is not counted.
	Sequence uint64 `json:"sequence,omitempty"`
	Service  string `json:"service"`
	// Slots is the number of requests that the upstream runs at once.
	Slots int   `json:"slots"`
	State State `json:"state"`
}

// Lease is a node's answer to an Announcement.
type Lease struct {
	// Time is how long the announcement holds, as a Go duration string.
	Time string `json:"time"`
}

// renewals is how often a lease is renewed within its time.
const renewals = 4

func (l Lease) renewEvery(fallback time.Duration) time.Duration {
	parsed, err := time.ParseDuration(l.Time)
	if err != nil || parsed <= 0 {
		return fallback
	}
	return parsed / renewals
}

// Package localizer decides which part of a node's attempts leaves the data centre, and to which other one they go. It
// decides on load reports that are always out of date, as all other nodes of the data centre do on the same ones, so
// that its shares change by a bounded amount in each second.
package localizer

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Config holds the constants of a Localizer.
type Config struct {
	// Home is the data centre of the node.
	Home string
	// CostPerKiB is the time by which an answer from another data centre must be sooner for each KiB that crosses.
	CostPerKiB time.Duration
}

// Request is what a decision must know of an attempt.
type Request struct {
	Service string
	// UsefulWait is how long the attempt can wait in a queue and still be answered in time. Zero means that it is not
	// known.
	UsefulWait time.Duration
	// Draw is a random number in [0, 1), the same for all attempts of a call, so that a call is counted once.
	Draw float64
	// Refused is true if a target has refused the call for lack of room.
	Refused bool
	// Returned is true if an earlier attempt of the call has left the data centre without success.
	Returned bool
	// Partial is true if targets lacks some that the call has tried. Such a view updates no estimate.
	Partial bool
}

// Localizer holds the shares of each service. It has no lock: its owner calls one method at a time.
type Localizer struct {
	config   Config
	hops     map[string]*hop
	services map[string]*service
}

// New returns a localizer in which nothing leaves the data centre.
func New(config Config) *Localizer {
	return &Localizer{config: config, hops: make(map[string]*hop), services: make(map[string]*service)}
}

// Decide returns the data centre of the target for an attempt. targets are those that can be picked; the result is the
// data centre of one of them, or empty if there are none.
func (l *Localizer) Decide(now time.Time, r Request, targets []Target) string {
	if len(targets) == 0 {
		return ""
	}
	s := l.service(r.Service)
	s.observeNeed(r)
	centres := l.survey(now, s, targets)
	if !r.Partial {
		s.update(now, l.config.Home, centres)
	}
	home, ok := find(centres, l.config.Home)
	switch {
	case !ok:
		if name, inTime := drawByRoom(centres, r); inTime {
			return name
		}
		return fastest(centres).name
	case r.Returned:
		return home.name
	case s.canNotServe(home, r):
		return s.elsewhereInTime(home, centres, r)
	case r.Draw < s.share && !s.canWaitLonger(r):
		return s.destination(home, centres, r.Draw/s.share)
	default:
		return home.name
	}
}

func (l *Localizer) service(name string) *service {
	s, ok := l.services[name]
	if !ok {
		s = &service{beliefs: make(map[string]*belief), meanBytes: defaultBytes}
		l.services[name] = s
	}
	return s
}

// ObserveHop records how long an attempt to another data centre took, without the time at the upstream.
func (l *Localizer) ObserveHop(now time.Time, dataCentre string, elapsed time.Duration) {
	h, ok := l.hops[dataCentre]
	if !ok {
		h = &hop{}
		l.hops[dataCentre] = h
	}
	h.observe(now, elapsed)
}

// ObserveBytes records the bytes of a request of the service and of its answer.
func (l *Localizer) ObserveBytes(service string, bytes int) {
	s := l.service(service)
	s.meanBytes += bytesSmoothing * (float64(bytes) - s.meanBytes)
}

// ServiceState is the state of one service.
type ServiceState struct {
	Service string
	State   State
	// Share is the part of the attempts that leaves.
	Share float64
	// Limit is the expected wait at home from which attempts leave.
	Limit time.Duration
	// Centres are the data centres with upstreams of the service, in order of their names.
	Centres []CentreState
}

// CentreState is what is believed of the upstreams of one service in one data centre.
type CentreState struct {
	Name string
	// Room is the number of free slots.
	Room float64
	// Wait is the expected wait of a request.
	Wait time.Duration
	// Part is the part of the attempts that are sent there.
	Part float64
}

// Shares returns the state of each service in order of their names.
func (l *Localizer) Shares() []ServiceState {
	shares := make([]ServiceState, 0, len(l.services))
	for _, name := range slices.Sorted(maps.Keys(l.services)) {
		shares = append(shares, l.services[name].state(name, l.config.Home))
	}
	return shares
}

// smoothed is an exponentially smoothed value.
type smoothed struct {
	value float64
	known bool
}

// observe moves the value towards the sample with the time constant.
func (s *smoothed) observe(sample float64, elapsed, constant time.Duration) {
	if !s.known {
		s.value, s.known = sample, true
		return
	}
	s.value += lag(elapsed, constant) * (sample - s.value)
}

// lag returns the weight of a sample after the elapsed time in a mean with the time constant.
func lag(elapsed, constant time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/constant.Seconds())
}

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}

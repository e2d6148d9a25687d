package localizer

import (
	"slices"
	"strings"
	"time"
)

const (
	// reportTrust is the age up to which a load report is believed as it is. An older one is believed less and less, until
	// at twice this age the target is assumed to have assumedLoad.
	reportTrust = 2 * time.Second
	// assumedLoad is the load of a target without a report. It leaves room, so that another data centre is tried.
	assumedLoad = 0.7
	// defaultServiceTime is the mean service time until one is reported.
	defaultServiceTime = 100 * time.Millisecond
	// slowDelay is how long a slow upstream is expected to stay slow.
	slowDelay = 250 * time.Millisecond
)

// Target is what is known of one upstream of the service that can be picked.
type Target struct {
	DataCentre string
	// Slots is the number of requests that the upstream runs at once; zero if it is not known.
	Slots int
	// Load is the number of running and queued requests, as last reported.
	Load int
	// Outstanding is the number of this node's calls that wait for a response.
	Outstanding int
	// ServiceTime is the mean service time; zero if it is not known.
	ServiceTime time.Duration
	// StartDelay is how long a rate limit or a cold start delays a new request.
	StartDelay time.Duration
	// Age is the age of the report.
	Age time.Duration
	// Slow is true if the upstream is several times slower than usual.
	Slow bool
}

// load returns the number of running and queued requests that the target is believed to have.
func (t *Target) load() float64 {
	trust := min(1, max(0, 2-t.Age.Seconds()/reportTrust.Seconds()))
	believed := trust*float64(t.Load) + (1-trust)*assumedLoad*float64(t.Slots)
	return max(believed, float64(t.Outstanding))
}

// wait returns the expected wait for a free slot.
func (t *Target) wait() time.Duration {
	if t.Slots == 0 {
		return 0
	}
	serviceTime := t.ServiceTime
	if serviceTime == 0 {
		serviceTime = defaultServiceTime
	}
	slots := float64(t.Slots)
	return time.Duration(max(0, t.load()+1-slots) / slots * float64(serviceTime))
}

// hold returns how long a request is held back although there may be a free slot.
func (t *Target) hold() time.Duration {
	if t.Slow {
		return t.StartDelay + slowDelay
	}
	return t.StartDelay
}

// centre is the sum of what is known of the targets in one data centre.
type centre struct {
	name string
	// hop is the time of a hop there and back, and cost what the bytes cost that cross; both are zero at home.
	hop  time.Duration
	cost time.Duration
	// best is the lowest expected delay of a target, and leastHold the lowest time for which a target holds requests back.
	best      time.Duration
	leastHold time.Duration
	// wait is the mean expected wait at the targets that hold nothing back for long, or best if there are none.
	wait time.Duration
	// room is the number of free slots of these targets.
	room float64
	// age is the mean age of the reports.
	age     time.Duration
	targets int
	// load is the part of the slots of these targets that is in use.
	load float64

	slots     float64
	slotWaits float64
}

// timeToStart returns the time until a request is expected to start there.
func (c *centre) timeToStart() time.Duration {
	return c.wait + c.hop
}

func (c *centre) add(t *Target, limit time.Duration) {
	wait, hold := t.wait(), t.hold()
	if c.targets == 0 || wait+hold < c.best {
		c.best = wait + hold
	}
	if c.targets == 0 || hold < c.leastHold {
		c.leastHold = hold
	}
	c.targets++
	c.age += (min(t.Age, 2*reportTrust) - c.age) / time.Duration(c.targets)
	if hold > limit {
		return
	}
	weight := max(1, float64(t.Slots))
	c.slots += weight
	c.slotWaits += weight * float64(wait+hold)
	c.room += max(0, float64(t.Slots)-t.load())
}

// survey sums up the targets by data centre, in order of the names.
func (l *Localizer) survey(now time.Time, s *service, targets []Target) []centre {
	var centres []centre
	limit := s.limit()
	for i := range targets {
		t := &targets[i]
		at := slices.IndexFunc(centres, func(c centre) bool { return c.name == t.DataCentre })
		if at < 0 {
			centres = append(centres, centre{name: t.DataCentre, hop: l.hopTo(now, t.DataCentre)})
			at = len(centres) - 1
		}
		centres[at].add(t, limit)
	}
	for i := range centres {
		c := &centres[i]
		c.wait = c.best
		if c.slots > 0 {
			c.wait = time.Duration(c.slotWaits / c.slots)
			c.load = 1 - c.room/c.slots
		}
		if c.name != l.config.Home {
			c.cost = time.Duration(s.meanBytes / bytesPerKiB * float64(l.config.CostPerKiB))
		}
	}
	slices.SortFunc(centres, func(a, b centre) int { return strings.Compare(a.name, b.name) })
	return centres
}

func find(centres []centre, name string) (*centre, bool) {
	for i := range centres {
		if centres[i].name == name {
			return &centres[i], true
		}
	}
	return nil, false
}

// fastest returns the data centre in which a request is expected to start first.
func fastest(centres []centre) *centre {
	best := &centres[0]
	for i := range centres {
		if c := &centres[i]; c.best+c.hop < best.best+best.hop {
			best = c
		}
	}
	return best
}

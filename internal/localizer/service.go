package localizer

import (
	"slices"
	"time"
)

const (
	bytesPerKiB = 1024
	// defaultBytes is the mean size of a request and its answer until it is learned: that of small ones with their heads.
	defaultBytes = 1200
	// bytesSmoothing is the weight of a new sample in the mean size.
	bytesSmoothing = 0.02
	// usefulSmoothing is the weight of a new sample in the mean useful wait.
	usefulSmoothing = 0.05
	// limitFactor is the mean wait from which attempts leave, as a part of the mean useful wait. It is below 1 because
	// the waits of single requests spread around the mean, and nodes refuse what would wait beyond its useful wait.
	limitFactor = 0.5
	// minLimit is the floor of the wait from which attempts leave: a queue of one request at each upstream is normal.
	minLimit = 15 * time.Millisecond
	// defaultUsefulWait is the useful wait where no route sets a target latency.
	defaultUsefulWait = 200 * time.Millisecond
	// smoothingTime is the time constant of the smoothed waits, loads and refusals.
	smoothingTime = 300 * time.Millisecond
	// roomSmoothingTime and roomSmoothingAges give the time constant of the room by which leaving attempts are divided, the
	// latter in ages of the reports. With less smoothing, they all go to the one and then to the other data centre.
	roomSmoothingTime = time.Second
	roomSmoothingAges = 2
	// maxRise and maxFall limit the change of a share in a second. It falls more slowly than it rises because a late
	// answer costs more than bytes.
	maxRise = 1.0
	maxFall = 0.5
	// fullLoad is the part of its slots that home is left with while a part of its attempts leaves. At 1 a queue would
	// build up with each small change.
	fullLoad = 0.95
	// fallFactor is the wait below which a share may fall, as a part of the wait above which it rises.
	fallFactor = 0.5
	// queueExcess is by how much the demand is assumed to exceed the room while the wait is twice the limit. A queue says
	// that the demand is higher, but not by how much.
	queueExcess = 0.15
	// minRefusedPart is the part of the attempts that must have been refused to count.
	minRefusedPart = 0.02
	// maxRefusedPart limits the part of the attempts that are taken as refused.
	maxRefusedPart = 0.7
	// refusalPrior is added to the number of attempts, so that a single refusal among few attempts has little weight.
	refusalPrior = 2
	// updateInterval is the least time between two changes of a share, and maxUpdateStep the longest that counts.
	updateInterval = 10 * time.Millisecond
	maxUpdateStep  = 200 * time.Millisecond
	// minShare replaces lower shares by zero.
	minShare = 0.005
	// patienceFactor is the useful wait, in means of the service, from which an attempt stays at home.
	patienceFactor = 2
)

// State tells why attempts of a service leave or stay.
type State string

// The values of State.
const (
	// StateLocal means that home can answer in time.
	StateLocal State = "local"
	// StateLeaving means that a part of the attempts leaves.
	StateLeaving State = "leaving"
	// StateNoRoom means that home can't answer in time and no other data centre is believed to do better.
	StateNoRoom State = "no-room"
)

// service is the state of one service.
type service struct {
	meanBytes float64
	// usefulWait is the smoothed useful wait of its attempts.
	usefulWait time.Duration
	share      float64
	// past holds the shares of the last seconds, recent is share with the delay of smoothingTime, and reported the one on which
	// the smoothed reports are based.
	past     history
	recent   float64
	reported float64
	updated  time.Time
	// attempts and refusals are the numbers of the last smoothingTime.
	attempts float64
	refusals float64
	// refusedDraw is the draw of the call that was refused last.
	refusedDraw float64
	// short is true if home can't answer in time.
	short   bool
	beliefs map[string]*belief
	load    smoothed
	centres []centre
}

func (s *service) observeNeed(r Request) {
	if r.Partial || r.UsefulWait == 0 {
		return
	}
	if s.usefulWait == 0 {
		s.usefulWait = r.UsefulWait
	}
	s.usefulWait += time.Duration(usefulSmoothing * float64(r.UsefulWait-s.usefulWait))
}

// limit returns the mean wait at home from which attempts leave.
func (s *service) limit() time.Duration {
	useful := s.usefulWait
	if useful == 0 {
		useful = defaultUsefulWait
	}
	return max(minLimit, time.Duration(limitFactor*float64(useful)))
}

// canWaitLonger reports whether the attempt can wait so much longer than others that it stays at home.
func (s *service) canWaitLonger(r Request) bool {
	return s.usefulWait > 0 && r.UsefulWait > patienceFactor*s.usefulWait
}

// update smooths what the reports say and changes the share.
func (s *service) update(now time.Time, home string, centres []centre) {
	s.attempts++
	elapsed := min(now.Sub(s.updated), maxUpdateStep)
	if elapsed < updateInterval && s.centres != nil {
		s.applySmoothing(centres)
		return
	}
	s.updated = now
	s.smooth(centres, elapsed)
	s.centres = centres
	here, ok := find(centres, home)
	if !ok {
		// Everything leaves because there is no other way, which is not a share.
		s.share, s.recent, s.reported, s.short = 0, 0, 0, false
		s.past.add(now, 0)
		return
	}
	s.load.observe(here.load, elapsed, smoothingTime)
	s.past.add(now, s.share)
	s.recent += lag(elapsed, smoothingTime) * (s.share - s.recent)
	s.reported += lag(elapsed, smoothingTime) * (s.past.at(now.Add(-here.age)) - s.reported)
	s.change(here, centres, elapsed)
	kept := 1 - lag(elapsed, smoothingTime)
	s.attempts, s.refusals = s.attempts*kept, s.refusals*kept
}

// belief is what is believed of a data centre: its smoothed reports.
type belief struct {
	wait smoothed
	room smoothed
}

func (s *service) smooth(centres []centre, elapsed time.Duration) {
	for i := range centres {
		c := &centres[i]
		b, ok := s.beliefs[c.name]
		if !ok {
			b = &belief{}
			s.beliefs[c.name] = b
		}
		b.wait.observe(c.wait.Seconds(), elapsed, smoothingTime)
		b.room.observe(c.room, elapsed, roomSmoothingTime+roomSmoothingAges*c.age)
	}
	s.applySmoothing(centres)
}

func (s *service) applySmoothing(centres []centre) {
	for i := range centres {
		if b, ok := s.beliefs[centres[i].name]; ok {
			centres[i].wait, centres[i].room = seconds(b.wait.value), b.room.value
		}
	}
}

// change moves the share towards the one that the reports call for. Since a change shows in the reports only later, it is
// reckoned from the share on which they are based.
func (s *service) change(home *centre, centres []centre, elapsed time.Duration) {
	other, ok := soonestWithRoom(home, centres)
	threshold := s.limit()
	if ok {
		threshold = max(threshold, other.timeToStart()+other.cost)
	}
	refused := min(maxRefusedPart, s.refusals/(s.attempts+refusalPrior))
	s.short = home.wait > s.limit() || refused > minRefusedPart
	target := s.share
	switch {
	case !ok || other.timeToStart() > max(home.wait, s.limit()):
		target = 0
	case home.wait > threshold || refused > minRefusedPart:
		excess := 1 + queueExcess*min(1, max(0, float64(home.wait-threshold)/float64(threshold)))
		target = max(s.share, targetFor(excess, s.reported), targetFor(1/(1-refused), s.recent))
	case home.wait < time.Duration(fallFactor*float64(threshold)) && s.load.value < fullLoad:
		target = min(s.share, targetFor(s.load.value, s.reported))
	}
	weight := lag(elapsed, smoothingTime)
	if target < s.share {
		weight = lag(elapsed, home.age+smoothingTime)
	}
	change := weight * (target - s.share)
	s.share += min(maxRise*elapsed.Seconds(), max(-maxFall*elapsed.Seconds(), change))
	if s.share < minShare && target < minShare {
		s.share = 0
	}
}

// targetFor returns the share with which home has fullLoad, if it has the given load with the given share.
func targetFor(load, share float64) float64 {
	if load <= 0 {
		return 0
	}
	return max(0, 1-fullLoad/load*(1-share))
}

// soonestWithRoom returns the other data centre with room in which a request is expected to start first.
func soonestWithRoom(home *centre, centres []centre) (*centre, bool) {
	var best *centre
	for i := range centres {
		c := &centres[i]
		if c.name != home.name && c.room >= 1 && (best == nil || c.timeToStart() < best.timeToStart()) {
			best = c
		}
	}
	return best, best != nil
}

// canNotServe reports whether no target at home can start the attempt in time, and records a refusal.
func (s *service) canNotServe(home *centre, r Request) bool {
	if r.UsefulWait == 0 {
		return false
	}
	if r.Refused {
		// The node has tried a sibling before it refused, and knows the queues better than the reports.
		if !r.Returned && r.Draw != s.refusedDraw {
			s.refusals++
			s.refusedDraw = r.Draw
		}
		return true
	}
	// A queue at home is left to the share: the reports are too old to decide on it for a single attempt.
	return home.leastHold > r.UsefulWait
}

// elsewhereInTime returns the data centre for an attempt that home can't start in time, and home if none can.
func (s *service) elsewhereInTime(home *centre, centres []centre, r Request) string {
	others := slices.DeleteFunc(slices.Clone(centres), func(c centre) bool { return c.name == home.name })
	if name, ok := drawByRoom(others, r); ok {
		return name
	}
	return home.name
}

// destination returns the data centre for an attempt that leaves, given a random number in [0, 1). Those from which the
// answer is expected sooner than from home get attempts in proportion to their room.
func (s *service) destination(home *centre, centres []centre, draw float64) string {
	total := 0.0
	for i := range centres {
		total += s.leavingWeight(home, &centres[i])
	}
	position := draw * total
	for i := range centres {
		position -= s.leavingWeight(home, &centres[i])
		if position < 0 {
			return centres[i].name
		}
	}
	return home.name
}

// drawByRoom returns one of the data centres in which the attempt can start in time. They get attempts in proportion to their
// room, so that the nodes of a data centre don't all choose the same one. It reports false if there is none.
func drawByRoom(centres []centre, r Request) (string, bool) {
	weight := func(c *centre) float64 {
		if r.UsefulWait > 0 && c.best+c.hop > r.UsefulWait {
			return 0
		}
		return max(1, c.room)
	}
	total := 0.0
	for i := range centres {
		total += weight(&centres[i])
	}
	position := r.Draw * total
	for i := range centres {
		if position -= weight(&centres[i]); position < 0 {
			return centres[i].name, true
		}
	}
	return "", false
}

// leavingWeight is the weight of a data centre among those that attempts leave for.
func (s *service) leavingWeight(home, c *centre) float64 {
	if c.name == home.name || c.room < 1 || c.timeToStart() > max(home.wait, s.limit()) {
		return 0
	}
	return c.room
}

func (s *service) state(name, home string) ServiceState {
	state := ServiceState{Service: name, Share: s.share, Limit: s.limit(), State: StateLocal}
	switch {
	case s.share > 0:
		state.State = StateLeaving
	case s.short:
		state.State = StateNoRoom
	}
	here, ok := find(s.centres, home)
	total := 0.0
	for i := range s.centres {
		if ok {
			total += s.leavingWeight(here, &s.centres[i])
		}
	}
	for i := range s.centres {
		c := &s.centres[i]
		one := CentreState{Name: c.name, Room: c.room, Wait: c.wait}
		switch {
		case c.name == home:
			one.Part = 1 - s.share
		case total > 0:
			one.Part = s.share * s.leavingWeight(here, c) / total
		}
		state.Centres = append(state.Centres, one)
	}
	return state
}

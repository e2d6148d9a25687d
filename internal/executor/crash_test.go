package executor

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/forwarder"
	"github.com/marigoldrelay/marigoldrelay/internal/quarantiner"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

const (
	// crashRounds is how often the request comes that crashes the upstream.
	crashRounds = 14
	// backTime is how long an upstream is down after a crash, and roundPause the time between two rounds.
	backTime   = 2 * time.Second
	roundPause = 3 * time.Second
	// serviceTime is that of a harmless request, and crashDelay how long the other one runs before the crash.
	serviceTime = 300 * time.Millisecond
	crashDelay  = 100 * time.Millisecond
	fatalID     = "fatal"
)

// crashScenario is a request that crashes each upstream that runs it, and comes again and again.
type crashScenario struct {
	Name  string `json:"name"`
	Nodes int    `json:"nodes"`
	// Restart is how an upstream announces itself after a crash: under its id with a later, an earlier, the same or no
	// time of its start, or under a new id.
	Restart string `json:"restart"`
	// IsBackAtOnce is true if the upstream runs again before the node looks for it.
	IsBackAtOnce bool `json:"is-back-at-once"`
	// Harmless is the number of harmless requests that run beside it, the same in each round.
	Harmless int `json:"harmless"`
	// WantRuns is how often it may reach an upstream.
	WantRuns int `json:"want-runs"`
}

// crashingUpstream is an upstream whose process ends when it runs the fatal request. It implements Upstream and Links.
type crashingUpstream struct {
	*member
	scenario *crashScenario

	mu      sync.Mutex
	process announcer.Process
	starts  int64
	// crashed is closed when the process ends.
	crashed chan struct{}
	isDown  bool
	runs    int
}

// Do implements Upstream.
func (u *crashingUpstream) Do(_ context.Context, req *fasthttp.Request, resp *fasthttp.Response, _ time.Time) error {
	u.mu.Lock()
	crashed, isDown := u.crashed, u.isDown
	isFatal := strings.HasSuffix(string(req.URI().Path()), fatalID)
	if isFatal && !isDown {
		u.runs++
	}
	u.mu.Unlock()
	switch {
	case isDown:
		return forwarder.ErrNotSent
	case isFatal:
		time.Sleep(crashDelay)
		u.crash(crashed)
		return forwarder.ErrLost
	}
	select {
	case <-crashed:
		return forwarder.ErrLost
	case <-time.After(serviceTime):
		resp.SetStatusCode(fasthttp.StatusOK)
		return nil
	}
}

// crash ends the process.
func (u *crashingUpstream) crash(crashed chan struct{}) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.crashed == crashed && !u.isDown {
		close(crashed)
		u.isDown = true
	}
}

// IsDown implements Upstream.
func (u *crashingUpstream) IsDown(_ context.Context, process announcer.Process) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.scenario.IsBackAtOnce {
		return false
	}
	return u.isDown || !u.process.IsSame(process)
}

// start starts a process after a crash and announces it.
func (u *crashingUpstream) start() {
	u.mu.Lock()
	u.starts++
	u.crashed, u.isDown = make(chan struct{}), false
	u.process = announcer.Process{Instance: u.name, Born: 1000}
	switch u.scenario.Restart {
	case "later":
		u.process.Born += u.starts
	case "earlier":
		u.process.Born -= u.starts
	case "none":
		u.process.Born = 0
	case "new-id":
		u.process = announcer.Process{Instance: fmt.Sprint(u.name, "-", u.starts), Born: 1000 + u.starts}
	}
	process := u.process
	u.mu.Unlock()
	u.announce(process, announcer.StateReady)
}

func (u *crashingUpstream) announce(process announcer.Process, state announcer.State) {
	u.HandleAnnouncement(announcer.Announcement{
		Address: "127.0.0.1:1", Born: process.Born, Instance: process.Instance, Service: testService, Slots: testSlots, State: state,
	})
}

// ReportCrash implements Links. Reports travel as JSON.
func (u *crashingUpstream) ReportCrash(_ context.Context, crash quarantiner.Crash) {
	text, err := json.Marshal(crash)
	if err != nil {
		panic(err)
	}
	for _, m := range u.group.members {
		var received quarantiner.Crash
		if err := json.Unmarshal(text, &received); err != nil {
			panic(err)
		}
		if m != u.member {
			m.Quarantiner.Report(received)
		}
	}
}

// TestFatalRequestIsBarred guards against a request that crashes upstreams without end because a process that starts
// again under the id of the last one counts as that one. The harmless requests beside it must not be barred with it.
func TestFatalRequestIsBarred(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "crashes.json"))
	if err != nil {
		t.Fatal(err)
	}
	var scenarios []crashScenario
	if err := json.Unmarshal(text, &scenarios); err != nil {
		t.Fatal(err)
	}
	for _, scenario := range scenarios {
		t.Run(scenario.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { scenario.play(t) })
		})
	}
}

func (s *crashScenario) play(t *testing.T) {
	g := newGroup(t, s.Nodes, true, 1, 1e9, testDocument(time.Second))
	var upstreams []*crashingUpstream
	for _, m := range g.members {
		u := &crashingUpstream{member: m, scenario: s}
		m.Upstream, m.Links, m.ProcessName = u, u, m.name+".1"
		m.OnUpstreamDown = func(process announcer.Process) { u.announce(process, announcer.StateGone) }
		u.start()
		upstreams = append(upstreams, u)
	}
	for round := range crashRounds {
		var calls sync.WaitGroup
		m := g.members[round%s.Nodes]
		for i := range s.Harmless {
			calls.Go(func() { m.call(fmt.Sprint("harmless-", i), "urgent", "", time.Now().Add(time.Second)) })
		}
		calls.Go(func() { m.call(fatalID, "urgent", "", time.Now().Add(time.Second)) })
		calls.Wait()
		time.Sleep(backTime)
		for _, u := range upstreams {
			if u.isDown {
				u.start()
			}
		}
		time.Sleep(roundPause)
	}
	runs := 0
	for _, u := range upstreams {
		runs += u.runs
	}
	if runs > s.WantRuns {
		t.Errorf("the request has reached upstreams %d times of %d, want at most %d", runs, crashRounds, s.WantRuns)
	}
	for i := range s.Harmless {
		outcome := g.members[0].call(fmt.Sprint("harmless-", i), "urgent", "", time.Now().Add(time.Second))
		if outcome.Refusal != nil {
			t.Errorf("harmless request %d is refused: %s", i, outcome.Refusal.Reason)
		}
	}
}

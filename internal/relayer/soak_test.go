package relayer_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/demonstrator"
	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
	"github.com/marigoldrelay/marigoldrelay/internal/responder"
)

var (
	soakDuration = flag.Duration("soak", 6*time.Second, "how long the soak runs")
	soakSeed     = flag.Uint64("seed", 1, "seed of the soak's faults and calls")
)

const (
	soakCallers = 16
	soakTargets = 5
)

// soak draws faults and calls from a seed and checks the result that every caller got.
type soak struct {
	*testCluster
	faults   map[string]int
	mu       sync.Mutex
	random   *rand.Rand
	outcomes map[string]int
	// faultLocks keep a node from getting two faults at once.
	faultLocks []sync.Mutex
}

// TestSoak makes random calls under random faults, two faults at a time.
func TestSoak(t *testing.T) {
	c := newTestCluster(t, soakTargets, responder.Behaviour{ServiceTime: 10 * time.Millisecond, Slots: 8})
	s := &soak{
		faults: make(map[string]int), random: rand.New(rand.NewPCG(*soakSeed, 1)), faultLocks: make([]sync.Mutex, soakTargets+1),
		outcomes: make(map[string]int), testCluster: c,
	}
	var stop atomic.Bool
	var work sync.WaitGroup
	for i := range soakCallers {
		work.Go(func() {
			for n := 0; !stop.Load(); n++ {
				s.call(fmt.Sprintf("soak-%d-%d", i, n))
			}
		})
	}
	for range 2 {
		work.Go(func() {
			for !stop.Load() {
				s.injectFault()
			}
		})
	}
	time.Sleep(*soakDuration)
	stop.Store(true)
	work.Wait()
	t.Logf("seed %d: faults %v, outcomes %v", *soakSeed, s.faults, s.outcomes)
	if s.outcomes["answered"] == 0 {
		t.Error("no call was answered")
	}
}

func (s *soak) randomInt(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

// call makes one call of a random kind at the entry node, which gets no faults, and checks the result.
func (s *soak) call(id string) {
	method, key := fasthttp.MethodGet, ""
	switch s.randomInt(4) {
	case 0:
		method = fasthttp.MethodPost
	case 1:
		method, key = fasthttp.MethodPost, "key-"+id
	}
	timeout := []time.Duration{30 * time.Millisecond, 500 * time.Millisecond, 3 * time.Second}[s.randomInt(3)]
	got := sendCall(s.t, s.entry.Settings.CallerAddress, method, id, key, timeout)
	if method == fasthttp.MethodPost {
		s.check(id, got)
	}
	if key != "" && s.randomInt(2) == 0 {
		again := sendCall(s.t, s.entry.Settings.CallerAddress, method, id, key, timeout)
		s.check(id, again)
	}
	name := "answered"
	if !got.answered {
		name = fmt.Sprintf("%s/%s", got.problem.Reason, got.problem.NotRun)
	}
	s.mu.Lock()
	s.outcomes[name]++
	s.mu.Unlock()
}

func (s *soak) check(id string, got callResult) {
	ran := s.Journal.Count(id)
	if ran > 1 || (got.answered && ran != 1) || (got.problem.NotRun == refuser.NotRunTrue && ran != 0) {
		s.t.Errorf("%s: ran %d times, %s", id, ran, got)
	}
}

// injectFault causes one random fault, waits, and repairs it.
func (s *soak) injectFault() {
	i := 1 + s.randomInt(soakTargets)
	s.faultLocks[i].Lock()
	defer s.faultLocks[i].Unlock()
	deployed := s.Node(i)
	pause := time.Duration(50+s.randomInt(400)) * time.Millisecond
	kinds := map[string]func(){
		"cut":       func() { s.network.cutTo(deployed.Settings.PeerAddress) },
		"crash":     func() { s.crash(deployed, pause) },
		"fail fast": func() { s.changeBehaviour(deployed, pause, func(b *responder.Behaviour) { b.FailFast = true }) },
		"kill node": func() { s.killNode(deployed, pause) },
		"limit":     func() { s.changeBehaviour(deployed, pause, func(b *responder.Behaviour) { b.RateLimit = 5 }) },
		"silence":   func() { s.network.silence(deployed.Settings.PeerAddress, 1+s.randomInt(4)) },
		"straggle":  func() { s.changeBehaviour(deployed, pause, func(b *responder.Behaviour) { b.StraggleFactor = 10 }) },
	}
	name := []string{"cut", "crash", "fail fast", "kill node", "limit", "silence", "straggle"}[s.randomInt(len(kinds))]
	s.mu.Lock()
	s.faults[name]++
	s.mu.Unlock()
	kinds[name]()
	time.Sleep(pause)
}

func (s *soak) changeBehaviour(deployed *demonstrator.DeployedNode, pause time.Duration, change func(*responder.Behaviour)) {
	usual := deployed.Upstream.Behaviour()
	changed := usual
	change(&changed)
	deployed.Upstream.SetBehaviour(changed)
	time.Sleep(pause)
	deployed.Upstream.SetBehaviour(usual)
}

func (s *soak) crash(deployed *demonstrator.DeployedNode, pause time.Duration) {
	deployed.Upstream.Crash()
	time.Sleep(pause)
	if err := s.StartUpstream(deployed); err != nil {
		s.t.Error(err)
	}
}

func (s *soak) killNode(deployed *demonstrator.DeployedNode, pause time.Duration) {
	deployed.Node.Abort()
	time.Sleep(pause)
	if err := s.StartNode(deployed); err != nil {
		s.t.Error(err)
	}
}

// cutTo cuts the open connections to the address.
func (p *proxyNetwork) cutTo(to netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if conn.to == to {
			conn.cut()
			delete(p.conns, conn)
		}
	}
}

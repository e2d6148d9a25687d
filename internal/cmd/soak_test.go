package cmd

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/loadgenerator"
	"github.com/marigoldrelay/marigoldrelay/internal/responder"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

var (
	soakNodes = flag.Int("soak-nodes", 5, "nodes of the soak, each with an upstream")
	soakSeed  = flag.Uint64("soak-seed", 1, "seed of the soak's faults and calls")
	soakTime  = flag.Duration("soak-time", 6*time.Second, "how long the soak's faults come")
)

const (
	soakFaulters = 2
	soakRate     = 150
	soakSettle   = time.Second
)

// program is one process of the soak. Its mutex keeps it from being broken twice at once.
type program struct {
	args   []string
	folder string
	mu     sync.Mutex
	t      *testing.T
	cmd    *exec.Cmd
	exited chan struct{}
}

func (p *program) start() {
	cmd := exec.Command("marigoldrelay", p.args...)
	cmd.Dir = p.folder
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		p.t.Error(err)
		return
	}
	exited := make(chan struct{})
	go func() {
		// A process that was killed ends with an error.
		_ = cmd.Wait()
		close(exited)
	}()
	p.cmd, p.exited = cmd, exited
}

func (p *program) signal(signal syscall.Signal) {
	// It fails where the process has ended already.
	_ = p.cmd.Process.Signal(signal)
}

// restart ends the process by a signal and starts it again after a pause.
func (p *program) restart(signal syscall.Signal, pause time.Duration) {
	p.signal(signal)
	select {
	case <-p.exited:
	case <-time.After(awaitTime):
		p.t.Errorf("%v has not ended %s after signal %d", p.args, awaitTime, signal)
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
	time.Sleep(pause)
	p.start()
}

// soak runs the program as processes, breaks them from outside and compares what callers were told with
// what upstreams ran.
type soak struct {
	faults   map[string]int
	folder   string
	mu       sync.Mutex
	outcomes []loadgenerator.Outcome
	places   []place
	programs []*program
	proxies  []*proxy
	random   *rand.Rand
	t        *testing.T
}

// TestSoakOfProcesses breaks real processes two at a time: killed, stopped, paused and restarted by
// signals, and delayed, reset and cut one way by proxies before them.
func TestSoakOfProcesses(t *testing.T) {
	s := &soak{
		faults: make(map[string]int), folder: t.TempDir(), random: rand.New(rand.NewPCG(*soakSeed, 2)), t: t,
	}
	s.deploy()
	s.awaitAnswer()
	o := &operator{soak: s}
	o.first()
	ctx, stop := context.WithCancel(t.Context())
	var work sync.WaitGroup
	work.Go(func() { o.run(ctx) })
	work.Go(func() { o.watch(ctx) })
	for range soakFaulters {
		work.Go(func() {
			for ctx.Err() == nil {
				s.breakSomething()
			}
		})
	}
	work.Go(func() { s.load(*soakTime + soakSettle) })
	time.Sleep(*soakTime)
	stop()
	work.Wait()
	s.awaitAnswer()
	o.settled()
	s.check()
	t.Logf("%d versions acknowledged", o.acknowledged)
}

// deploy starts a node and an upstream in each place, and a proxy before the node.
func (s *soak) deploy() {
	document, err := os.ReadFile("testdata/soak.jsonc")
	if err != nil {
		s.t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(s.folder, "document.jsonc"), document, 0o600); err != nil {
		s.t.Fatal(err)
	}
	var replicas []string
	for i := range soakReplicas {
		replicas = append(replicas, fmt.Sprintf("n%d", i+1))
	}
	if s.places, err = writeSettings(s.folder, *soakNodes, replicas); err != nil {
		s.t.Fatal(err)
	}
	for i, place := range s.places {
		s.proxies = append(s.proxies, newProxy(s.t, place.caller))
		s.add("node", "--settings", place.name+".jsonc")
		s.add("upstream", "--service", "entries", "--announce", place.announce.String(),
			"--journal", s.journal(i), "--seed", fmt.Sprint(i))
	}
}

func (s *soak) journal(i int) string {
	return filepath.Join(s.folder, fmt.Sprintf("journal-%d", i))
}

func (s *soak) add(args ...string) {
	p := &program{args: args, folder: s.folder, t: s.t}
	p.start()
	s.programs = append(s.programs, p)
	s.t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.exited
	})
}

func (s *soak) draw(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

// breakSomething brings about one fault, waits, and repairs it.
func (s *soak) breakSomething() {
	pause := time.Duration(20+s.draw(800)) * time.Millisecond
	target := s.programs[s.draw(len(s.programs))]
	proxy := s.proxies[s.draw(len(s.proxies))]
	faults := []struct {
		name string
		act  func()
	}{
		{"kill", func() { target.restart(syscall.SIGKILL, pause) }},
		{"terminate", func() { target.restart(syscall.SIGINT, pause) }},
		{"freeze", func() {
			target.signal(syscall.SIGSTOP)
			time.Sleep(pause)
			target.signal(syscall.SIGCONT)
		}},
		{"reset", proxy.reset},
		{"path", func() {
			proxy.manner.Store(int32(1 + s.draw(int(manners)-1)))
			time.Sleep(pause)
			proxy.reset()
			proxy.manner.Store(int32(mannerPass))
		}},
	}
	fault := faults[s.draw(len(faults))]
	s.mu.Lock()
	s.faults[fault.name]++
	s.mu.Unlock()
	target.mu.Lock()
	defer target.mu.Unlock()
	fault.act()
	time.Sleep(pause / 2)
}

func (s *soak) load(d time.Duration) {
	config := loadgenerator.Config{
		AnswerBytes: 200, Duration: d, Kinds: []loadgenerator.Kind{
			{Method: fasthttp.MethodGet, Path: "/entries", Weight: 2},
			{Method: fasthttp.MethodPost, Path: "/entries", Weight: 1},
		},
		Prefix: "soak", Rate: soakRate, Seed: *soakSeed, Timeout: 2 * time.Second,
	}
	for _, proxy := range s.proxies {
		config.Targets = append(config.Targets, proxy.address())
	}
	loadgenerator.New(timekeeper.System{}, config, func(outcome loadgenerator.Outcome) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.outcomes = append(s.outcomes, outcome)
	}).Run(s.t.Context())
}

// awaitAnswer waits until every node answers a call.
func (s *soak) awaitAnswer() {
	for i, proxy := range s.proxies {
		deadline := time.Now().Add(awaitTime)
		for n := 0; !s.isAnswered(proxy.address(), fmt.Sprintf("await-%d-%d", i, n)); n++ {
			if time.Now().After(deadline) {
				s.t.Fatalf("seed %d: node %d does not answer %s after its repair", *soakSeed, i+1, awaitTime)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func (s *soak) isAnswered(address netip.AddrPort, prefix string) bool {
	answered := false
	config := loadgenerator.Config{
		Duration: time.Nanosecond, Kinds: []loadgenerator.Kind{{Method: fasthttp.MethodGet, Path: "/entries", Weight: 1}},
		Prefix: prefix, Rate: 1, Seed: 1, Targets: []netip.AddrPort{address}, Timeout: time.Second,
	}
	loadgenerator.New(timekeeper.System{}, config, func(outcome loadgenerator.Outcome) {
		answered = outcome.IsAnswered()
	}).Run(s.t.Context())
	return answered
}

// check compares the outcomes with the journals.
func (s *soak) check() {
	ran := make(map[string]int)
	for i := range s.proxies {
		counts, err := responder.ReadJournal(s.journal(i))
		if err != nil {
			s.t.Fatal(err)
		}
		for id, count := range counts {
			ran[id] += count
		}
	}
	answered := 0
	for i := range s.outcomes {
		if err := judge(s.outcomes[i].String(), ran); err != nil {
			s.t.Errorf("seed %d: %v", *soakSeed, err)
		}
		if s.outcomes[i].IsAnswered() {
			answered++
		}
	}
	s.t.Logf("seed %d: faults %v, %d of %d answered", *soakSeed, s.faults, answered, len(s.outcomes))
	if answered == 0 {
		s.t.Error("no call was answered")
	}
}

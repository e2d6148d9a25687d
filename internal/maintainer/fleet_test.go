package maintainer_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/diskfaker"
	"github.com/marigoldrelay/marigoldrelay/internal/maintainer"
	"github.com/marigoldrelay/marigoldrelay/internal/persister"
	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

// Times of the simulated nodes. Those of the tasks are the ones of a node.
const (
	detectionTime    = time.Second
	joinTime         = 200 * time.Millisecond
	learnInterval    = time.Second
	learnTimeout     = 3 * time.Second
	maintainInterval = 200 * time.Millisecond
	maintainTimeout  = 3 * time.Second
	maxLatency       = 5 * time.Millisecond
	pullInterval     = 400 * time.Millisecond
	settleTime       = 5 * time.Second
)

const dataFolder = "/register"

var (
	errNoReply  = errors.New("no reply")
	errNoListen = errors.New("connection refused")
)

// fleet is a set of VMs with simulated disks in virtual time. Their processes run the register and the maintainer and
// exchange messages by function calls.
type fleet struct {
	tb     testing.TB
	target int

	mu     sync.Mutex
	random *rand.Rand
	vms    map[string]*vm
	// sides holds the side of a cut that each VM is on; all are on the same one without a cut.
	sides      map[string]bool
	sidesSince time.Time
	// lossPercent is the part of the requests, and of the replies, that are lost.
	lossPercent int
	starts      int
	tasks       sync.WaitGroup
}

// vm is a VM with its disk.
type vm struct {
	disk *diskfaker.Disk
	// diskID is that of the disk at the last start.
	diskID string
	name   string
	// process is nil while the VM is down.
	process *process
	since   time.Time
}

// process is one run of a node on a VM. The fields after proposer are guarded by the fleet's mutex.
type process struct {
	acceptor *replicator.Acceptor
	fleet    *fleet
	proposer *replicator.Proposer
	started  time.Time
	stop     context.CancelFunc
	vm       *vm

	inForce *replicator.Value
	leaving bool
}

func newFleet(tb testing.TB, seed uint64, target int) *fleet {
	return &fleet{
		tb: tb, target: target, random: rand.New(rand.NewPCG(seed, 0)),
		vms: make(map[string]*vm), sides: make(map[string]bool), sidesSince: time.Now(),
	}
}

// randomDuration returns a random duration from low to high.
func (f *fleet) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(f.intn(int(high-low)))
}

// intn returns a random number below n. Goroutines call it in no fixed order, so the schedule of losses has a source of
// its own.
func (f *fleet) intn(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

// start starts the process of a VM, and creates the VM if it is new. It does nothing if the process runs.
func (f *fleet) start(name string) {
	f.mu.Lock()
	v := f.vms[name]
	if v == nil {
		v = &vm{disk: diskfaker.New(), name: name}
		f.vms[name] = v
	}
	if v.process != nil {
		f.mu.Unlock()
		return
	}
	f.starts++
	incarnation := f.starts
	f.mu.Unlock()
	v.disk.SetBeforeOperation(nil)
	folder, err := persister.Open(dataFolder, persister.WithFileSystem(v.disk))
	if err != nil {
		f.tb.Fatal(err)
	}
	acceptor, err := replicator.OpenAcceptor(folder)
	if err != nil {
		f.tb.Fatalf("%s: %v", name, err)
	}
	ctx, stop := context.WithCancel(context.Background())
	p := &process{acceptor: acceptor, fleet: f, started: time.Now(), stop: stop, vm: v}
	p.proposer = replicator.NewProposer(timekeeper.System{}, fmt.Sprintf("%s.%d", name, incarnation), p)
	f.mu.Lock()
	v.diskID, v.process, v.since = acceptor.DiskID(), p, time.Now()
	f.mu.Unlock()
	for interval, task := range map[time.Duration]func(context.Context){
		learnInterval: p.learn, maintainInterval: p.maintain, pullInterval: p.pull,
	} {
		f.tasks.Go(func() { repeat(ctx, interval, task) })
	}
}

// repeat calls the task once per interval until ctx is done.
func repeat(ctx context.Context, interval time.Duration, task func(context.Context)) {
	for ctx.Err() == nil {
		timekeeper.Sleep(ctx, timekeeper.System{}, interval)
		if ctx.Err() == nil {
			task(ctx)
		}
	}
}

// kill ends the process of a VM at once.
func (f *fleet) kill(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.vms[name]
	if v.process == nil {
		return
	}
	v.process.stop()
	v.process, v.since = nil, time.Now()
}

// cutPower ends the process of a VM after a random number of operations of its disk, or after the wait, and keeps,
// loses or tears what was not synced.
func (f *fleet) cutPower(name string, wait time.Duration, choose diskfaker.Chooser) {
	disk := f.vms[name].disk
	operations := choose(12)
	disk.SetBeforeOperation(func(diskfaker.Operation) error {
		operations--
		if operations < 0 {
			return diskfaker.ErrNoPower
		}
		return nil
	})
	time.Sleep(wait)
	f.kill(name)
	disk.LosePower(choose)
}

// cut separates the VMs on one side from the others; no VMs end the cut.
func (f *fleet) cut(names ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.sides)
	for _, name := range names {
		f.sides[name] = true
	}
	f.sidesSince = time.Now()
}

// setLoss sets the part of the requests, and of the replies, that are lost.
func (f *fleet) setLoss(percent int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lossPercent = percent
}

// running returns the processes that run, by the names of their VMs.
func (f *fleet) running() []*process {
	f.mu.Lock()
	defer f.mu.Unlock()
	var processes []*process
	for _, name := range slices.Sorted(maps.Keys(f.vms)) {
		if p := f.vms[name].process; p != nil {
			processes = append(processes, p)
		}
	}
	return processes
}

// peer returns the process on the VM if a message from p reaches it.
func (p *process) peer(name string) (*process, error) {
	f := p.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.vms[name]
	lost := f.random.IntN(100) < f.lossPercent
	switch {
	case p.vm.process != p || v == nil || lost || f.sides[name] != f.sides[p.vm.name]:
		return nil, errNoReply
	case v.process == nil:
		return nil, errNoListen
	default:
		return v.process, nil
	}
}

// call passes a message to the process on a VM and returns its reply. Without a connection it waits until ctx is done.
func call[R any](ctx context.Context, p *process, name string, handle func(*process) (R, error)) (R, error) {
	var none R
	timekeeper.Sleep(ctx, timekeeper.System{}, p.fleet.randomDuration(maxLatency/5, maxLatency))
	peer, err := p.peer(name)
	if errors.Is(err, errNoReply) {
		<-ctx.Done()
	}
	if err != nil {
		return none, err
	}
	reply, err := handle(peer)
	timekeeper.Sleep(ctx, timekeeper.System{}, p.fleet.randomDuration(maxLatency/5, maxLatency))
	if again, lostErr := p.peer(name); lostErr != nil || again != peer {
		<-ctx.Done()
		return none, errNoReply
	}
	return reply, err
}

// Prepare implements replicator.Transport.
func (p *process) Prepare(ctx context.Context, vm string, request replicator.PrepareRequest) (replicator.PrepareReply, error) {
	return call(ctx, p, vm, func(peer *process) (replicator.PrepareReply, error) { return peer.acceptor.Prepare(request) })
}

// Accept implements replicator.Transport.
func (p *process) Accept(ctx context.Context, vm string, request replicator.AcceptRequest) (replicator.AcceptReply, error) {
	return call(ctx, p, vm, func(peer *process) (replicator.AcceptReply, error) { return peer.acceptor.Accept(request) })
}

// Query implements replicator.Transport.
func (p *process) Query(ctx context.Context, vm string, request replicator.QueryRequest) (replicator.QueryReply, error) {
	return call(ctx, p, vm, func(peer *process) (replicator.QueryReply, error) { return peer.acceptor.Query(request) })
}

// current returns the value in force on the process, or nil.
func (p *process) current() *replicator.Value {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return p.inForce
}

// activate puts a value in force unless the current one is as new or newer, and reports whether it did.
func (p *process) activate(value *replicator.Value) bool {
	p.fleet.mu.Lock()
	newer := p.inForce == nil || value.Revision > p.inForce.Revision
	if newer {
		p.inForce = value
	}
	p.fleet.mu.Unlock()
	if newer {
		p.proposer.SetConfirmedReplicas(value.Replicas)
	}
	return newer
}

// publish puts a chosen value in force here and on all processes that are reached.
func (p *process) publish(value *replicator.Value) {
	if !p.activate(value) {
		return
	}
	for _, peer := range p.fleet.running() {
		if reached, err := p.peer(peer.vm.name); err == nil {
			reached.activate(value)
		}
	}
}

// pull puts the value of a random process in force if it is newer.
func (p *process) pull(context.Context) {
	peers := p.fleet.running()
	if len(peers) == 0 {
		return
	}
	peer, err := p.peer(peers[p.fleet.intn(len(peers))].vm.name)
	if err != nil {
		return
	}
	if value := peer.current(); value != nil {
		p.activate(value)
	}
}

// assumeAccepted makes the proposer start from the replicas of the accepted value if no value is in force.
func (p *process) assumeAccepted() {
	if accepted := p.acceptor.Accepted(); accepted != nil && p.current() == nil {
		p.proposer.SetUnconfirmedReplicas(accepted.Replicas)
	}
}

// read returns the newest value of the register.
func (p *process) read(ctx context.Context) (*replicator.Value, error) {
	p.assumeAccepted()
	value, err := p.proposer.Read(ctx)
	if err == nil {
		p.publish(value)
	}
	return value, err
}

// apply makes a change and returns its version.
func (p *process) apply(ctx context.Context, change *replicator.Change) (uint64, error) {
	p.assumeAccepted()
	value, version, err := p.proposer.Apply(ctx, change)
	if value != nil {
		p.publish(value)
	}
	return version, err
}

// learn runs a round if the accepted value is not in force or its change of replicas is not complete.
func (p *process) learn(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, learnTimeout)
	defer cancel()
	accepted, current := p.acceptor.Accepted(), p.current()
	switch {
	case accepted == nil || p.fleet.intn(2) == 0:
	case len(accepted.Previous) > 0:
		p.assumeAccepted()
		if value, err := p.proposer.Repair(ctx); err == nil {
			p.publish(value)
		}
	case current == nil || accepted.Revision > current.Revision:
		_, _ = p.read(ctx)
	}
}

// maintain changes the set of replicas if a change is due.
func (p *process) maintain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maintainTimeout)
	defer cancel()
	current := p.current()
	if current == nil {
		if p.acceptor.Accepted() != nil {
			_, _ = p.read(ctx)
		}
		return
	}
	view := p.fleet.view(p, current.Replicas)
	next, changed := maintainer.Next(view)
	if !changed || !maintainer.ShouldAct(view, p.vm.name, p.fleet.randomDuration(0, 3*time.Second)) {
		return
	}
	if value, err := p.proposer.Reconfigure(ctx, current.Revision, next); err == nil {
		p.publish(value)
	}
}

// view returns what the process knows of the others.
func (f *fleet) view(p *process, replicas []replicator.Replica) maintainer.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	view := maintainer.View{KnowsAllNodes: time.Since(p.started) > settleTime, Replicas: replicas, TargetReplicas: f.target}
	for _, name := range slices.Sorted(maps.Keys(f.vms)) {
		v := f.vms[name]
		candidate := maintainer.Candidate{DiskID: v.diskID, Leaving: v.process == p && p.leaving, Name: name}
		cut := f.sides[name] != f.sides[p.vm.name]
		age := time.Since(v.since)
		if cut && (v.process != nil || time.Since(f.sidesSince) > age) {
			age = time.Since(f.sidesSince)
		}
		switch {
		case v.process == nil || cut:
			candidate.Gone, candidate.StateAge = age > detectionTime, age-detectionTime
		case age < joinTime && v.process != p:
			candidate.Gone = true
		default:
			candidate.StateAge = age
		}
		view.Candidates = append(view.Candidates, candidate)
	}
	return view
}

package maintainer_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/diskfaker"
	"github.com/marigoldrelay/marigoldrelay/internal/distributor"
	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
	"github.com/marigoldrelay/marigoldrelay/internal/maintainer"
	"github.com/marigoldrelay/marigoldrelay/internal/persister"
	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
	"github.com/marigoldrelay/marigoldrelay/internal/signer"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

// Times of the simulated nodes. Those of the tasks are the ones of a node.
const (
	joinInterval     = 400 * time.Millisecond
	learnTimeout     = 3 * time.Second
	maintainInterval = 200 * time.Millisecond
	maintainTimeout  = 3 * time.Second
	maxLatency       = 5 * time.Millisecond
	pullInterval     = 400 * time.Millisecond
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
	sides map[string]bool
	// frozen holds the VMs whose processes stand still and neither send nor receive messages.
	frozen map[string]bool
	// retired holds the VMs that are gone for good.
	retired map[string]bool
	codec   *gossiper.Codec
	// others are the members without a disk.
	others []gossiper.Member
	// left are the records of members that are long gone.
	left []gossiper.Member
	// lookups holds the names of the VMs by their addresses.
	lookups map[netip.AddrPort]string
	// lossPercent is the part of the requests, and of the replies, that are lost.
	lossPercent int
	// syncTime is how long the disks delay each reply.
	syncTime time.Duration
	starts   int
	tasks    sync.WaitGroup
}

// vm is a VM with its disk.
type vm struct {
	disk *diskfaker.Disk
	// diskID is that of the disk at the last start.
	diskID string
	name   string
	// process is nil while the VM is down.
	process *process
	address netip.AddrPort
}

// process is one run of a node on a VM. The fields after proposer are guarded by the fleet's mutex.
type process struct {
	acceptor *replicator.Acceptor
	fleet    *fleet
	learner  *distributor.Learner
	proposer *replicator.Proposer
	stop     context.CancelFunc
	vm       *vm

	inForce *replicator.Value
	leaving bool
	// gossiper knows the other members as a node does.
	gossiper *gossiper.Gossiper
	seeds    []netip.AddrPort
	// waitingSince is when the change became due that is not made yet.
	waitingSince time.Time
}

func newFleet(tb testing.TB, seed uint64, target int) *fleet {
	tb.Helper()
	key, err := signer.New([]byte("a key for the tests only"))
	if err != nil {
		tb.Fatal(err)
	}
	codec, err := gossiper.NewCodec(key)
	if err != nil {
		tb.Fatal(err)
	}
	return &fleet{
		tb: tb, target: target, random: rand.New(rand.NewPCG(seed, 0)), codec: codec,
		vms: make(map[string]*vm), sides: make(map[string]bool), frozen: make(map[string]bool), retired: make(map[string]bool),
		lookups: make(map[netip.AddrPort]string),
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

// start starts the process of a VM, and creates the VM if it is new. It does nothing if the process runs. The disk takes
// all changes from then on.
func (f *fleet) start(name string) {
	if v := f.vms[name]; v != nil && v.process == nil {
		v.disk.SetBeforeOperation(nil)
	}
	if err := f.tryStart(name); err != nil {
		f.tb.Fatalf("%s: %v", name, err)
	}
}

// tryStart is like start, but leaves the disk as it is. It returns the error of a process that can't use its disk.
func (f *fleet) tryStart(name string) error {
	f.mu.Lock()
	v := f.vms[name]
	if v == nil {
		v = &vm{disk: diskfaker.New(), name: name, address: memberAddress(len(f.vms))}
		f.vms[name] = v
		f.lookups[v.address] = name
	}
	if v.process != nil {
		f.mu.Unlock()
		return nil
	}
	f.starts++
	incarnation := f.starts
	f.mu.Unlock()
	folder, err := persister.Open(dataFolder, persister.WithFileSystem(v.disk))
	if err != nil {
		return err
	}
	acceptor, err := replicator.OpenAcceptor(folder)
	if err != nil {
		return errors.Join(err, folder.Close())
	}
	ctx, stop := context.WithCancel(context.Background())
	p := &process{acceptor: acceptor, fleet: f, stop: stop, vm: v}
	p.gossiper = f.newGossiper(p, uint64(incarnation))
	p.proposer = replicator.NewProposer(timekeeper.System{}, fmt.Sprintf("%s.%d", name, incarnation), p)
	p.learner = distributor.NewLearner(timekeeper.System{}, p)
	f.mu.Lock()
	v.diskID, v.process = acceptor.DiskID(), p
	f.mu.Unlock()
	for _, task := range []struct {
		interval time.Duration
		run      func(context.Context)
	}{
		{distributor.LearnInterval, p.learn},
		{maintainInterval, p.maintain},
		{pullInterval, p.pull},
		{joinInterval, p.join},
		{gossiper.TickInterval, p.tick},
	} {
		f.tasks.Go(func() { repeat(ctx, task.interval, task.run) })
	}
	return nil
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
	v.process = nil
}

// remove ends the process of a VM, which never comes back.
func (f *fleet) remove(name string) {
	f.kill(name)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retired[name] = true
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
	case p.vm.process != p || v == nil || lost || f.sides[name] != f.sides[p.vm.name] || f.frozen[name] || f.frozen[p.vm.name]:
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
	if p.fleet.syncTime > 0 {
		timekeeper.Sleep(ctx, timekeeper.System{}, p.fleet.syncTime)
	}
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

// learn checks whether the accepted value was chosen, as a node does.
func (p *process) learn(ctx context.Context) {
	p.learner.Check(ctx)
}

// Accepted implements distributor.ReplicaNode.
func (p *process) Accepted() *replicator.Value {
	return p.acceptor.Accepted()
}

// InForce implements distributor.ReplicaNode.
func (p *process) InForce() uint64 {
	if current := p.current(); current != nil {
		return current.Revision
	}
	return 0
}

// QueryMajority implements distributor.ReplicaNode.
func (p *process) QueryMajority(ctx context.Context) error {
	value, err := p.proposer.Query(ctx)
	if err == nil {
		p.publish(value)
	}
	return err
}

// RunRound implements distributor.ReplicaNode.
func (p *process) RunRound(ctx context.Context, accepted *replicator.Value) error {
	if len(accepted.Previous) == 0 {
		_, err := p.read(ctx)
		return err
	}
	p.assumeAccepted()
	value, err := p.proposer.Repair(ctx)
	if err == nil {
		p.publish(value)
	}
	return err
}

// Turn implements distributor.ReplicaNode.
func (p *process) Turn() int {
	current := p.current()
	if current == nil {
		return 0
	}
	return max(0, maintainer.Turn(p.view(current.Replicas)))
}

// maintain watches the replicas and changes the set of them if a change is due.
func (p *process) maintain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maintainTimeout)
	defer cancel()
	current := p.current()
	if p.isFrozen() {
		return
	}
	if current == nil {
		if p.acceptor.Accepted() != nil {
			_, _ = p.read(ctx)
		}
		return
	}
	view := p.view(current.Replicas)
	p.gossiper.Watch(maintainer.Watched(&view))
	view.Contacts = p.gossiper.Contacts()
	next, changed := maintainer.Next(view)
	switch {
	case !changed:
		p.waitingSince = time.Time{}
		return
	case p.waitingSince.IsZero():
		p.waitingSince = time.Now()
	}
	if !maintainer.ShouldAct(view, time.Since(p.waitingSince)) {
		return
	}
	if value, err := p.proposer.Reconfigure(ctx, current.Revision, next); err == nil {
		p.publish(value)
	}
}

// view returns what the process knows of the others.
func (p *process) view(replicas []replicator.Replica) maintainer.View {
	view := maintainer.View{
		Contacts: p.gossiper.Contacts(), Replicas: replicas, Self: p.vm.name, TargetReplicas: p.fleet.target,
	}
	p.fleet.mu.Lock()
	isLeaving := p.leaving
	p.fleet.mu.Unlock()
	for _, m := range p.gossiper.Members() {
		if m.DiskID != "" {
			view.Candidates = append(view.Candidates, maintainer.NewCandidate(&m, m.Name == p.vm.name && isLeaving))
		}
	}
	return view
}

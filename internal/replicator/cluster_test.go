package replicator

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/diskfaker"
	"github.com/marigoldrelay/marigoldrelay/internal/persister"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

var (
	errMessageLost = errors.New("message lost")
	errPowerLoss   = errors.New("power lost")
)

// cluster holds the replicas of a test with real files, and is the transport between them. Messages can be lost
// and writes interrupted.
type cluster struct {
	folder string
	tb     testing.TB
	// accepts counts the requests to accept a value.
	accepts atomic.Uint64

	mu        sync.Mutex
	acceptors map[string]*Acceptor
	// disks holds simulated disks that replace the real files of the VMs, if it is not nil.
	disks map[string]*diskfaker.Disk
	// unreachable holds the VMs that no message reaches.
	unreachable map[string]bool
	// loss decides for each message whether the request or the reply is lost.
	loss func() (request, reply bool)
	// writeHook is called at each step of a write; an error interrupts the write.
	writeHook func(vm string, step persister.Step, name string) error
}

func newCluster(tb testing.TB, vms ...string) *cluster {
	tb.Helper()
	folder, err := os.MkdirTemp("", "replicator")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = os.RemoveAll(folder) })
	c := &cluster{
		acceptors: make(map[string]*Acceptor), unreachable: make(map[string]bool), folder: folder, tb: tb,
		loss:      func() (bool, bool) { return false, false },
		writeHook: func(string, persister.Step, string) error { return nil },
	}
	for _, vm := range vms {
		c.start(vm)
	}
	return c
}

func (c *cluster) folderOf(vm string) string {
	return filepath.Join(c.folder, vm)
}

// start opens the VM's replica from its files.
func (c *cluster) start(vm string) {
	c.tb.Helper()
	c.stop(vm)
	a, err := c.open(vm)
	if err != nil {
		c.tb.Fatal(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acceptors[vm] = a
}

// simulateDisk gives a VM without files a simulated disk and starts it.
func (c *cluster) simulateDisk(vm string) {
	c.tb.Helper()
	if c.disks == nil {
		c.disks = make(map[string]*diskfaker.Disk)
	}
	c.disks[vm] = diskfaker.New()
	c.start(vm)
}

// loseSimulatedDisk gives a VM with a simulated disk an empty one and restarts it.
func (c *cluster) loseSimulatedDisk(vm string) {
	c.tb.Helper()
	c.stop(vm)
	c.simulateDisk(vm)
}

// setWriteHook sets the function that is called at each step of a write.
func (c *cluster) setWriteHook(f func(vm string, step persister.Step, name string) error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeHook = f
}

// setUnreachable cuts the VM off from all messages, or reconnects it.
func (c *cluster) setUnreachable(vm string, unreachable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreachable[vm] = unreachable
}

// stop closes the VM's replica, if it runs. A request that is in progress finishes first.
func (c *cluster) stop(vm string) {
	c.mu.Lock()
	a := c.acceptors[vm]
	delete(c.acceptors, vm)
	c.mu.Unlock()
	if a == nil {
		return
	}
	if err := a.Close(); err != nil {
		c.tb.Fatal(err)
	}
}

func (c *cluster) open(vm string) (*Acceptor, error) {
	options := []persister.Option{persister.WithStepHook(func(step persister.Step, name string) error {
		c.mu.Lock()
		f := c.writeHook
		c.mu.Unlock()
		return f(vm, step, name)
	})}
	if disk := c.disks[vm]; disk != nil {
		options = append(options, persister.WithFileSystem(disk))
	}
	folder, err := persister.Open(c.folderOf(vm), options...)
	if err != nil {
		return nil, err
	}
	return OpenAcceptor(folder)
}

// wipe replaces the VM's disk with an empty one and restarts the replica.
func (c *cluster) wipe(vm string) {
	c.stop(vm)
	if err := os.RemoveAll(c.folderOf(vm)); err != nil {
		c.tb.Fatal(err)
	}
	c.start(vm)
}

func (c *cluster) replica(vm string) Replica {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Replica{DiskID: c.acceptors[vm].DiskID(), VM: vm}
}

func (c *cluster) replicas(vms ...string) []Replica {
	var replicas []Replica
	for _, vm := range vms {
		replicas = append(replicas, c.replica(vm))
	}
	return replicas
}

// acceptorFor returns the VM's replica for one message and whether its reply is to be lost. The error is
// errMessageLost if the request is lost.
func (c *cluster) acceptorFor(vm string) (a *Acceptor, loseReply bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	request, reply := c.loss()
	if c.unreachable[vm] || request || c.acceptors[vm] == nil {
		return nil, false, errMessageLost
	}
	return c.acceptors[vm], reply, nil
}

// Prepare implements Transport.
func (c *cluster) Prepare(_ context.Context, vm string, request PrepareRequest) (PrepareReply, error) {
	a, loseReply, err := c.acceptorFor(vm)
	if err != nil {
		return PrepareReply{}, err
	}
	reply, err := a.Prepare(request)
	if err == nil && loseReply {
		return PrepareReply{}, errMessageLost
	}
	return reply, err
}

// Accept implements Transport.
func (c *cluster) Accept(_ context.Context, vm string, request AcceptRequest) (AcceptReply, error) {
	a, loseReply, err := c.acceptorFor(vm)
	if err != nil {
		return AcceptReply{}, err
	}
	reply, err := c.accept(a, request)
	if err == nil && loseReply {
		return AcceptReply{}, errMessageLost
	}
	return reply, err
}

// accept passes every other request on as the difference from what the replica has accepted, and whole if the replica has got
// another value meanwhile.
func (c *cluster) accept(a *Acceptor, request AcceptRequest) (AcceptReply, error) {
	a.mu.Lock()
	accepted := a.accepted
	a.mu.Unlock()
	if accepted.Value == nil || c.accepts.Add(1)%2 == 0 {
		return a.Accept(request)
	}
	sent := DifferenceRequest{
		Ballot: request.Ballot, Base: accepted.Ballot, Difference: makeDifference(accepted.Value, request.Value), DiskID: request.DiskID,
	}
	var received DifferenceRequest
	copyByJSON(c.tb, sent, &received)
	reply, err := a.AcceptDifference(received)
	if errors.Is(err, ErrOtherBase) {
		return a.Accept(request)
	}
	return reply, err
}

// copyByJSON copies a message as a replica receives it.
func copyByJSON(tb testing.TB, from, to any) {
	tb.Helper()
	encoded, err := json.Marshal(from)
	if err != nil {
		tb.Fatal(err)
	}
	if err := json.Unmarshal(encoded, to); err != nil {
		tb.Fatal(err)
	}
}

// Query implements Transport.
func (c *cluster) Query(_ context.Context, vm string, request QueryRequest) (QueryReply, error) {
	a, loseReply, err := c.acceptorFor(vm)
	if err != nil {
		return QueryReply{}, err
	}
	reply, err := a.Query(request)
	if loseReply {
		return QueryReply{}, errMessageLost
	}
	return reply, err
}

func (c *cluster) proposer(name string, replicas []Replica) *Proposer {
	p := NewProposer(timekeeper.System{}, name, c)
	p.SetConfirmedReplicas(replicas)
	return p
}

func (c *cluster) bootstrap(vms ...string) []Replica {
	c.tb.Helper()
	replicas := c.replicas(vms...)
	_, err := c.proposer("boot", replicas).Bootstrap(context.Background(), &Change{ID: "first", Replicas: replicas, Text: "v1"})
	if err != nil {
		c.tb.Fatal(err)
	}
	return replicas
}

func change(id string, base uint64, replicas []Replica) *Change {
	return &Change{Base: base, ID: id, Replicas: replicas, Text: "text of " + id, Time: time.Unix(0, 0)}
}

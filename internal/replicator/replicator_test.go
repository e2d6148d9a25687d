package replicator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/diskfaker"
	"github.com/marigoldrelay/marigoldrelay/internal/persister"
	"github.com/marigoldrelay/marigoldrelay/internal/seeder"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

func init() {
	seeder.SetFlagDefaults(60, 25)
}

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

// TestConcurrentChangesFromSameVersion guards against lost updates: of several changes that are made from the
// same version at once, one must be applied and the others must return a conflict.
func TestConcurrentChangesFromSameVersion(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	replicas := c.bootstrap("a", "b", "c")
	const operators = 5
	errs := make([]error, operators)
	var wg sync.WaitGroup
	for i := range operators {
		wg.Go(func() {
			p := c.proposer(fmt.Sprintf("p%d", i), replicas)
			_, _, errs[i] = p.Apply(context.Background(), change(fmt.Sprintf("c%d", i), 1, replicas))
		})
	}
	wg.Wait()
	winners := 0
	for _, err := range errs {
		switch {
		case err == nil:
			winners++
		case !errors.Is(err, ErrConflict):
			t.Errorf("got error %v, want a conflict", err)
		}
	}
	if winners != 1 {
		t.Errorf("%d changes were applied, want 1", winners)
	}
}

// TestRepeatedChangeReturnsFirstResult guards against applying a change twice: it is sent again after a later
// change and a restart of all replicas, and must return the version of the first time.
func TestRepeatedChangeReturnsFirstResult(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	replicas := c.bootstrap("a", "b", "c")
	_, first, err := c.proposer("p1", replicas).Apply(context.Background(), change("c1", 1, replicas))
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := c.proposer("p1", replicas).Apply(context.Background(), change("c2", 2, replicas)); err != nil {
		t.Fatal(err)
	}
	for _, vm := range []string{"a", "b", "c"} {
		c.start(vm)
	}
	_, again, err := c.proposer("p2", replicas).Apply(context.Background(), change("c1", 1, replicas))
	if err != nil || again != first {
		t.Errorf("repeated change: version %d, error %v; want version %d", again, err, first)
	}
}

// TestPowerLossAtEachWriteStep interrupts one replica at each step of each record's write, as a power loss does;
// data that was not synced is lost. The replica must start again, and no accepted change may be lost, even if
// the disk of another replica is lost right afterwards.
func TestPowerLossAtEachWriteStep(t *testing.T) {
	for _, step := range persister.Steps() {
		for _, record := range []string{recordPromise, recordAccepted} {
			t.Run(string(step)+" "+record, func(t *testing.T) { testPowerLoss(t, step, record) })
		}
	}
}

func testPowerLoss(t *testing.T, step persister.Step, record string) {
	c := newCluster(t, "a", "b", "c")
	replicas := c.bootstrap("a", "b", "c")
	p := c.proposer("p", replicas)
	c.setWriteHook(func(vm string, at persister.Step, name string) error {
		if vm != "a" || at != step || name != record {
			return nil
		}
		if step == persister.StepBeforeSync {
			if err := os.Truncate(filepath.Join(c.folderOf(vm), name+".new"), 5); err != nil {
				t.Error(err)
			}
		}
		return errPowerLoss
	})
	_, version, err := p.Apply(context.Background(), change("c1", 1, replicas))
	c.setWriteHook(func(string, persister.Step, string) error { return nil })
	c.start("a")
	if applied := err == nil; !applied {
		t.Fatalf("change with a majority of two replicas out of three: %v", err)
	}
	c.wipe("b")
	value, readErr := p.Read(context.Background())
	if readErr != nil {
		t.Fatalf("read after the disk loss: %v", readErr)
	}
	if value.Version < version {
		t.Errorf("version %d was accepted, but version %d was read", version, value.Version)
	}
}

// TestCorruptStateIsRejected guards against a replica that starts with damaged records and so forgets a promise or
// an accepted value.
func TestCorruptStateIsRejected(t *testing.T) {
	corruptions := map[string]func(path string) error{
		"torn":    func(path string) error { return os.Truncate(path, 20) },
		"empty":   func(path string) error { return os.Truncate(path, 0) },
		"missing": os.Remove,
		"flipped": func(path string) error {
			data, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			data[len(data)-1] ^= 1
			return os.WriteFile(path, data, 0o600)
		},
	}
	for name, corrupt := range corruptions {
		for _, record := range []string{recordPromise, recordAccepted} {
			t.Run(name+" "+record, func(t *testing.T) {
				c := newCluster(t, "a")
				c.bootstrap("a")
				c.stop("a")
				if err := corrupt(filepath.Join(c.folderOf("a"), record)); err != nil {
					t.Fatal(err)
				}
				_, err := c.open("a")
				if !errors.Is(err, persister.ErrCorrupt) && !errors.Is(err, persister.ErrMissing) {
					t.Errorf("got error %v, want ErrCorrupt or ErrMissing", err)
				}
			})
		}
	}
}

// TestSecondReplicaLossAfterDiskReplacement guards against data loss when another VM fails right after a lost disk
// was replaced: the new replica must hold the state by then.
func TestSecondReplicaLossAfterDiskReplacement(t *testing.T) {
	for _, second := range []string{"a", "b"} {
		c := newCluster(t, "a", "b", "c")
		old := c.bootstrap("a", "b", "c")
		p := c.proposer("p", old)
		if _, _, err := p.Apply(context.Background(), change("c1", 1, old)); err != nil {
			t.Fatal(err)
		}
		c.wipe("c")
		if _, err := c.acceptors["c"].Prepare(PrepareRequest{DiskID: old[2].DiskID}); !errors.Is(err, ErrOtherDisk) {
			t.Fatalf("request for the old disk: got error %v, want ErrOtherDisk", err)
		}
		repaired := c.replicas("a", "b", "c")
		if _, _, err := p.Apply(context.Background(), change("repair", 2, repaired)); err != nil {
			t.Fatal(err)
		}
		c.setUnreachable(second, true)
		other := c.proposer("other", repaired)
		value, err := other.Read(context.Background())
		if err != nil || value.Version != 3 || len(value.Previous) > 0 {
			t.Fatalf("after the loss of %s: %+v, %v", second, value, err)
		}
		if _, _, err := other.Apply(context.Background(), change("c3", 3, repaired)); err != nil {
			t.Errorf("change after the loss of %s: %v", second, err)
		}
		// A proposer that knows only the old set must not return an old version from its remaining replicas.
		if value, err := c.proposer("stale", old).Read(context.Background()); err == nil && value.Version < 4 {
			t.Errorf("a proposer with the old set read version %d", value.Version)
		}
	}
}

// TestAddedReplicaMustAccept guards against a new replica that counts before it holds the state: a change that adds
// an unreachable replica must fail.
func TestAddedReplicaMustAccept(t *testing.T) {
	c := newCluster(t, "a", "b", "c", "d")
	old := c.bootstrap("a", "b", "c")
	next := c.replicas("a", "b", "d")
	c.setUnreachable("d", true)
	_, _, err := c.proposer("p", old).Apply(context.Background(), change("swap", 1, next))
	if !errors.Is(err, ErrNoMajority) {
		t.Errorf("adding an unreachable replica: got error %v, want ErrNoMajority", err)
	}
}

// TestNoMajority checks that a change without a majority of replicas fails within the time of a round, and that the
// same change succeeds once a majority is reachable.
func TestNoMajority(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	replicas := c.bootstrap("a", "b", "c")
	c.setUnreachable("b", true)
	c.setUnreachable("c", true)
	p := c.proposer("p", replicas)
	started := time.Now()
	if _, _, err := p.Apply(context.Background(), change("c1", 1, replicas)); !errors.Is(err, ErrNoMajority) {
		t.Errorf("got error %v, want ErrNoMajority", err)
	}
	if taken := time.Since(started); taken > roundTimeout+time.Second {
		t.Errorf("the failed change took %s", taken)
	}
	c.setUnreachable("b", false)
	if _, _, err := p.Apply(context.Background(), change("c1", 1, replicas)); err != nil {
		t.Errorf("repeated change: %v", err)
	}
}

// TestBootstrapOnlyOnce guards against a second bootstrap that replaces an existing document: another first version
// must be rejected, and the same one sent again must succeed.
func TestBootstrapOnlyOnce(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	replicas := c.bootstrap("a", "b", "c")
	p := c.proposer("p", nil)
	_, err := p.Bootstrap(context.Background(), &Change{ID: "another", Replicas: replicas, Text: "other"})
	if !errors.Is(err, ErrBootstrapped) {
		t.Errorf("second bootstrap: got error %v, want ErrBootstrapped", err)
	}
	value, err := p.Bootstrap(context.Background(), &Change{ID: "first", Replicas: replicas, Text: "v1"})
	if err != nil || value.Version != 1 {
		t.Errorf("repeated bootstrap: %v", err)
	}
}

// TestReplicaCutOffForLong disconnects a replica during 300 changes and then reconnects it. It must not vote for or
// return its old value.
func TestReplicaCutOffForLong(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	replicas := c.bootstrap("a", "b", "c")
	c.setUnreachable("a", true)
	p := c.proposer("p", replicas)
	const changes = 300
	for version := uint64(1); version <= changes; version++ {
		if _, _, err := p.Apply(context.Background(), change(fmt.Sprintf("c%d", version), version, replicas)); err != nil {
			t.Fatal(err)
		}
	}
	c.setUnreachable("a", false)
	c.setUnreachable("b", true)
	value, err := c.proposer("q", replicas).Read(context.Background())
	if err != nil || value.Version != changes+1 {
		t.Fatalf("read %+v, %v; want version %d", value, err, changes+1)
	}
	if held := c.acceptors["a"].Accepted(); held.Version != changes+1 {
		t.Errorf("the reconnected replica holds version %d", held.Version)
	}
	if _, _, err := c.proposer("r", replicas).Apply(context.Background(), change("old", 1, replicas)); !errors.Is(err, ErrConflict) {
		t.Errorf("change from version 1: got error %v, want a conflict", err)
	}
}

package replicator

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/persister"
	"github.com/marigoldrelay/marigoldrelay/internal/seeder"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

func init() {
	seeder.Fix(60, 25)
}

var (
	errLost  = errors.New("message lost")
	errPower = errors.New("power lost")
)

// disks are the replicas of a test, by VM, with real files.
type disks struct {
	folder string
	tb     testing.TB

	mu       sync.Mutex
	acceptor map[string]*Acceptor
	// cut holds the VMs that no message reaches.
	cut map[string]bool
	// lose decides for each message whether the request or the reply is lost.
	lose func() (request, reply bool)
	// step is called at each step of a write.
	step func(vm string, step persister.Step, name string) error
}

func newDisks(tb testing.TB, vms ...string) *disks {
	tb.Helper()
	folder, err := os.MkdirTemp("", "replicator")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = os.RemoveAll(folder) })
	d := &disks{
		acceptor: make(map[string]*Acceptor), cut: make(map[string]bool), folder: folder, tb: tb,
		lose: func() (bool, bool) { return false, false },
		step: func(string, persister.Step, string) error { return nil },
	}
	for _, vm := range vms {
		d.start(vm)
	}
	return d
}

func (d *disks) path(vm string) string {
	return filepath.Join(d.folder, vm)
}

// start opens the VM's replica from its files.
func (d *disks) start(vm string) {
	d.tb.Helper()
	d.stop(vm)
	a, err := d.open(vm)
	if err != nil {
		d.tb.Fatal(err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.acceptor[vm] = a
}

// setStep replaces what happens at each step of a write.
func (d *disks) setStep(f func(vm string, step persister.Step, name string) error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.step = f
}

// setCut makes the VM unreachable, or reachable again.
func (d *disks) setCut(vm string, cut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cut[vm] = cut
}

// stop ends the VM's replica, if it runs, once no message is being answered.
func (d *disks) stop(vm string) {
	d.mu.Lock()
	a := d.acceptor[vm]
	delete(d.acceptor, vm)
	d.mu.Unlock()
	if a == nil {
		return
	}
	if err := a.Close(); err != nil {
		d.tb.Fatal(err)
	}
}

func (d *disks) open(vm string) (*Acceptor, error) {
	folder, err := persister.Open(d.path(vm), persister.WithStep(func(step persister.Step, name string) error {
		d.mu.Lock()
		f := d.step
		d.mu.Unlock()
		return f(vm, step, name)
	}))
	if err != nil {
		return nil, err
	}
	return OpenAcceptor(folder)
}

// wipe replaces the VM's disk by an empty one.
func (d *disks) wipe(vm string) {
	d.stop(vm)
	if err := os.RemoveAll(d.path(vm)); err != nil {
		d.tb.Fatal(err)
	}
	d.start(vm)
}

func (d *disks) replica(vm string) Replica {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Replica{DiskID: d.acceptor[vm].DiskID(), VM: vm}
}

func (d *disks) replicas(vms ...string) []Replica {
	var replicas []Replica
	for _, vm := range vms {
		replicas = append(replicas, d.replica(vm))
	}
	return replicas
}

func (d *disks) reach(vm string) (a *Acceptor, loseReply bool, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	request, reply := d.lose()
	if d.cut[vm] || request || d.acceptor[vm] == nil {
		return nil, false, errLost
	}
	return d.acceptor[vm], reply, nil
}

// Prepare implements Transport.
func (d *disks) Prepare(_ context.Context, vm string, request PrepareRequest) (PrepareReply, error) {
	a, loseReply, err := d.reach(vm)
	if err != nil {
		return PrepareReply{}, err
	}
	reply, err := a.Prepare(request)
	if err == nil && loseReply {
		return PrepareReply{}, errLost
	}
	return reply, err
}

// Accept implements Transport.
func (d *disks) Accept(_ context.Context, vm string, request AcceptRequest) (AcceptReply, error) {
	a, loseReply, err := d.reach(vm)
	if err != nil {
		return AcceptReply{}, err
	}
	reply, err := a.Accept(request)
	if err == nil && loseReply {
		return AcceptReply{}, errLost
	}
	return reply, err
}

func (d *disks) Query(_ context.Context, vm string, request QueryRequest) (QueryReply, error) {
	a, loseReply, err := d.reach(vm)
	if err != nil {
		return QueryReply{}, err
	}
	reply, err := a.Query(request)
	if loseReply {
		return QueryReply{}, errLost
	}
	return reply, err
}

func (d *disks) proposer(name string, replicas []Replica) *Proposer {
	p := NewProposer(timekeeper.System{}, name, d)
	p.Follow(replicas)
	return p
}

func (d *disks) bootstrap(vms ...string) []Replica {
	d.tb.Helper()
	replicas := d.replicas(vms...)
	_, err := d.proposer("boot", replicas).Bootstrap(context.Background(), &Change{ID: "first", Replicas: replicas, Text: "v1"})
	if err != nil {
		d.tb.Fatal(err)
	}
	return replicas
}

func change(id string, base uint64, replicas []Replica) *Change {
	return &Change{Base: base, ID: id, Replicas: replicas, Text: "text of " + id, Time: time.Unix(0, 0)}
}

func TestOperatorsRaceWithEqualVersions(t *testing.T) {
	d := newDisks(t, "a", "b", "c")
	replicas := d.bootstrap("a", "b", "c")
	const operators = 5
	errs := make([]error, operators)
	var race sync.WaitGroup
	for i := range operators {
		race.Go(func() {
			p := d.proposer(fmt.Sprintf("p%d", i), replicas)
			_, _, errs[i] = p.Apply(context.Background(), change(fmt.Sprintf("c%d", i), 1, replicas))
		})
	}
	race.Wait()
	won := 0
	for _, err := range errs {
		switch {
		case err == nil:
			won++
		case !errors.Is(err, ErrConflict):
			t.Errorf("got %v, want a conflict", err)
		}
	}
	if won != 1 {
		t.Errorf("%d operators won, want 1", won)
	}
}

func TestChangeSentAgainGetsItsFirstResult(t *testing.T) {
	d := newDisks(t, "a", "b", "c")
	replicas := d.bootstrap("a", "b", "c")
	_, first, err := d.proposer("p1", replicas).Apply(context.Background(), change("c1", 1, replicas))
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := d.proposer("p1", replicas).Apply(context.Background(), change("c2", 2, replicas)); err != nil {
		t.Fatal(err)
	}
	for _, vm := range []string{"a", "b", "c"} {
		d.start(vm)
	}
	_, again, err := d.proposer("p2", replicas).Apply(context.Background(), change("c1", 1, replicas))
	if err != nil || again != first {
		t.Errorf("sent again: version %d, %v; want %d", again, err, first)
	}
}

// TestPowerLostAtEachStep cuts the power of one replica at each step of each record's write. What
// was not synced is lost. The replica must start again, and no accepted change may be lost even
// when another replica's disk is lost right after.
func TestPowerLostAtEachStep(t *testing.T) {
	for _, step := range persister.Steps() {
		for _, record := range []string{recordPromise, recordAccepted} {
			t.Run(string(step)+" "+record, func(t *testing.T) { losePower(t, step, record) })
		}
	}
}

func losePower(t *testing.T, step persister.Step, record string) {
	d := newDisks(t, "a", "b", "c")
	replicas := d.bootstrap("a", "b", "c")
	p := d.proposer("p", replicas)
	d.setStep(func(vm string, at persister.Step, name string) error {
		if vm != "a" || at != step || name != record {
			return nil
		}
		if step == persister.StepBeforeSync {
			if err := os.Truncate(filepath.Join(d.path(vm), name+".new"), 5); err != nil {
				t.Error(err)
			}
		}
		return errPower
	})
	_, version, err := p.Apply(context.Background(), change("c1", 1, replicas))
	d.setStep(func(string, persister.Step, string) error { return nil })
	d.start("a")
	if applied := err == nil; !applied {
		t.Fatalf("two replicas of three are a majority: %v", err)
	}
	d.wipe("b")
	value, readErr := p.Read(context.Background())
	if readErr != nil {
		t.Fatalf("reading after the loss: %v", readErr)
	}
	if value.Version < version {
		t.Errorf("version %d was accepted and %d is read", version, value.Version)
	}
}

func TestTornStateIsRefused(t *testing.T) {
	spoil := map[string]func(path string) error{
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
	for name, f := range spoil {
		for _, record := range []string{recordPromise, recordAccepted} {
			t.Run(name+" "+record, func(t *testing.T) {
				d := newDisks(t, "a")
				d.bootstrap("a")
				d.stop("a")
				if err := f(filepath.Join(d.path("a"), record)); err != nil {
					t.Fatal(err)
				}
				_, err := d.open("a")
				if !errors.Is(err, persister.ErrCorrupt) && !errors.Is(err, persister.ErrMissing) {
					t.Errorf("got %v, want the state to be refused", err)
				}
			})
		}
	}
}

// TestSecondLossAfterRepair loses a disk, swaps the new one in, and loses another VM at once.
func TestSecondLossAfterRepair(t *testing.T) {
	for _, second := range []string{"a", "b"} {
		d := newDisks(t, "a", "b", "c")
		old := d.bootstrap("a", "b", "c")
		p := d.proposer("p", old)
		if _, _, err := p.Apply(context.Background(), change("c1", 1, old)); err != nil {
			t.Fatal(err)
		}
		d.wipe("c")
		if _, err := d.acceptor["c"].Prepare(PrepareRequest{DiskID: old[2].DiskID}); !errors.Is(err, ErrOtherDisk) {
			t.Fatalf("a replica without memory voted: %v", err)
		}
		repaired := d.replicas("a", "b", "c")
		if _, _, err := p.Apply(context.Background(), change("repair", 2, repaired)); err != nil {
			t.Fatal(err)
		}
		d.setCut(second, true)
		other := d.proposer("other", repaired)
		value, err := other.Read(context.Background())
		if err != nil || value.Version != 3 || len(value.Previous) > 0 {
			t.Fatalf("after the loss of %s: %+v, %v", second, value, err)
		}
		if _, _, err := other.Apply(context.Background(), change("c3", 3, repaired)); err != nil {
			t.Errorf("a change after the loss of %s: %v", second, err)
		}
		// One that knows the old set only must not take the rest of it for the truth.
		if value, err := d.proposer("stale", old).Read(context.Background()); err == nil && value.Version < 4 {
			t.Errorf("a proposer with the old set read version %d", value.Version)
		}
	}
}

func TestSwapNeedsTheNewDiskToHoldTheState(t *testing.T) {
	d := newDisks(t, "a", "b", "c", "d")
	old := d.bootstrap("a", "b", "c")
	next := d.replicas("a", "b", "d")
	d.setCut("d", true)
	_, _, err := d.proposer("p", old).Apply(context.Background(), change("swap", 1, next))
	if !errors.Is(err, ErrNoMajority) {
		t.Errorf("a replica that can't be reached was swapped in: %v", err)
	}
}

func TestNoMajority(t *testing.T) {
	d := newDisks(t, "a", "b", "c")
	replicas := d.bootstrap("a", "b", "c")
	d.setCut("b", true)
	d.setCut("c", true)
	p := d.proposer("p", replicas)
	started := time.Now()
	if _, _, err := p.Apply(context.Background(), change("c1", 1, replicas)); !errors.Is(err, ErrNoMajority) {
		t.Errorf("got %v, want no majority", err)
	}
	if taken := time.Since(started); taken > roundTime+time.Second {
		t.Errorf("the refusal took %s", taken)
	}
	d.setCut("b", false)
	if _, _, err := p.Apply(context.Background(), change("c1", 1, replicas)); err != nil {
		t.Errorf("the change sent again: %v", err)
	}
}

func TestBootstrapOnlyOnce(t *testing.T) {
	d := newDisks(t, "a", "b", "c")
	replicas := d.bootstrap("a", "b", "c")
	p := d.proposer("p", nil)
	_, err := p.Bootstrap(context.Background(), &Change{ID: "another", Replicas: replicas, Text: "other"})
	if !errors.Is(err, ErrBootstrapped) {
		t.Errorf("a second first version: %v", err)
	}
	value, err := p.Bootstrap(context.Background(), &Change{ID: "first", Replicas: replicas, Text: "v1"})
	if err != nil || value.Version != 1 {
		t.Errorf("the first version sent again: %v", err)
	}
}

// TestReplicaCutOffForLong cuts a replica off while hundreds of changes pass, then brings it back.
// It must not vote for or hand out what it knew before.
func TestReplicaCutOffForLong(t *testing.T) {
	d := newDisks(t, "a", "b", "c")
	replicas := d.bootstrap("a", "b", "c")
	d.setCut("a", true)
	p := d.proposer("p", replicas)
	const changes = 300
	for version := uint64(1); version <= changes; version++ {
		if _, _, err := p.Apply(context.Background(), change(fmt.Sprintf("c%d", version), version, replicas)); err != nil {
			t.Fatal(err)
		}
	}
	d.setCut("a", false)
	d.setCut("b", true)
	value, err := d.proposer("q", replicas).Read(context.Background())
	if err != nil || value.Version != changes+1 {
		t.Fatalf("read %+v, %v; want version %d", value, err, changes+1)
	}
	if held := d.acceptor["a"].Accepted(); held.Version != changes+1 {
		t.Errorf("the replica that came back holds version %d", held.Version)
	}
	if _, _, err := d.proposer("r", replicas).Apply(context.Background(), change("old", 1, replicas)); !errors.Is(err, ErrConflict) {
		t.Errorf("a change from version 1: %v, want a conflict", err)
	}
}

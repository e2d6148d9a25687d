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
)

func init() {
	seeder.SetFlagDefaults(60, 25)
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

package replicator

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/persister"
)

// TestStalledDiskDoesNotDelayChange applies a change while the writes of one replica block. The change must not wait
// for that replica.
func TestStalledDiskDoesNotDelayChange(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	replicas := c.bootstrap("a", "b", "c")
	stalled := make(chan struct{})
	c.setWriteHook(func(vm string, _ persister.Step, _ string) error {
		if vm == "a" {
			<-stalled
		}
		return nil
	})
	_, version, err := c.proposer("p", replicas).Apply(context.Background(), change("c1", 1, replicas))
	close(stalled)
	if err != nil || version != 2 {
		t.Errorf("version %d, %v", version, err)
	}
}

// TestRepeatedRequestsWriteNothing guards against a slow disk that is slowed further by requests which are sent again.
func TestRepeatedRequestsWriteNothing(t *testing.T) {
	c := newCluster(t, "a")
	replicas := c.bootstrap("a")
	ballot := Ballot{Number: 100, Proposer: "p"}
	value := (&Value{Deployment: c.acceptors["a"].Accepted().Deployment, Replicas: replicas}).withChange(change("c1", 1, replicas))
	writes := 0
	send := func() {
		t.Helper()
		prepared, err := c.acceptors["a"].Prepare(PrepareRequest{Ballot: ballot, DiskID: replicas[0].DiskID})
		if err != nil || !prepared.OK {
			t.Fatalf("the ballot is not promised: %+v, %v", prepared, err)
		}
		accepted, err := c.acceptors["a"].Accept(AcceptRequest{Ballot: ballot, DiskID: replicas[0].DiskID, Value: value})
		if err != nil || !accepted.OK {
			t.Fatalf("the value is not accepted: %+v, %v", accepted, err)
		}
	}
	send()
	c.setWriteHook(func(string, persister.Step, string) error {
		writes++
		return nil
	})
	send()
	if writes > 0 {
		t.Errorf("requests that were sent again took %d steps of writing", writes)
	}
}

// heldAccepts is a transport that holds back accept requests until release is closed, like a process that is
// frozen between the phases of a round.
type heldAccepts struct {
	Transport
	release chan struct{}
}

// Accept implements Transport.
func (h heldAccepts) Accept(ctx context.Context, vm string, request AcceptRequest) (AcceptReply, error) {
	<-h.release
	return h.Transport.Accept(context.WithoutCancel(ctx), vm, request)
}

// TestFrozenProposerDoesNotOverwriteNewerChange freezes a proposer for 6 s after its prepare phase, while another
// proposer changes the document. The accept requests that the first one sends afterwards must not undo that change.
func TestFrozenProposerDoesNotOverwriteNewerChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		replicas := c.bootstrap("a", "b", "c")
		release := make(chan struct{})
		frozen := NewProposer(c.proposer("x", nil).clock, "sleeper", heldAccepts{Transport: c, release: release})
		frozen.SetConfirmedReplicas(replicas)
		outcome := make(chan error, 1)
		go func() {
			_, _, err := frozen.Apply(context.Background(), change("slept", 1, replicas))
			outcome <- err
		}()
		synctest.Wait()
		if _, _, err := c.proposer("awake", replicas).Apply(context.Background(), change("made", 1, replicas)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(6 * time.Second)
		close(release)
		if err := <-outcome; err == nil {
			t.Error("the change of the frozen proposer was acknowledged")
		}
		value, err := c.proposer("reader", replicas).Read(context.Background())
		if err != nil || value.Text != "text of made" {
			t.Errorf("read %+v, %v", value, err)
		}
	})
}

// TestChangeIsRetriedAfterLostAcknowledgements loses six of ten acknowledgements and sends each change until it is
// acknowledged, through another proposer each time. No retry may return a conflict or create another version.
func TestChangeIsRetriedAfterLostAcknowledgements(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	replicas := c.bootstrap("a", "b", "c")
	random := rand.New(rand.NewPCG(1, 1))
	for version := uint64(1); version < 30; version++ {
		id := fmt.Sprintf("c%d", version)
		for repeats := 0; ; repeats++ {
			p := c.proposer(fmt.Sprintf("p%d-%d", version, repeats), replicas)
			_, made, err := p.Apply(context.Background(), change(id, version, replicas))
			if errors.Is(err, ErrConflict) {
				t.Fatalf("change %s, attempt %d: %v", id, repeats+1, err)
			}
			if err != nil || random.Float64() < 0.6 {
				continue
			}
			if made != version+1 {
				t.Fatalf("change %s created version %d, want %d", id, made, version+1)
			}
			break
		}
	}
}

// unresponsiveReplica is a transport that never gets an answer from one replica.
type unresponsiveReplica struct {
	Transport
	vm string
}

// Prepare implements Transport.
func (u unresponsiveReplica) Prepare(ctx context.Context, vm string, request PrepareRequest) (PrepareReply, error) {
	if vm == u.vm {
		<-ctx.Done()
		return PrepareReply{}, ctx.Err()
	}
	return u.Transport.Prepare(ctx, vm, request)
}

// TestPreemptedBallotDoesNotWaitForFrozenReplica applies a change while one replica of five is frozen and two have
// promised a higher ballot. The ballot that can no longer win must not wait for the frozen replica before the next
// ballot starts.
func TestPreemptedBallotDoesNotWaitForFrozenReplica(t *testing.T) {
	const operatorTimeout = 900 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a", "b", "c", "d", "e")
		replicas := c.bootstrap("a", "b", "c", "d", "e")
		rival := Ballot{Number: 100, Proposer: "rival"}
		for _, replica := range replicas[:2] {
			if _, err := c.Prepare(t.Context(), replica.VM, PrepareRequest{Ballot: rival, DiskID: replica.DiskID}); err != nil {
				t.Fatal(err)
			}
		}
		p := NewProposer(c.proposer("x", nil).clock, "p", unresponsiveReplica{Transport: c, vm: "e"})
		p.SetConfirmedReplicas(replicas)
		ctx, cancel := context.WithTimeout(t.Context(), operatorTimeout)
		defer cancel()
		started := time.Now()
		_, version, err := p.Apply(ctx, change("c1", 1, replicas))
		t.Logf("applied after %s", time.Since(started))
		if err != nil || version != 2 {
			t.Errorf("version %d, %v", version, err)
		}
		time.Sleep(2 * messageTimeout)
	})
}

// TestStaleMinorityAndReplacedDisk disconnects two replicas of five during changes, then wipes one of the others,
// stops the rest and reconnects the two: three replicas answer, two of them with an old version and the wiped one
// under its old name. No old version may be read; the newest one must be read once a replica that holds it is
// back.
func TestStaleMinorityAndReplacedDisk(t *testing.T) {
	c := newCluster(t, "a", "b", "c", "d", "e")
	replicas := c.bootstrap("a", "b", "c", "d", "e")
	for _, vm := range []string{"d", "e"} {
		c.setUnreachable(vm, true)
	}
	const changes = 20
	for version := uint64(1); version <= changes; version++ {
		if _, _, err := c.proposer("p", replicas).Apply(t.Context(), change(fmt.Sprint("c", version), version, replicas)); err != nil {
			t.Fatal(err)
		}
	}
	c.wipe("a")
	c.stop("b")
	c.stop("c")
	for _, vm := range []string{"d", "e"} {
		c.setUnreachable(vm, false)
	}
	if value, err := c.proposer("reader", replicas).Read(t.Context()); err == nil {
		t.Errorf("version %d was read without a replica that holds version %d", value.Version, changes+1)
	}
	c.start("b")
	value, err := c.proposer("reader", replicas).Read(t.Context())
	if err != nil || value.Version != changes+1 {
		t.Errorf("read %+v, error %v after the restart of b, want version %d", value, err, changes+1)
	}
}

// TestDiskThatHasRoomAgainIsUsed guards against a replica that stays unavailable after its disk has room again because no
// request comes, and against a failed disk of which nobody is told.
func TestDiskThatHasRoomAgainIsUsed(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	replicas := c.bootstrap("a", "b", "c")
	errFull := errors.New("no space left")
	isFull := true
	c.setWriteHook(func(vm string, _ persister.Step, _ string) error {
		if vm == "a" && isFull {
			return errFull
		}
		return nil
	})
	var states []error
	acceptor := c.acceptors["a"]
	acceptor.SetDiskObserver(func(err error) { states = append(states, err) })
	request := PrepareRequest{Ballot: Ballot{Number: 1000, Proposer: "p"}, DiskID: replicas[0].DiskID}
	for range 2 {
		if _, err := acceptor.Prepare(request); !errors.Is(err, errFull) {
			t.Errorf("a request while the disk is full: %v", err)
		}
	}
	if err := acceptor.Recover(); !errors.Is(err, errFull) {
		t.Errorf("the disk is full: %v", err)
	}
	isFull = false
	if err := acceptor.Recover(); err != nil {
		t.Errorf("the disk has room again: %v", err)
	}
	if len(states) != 2 || !errors.Is(states[0], errFull) || states[1] != nil {
		t.Errorf("the observer was told %v, want one failure and its end", states)
	}
}

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

// TestStalledDisk makes a change while one disk answers nothing. The change must not wait for it.
func TestStalledDisk(t *testing.T) {
	d := newDisks(t, "a", "b", "c")
	replicas := d.bootstrap("a", "b", "c")
	stalled := make(chan struct{})
	d.setStep(func(vm string, _ persister.Step, _ string) error {
		if vm == "a" {
			<-stalled
		}
		return nil
	})
	_, version, err := d.proposer("p", replicas).Apply(context.Background(), change("c1", 1, replicas))
	close(stalled)
	if err != nil || version != 2 {
		t.Errorf("version %d, %v", version, err)
	}
}

// frozen is a transport whose sender stands still between the phases of a round.
type frozen struct {
	Transport
	thaw chan struct{}
}

// Accept implements Transport.
func (f frozen) Accept(ctx context.Context, vm string, request AcceptRequest) (AcceptReply, error) {
	<-f.thaw
	return f.Transport.Accept(context.WithoutCancel(ctx), vm, request)
}

// TestFreezeInTheMiddleOfARace freezes a proposer for 6 s after its first phase. Another changes the
// document meanwhile; what the first sends when it wakes must not undo that.
func TestFreezeInTheMiddleOfARace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDisks(t, "a", "b", "c")
		replicas := d.bootstrap("a", "b", "c")
		thaw := make(chan struct{})
		sleeper := NewProposer(d.proposer("x", nil).clock, "sleeper", frozen{Transport: d, thaw: thaw})
		sleeper.Follow(replicas)
		outcome := make(chan error, 1)
		go func() {
			_, _, err := sleeper.Apply(context.Background(), change("slept", 1, replicas))
			outcome <- err
		}()
		synctest.Wait()
		if _, _, err := d.proposer("awake", replicas).Apply(context.Background(), change("made", 1, replicas)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(6 * time.Second)
		close(thaw)
		if err := <-outcome; err == nil {
			t.Error("the change of the frozen proposer was acknowledged")
		}
		value, err := d.proposer("reader", replicas).Read(context.Background())
		if err != nil || value.Text != "text of made" {
			t.Errorf("read %+v, %v", value, err)
		}
	})
}

// TestAcknowledgementsLostSixTimesInTen sends each change until it is acknowledged, through another
// proposer each time.
func TestAcknowledgementsLostSixTimesInTen(t *testing.T) {
	d := newDisks(t, "a", "b", "c")
	replicas := d.bootstrap("a", "b", "c")
	random := rand.New(rand.NewPCG(1, 1))
	for version := uint64(1); version < 30; version++ {
		id := fmt.Sprintf("c%d", version)
		for sent := 0; ; sent++ {
			p := d.proposer(fmt.Sprintf("p%d-%d", version, sent), replicas)
			_, made, err := p.Apply(context.Background(), change(id, version, replicas))
			if errors.Is(err, ErrConflict) {
				t.Fatalf("%s, sent for the %dth time: %v", id, sent+1, err)
			}
			if err != nil || random.Float64() < 0.6 {
				continue
			}
			if made != version+1 {
				t.Fatalf("%s made version %d, want %d", id, made, version+1)
			}
			break
		}
	}
}

// silent is a transport that never gets an answer from one replica.
type silent struct {
	Transport
	vm string
}

// Prepare implements Transport.
func (s silent) Prepare(ctx context.Context, vm string, request PrepareRequest) (PrepareReply, error) {
	if vm == s.vm {
		<-ctx.Done()
		return PrepareReply{}, ctx.Err()
	}
	return s.Transport.Prepare(ctx, vm, request)
}

// TestOutbidBesideFrozenReplica makes a change while one replica of five is frozen and two have promised a
// higher ballot. The round that can't win any more must not wait for the frozen one before it is made again.
func TestOutbidBesideFrozenReplica(t *testing.T) {
	const operatorTime = 900 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		d := newDisks(t, "a", "b", "c", "d", "e")
		replicas := d.bootstrap("a", "b", "c", "d", "e")
		rival := Ballot{Number: 100, Proposer: "rival"}
		for _, replica := range replicas[:2] {
			if _, err := d.Prepare(t.Context(), replica.VM, PrepareRequest{Ballot: rival, DiskID: replica.DiskID}); err != nil {
				t.Fatal(err)
			}
		}
		p := NewProposer(d.proposer("x", nil).clock, "p", silent{Transport: d, vm: "e"})
		p.Follow(replicas)
		ctx, cancel := context.WithTimeout(t.Context(), operatorTime)
		defer cancel()
		started := time.Now()
		_, version, err := p.Apply(ctx, change("c1", 1, replicas))
		t.Logf("made after %s", time.Since(started))
		if err != nil || version != 2 {
			t.Errorf("version %d, %v", version, err)
		}
		time.Sleep(2 * messageTime)
	})
}

// TestMinorityBehindThenLossElsewhere cuts two replicas off while changes are made, then wipes one of the
// others, stops the rest and heals the cut: three replicas answer, two of them with an old version, and the
// wiped one under its old name. No old version may be read; the newest is there once one that holds it is back.
func TestMinorityBehindThenLossElsewhere(t *testing.T) {
	d := newDisks(t, "a", "b", "c", "d", "e")
	replicas := d.bootstrap("a", "b", "c", "d", "e")
	for _, vm := range []string{"d", "e"} {
		d.setCut(vm, true)
	}
	const changes = 20
	for version := uint64(1); version <= changes; version++ {
		if _, _, err := d.proposer("p", replicas).Apply(t.Context(), change(fmt.Sprint("c", version), version, replicas)); err != nil {
			t.Fatal(err)
		}
	}
	d.wipe("a")
	d.stop("b")
	d.stop("c")
	for _, vm := range []string{"d", "e"} {
		d.setCut(vm, false)
	}
	if value, err := d.proposer("reader", replicas).Read(t.Context()); err == nil {
		t.Errorf("version %d was read without a replica that holds version %d", value.Version, changes+1)
	}
	d.start("b")
	value, err := d.proposer("reader", replicas).Read(t.Context())
	if err != nil || value.Version != changes+1 {
		t.Errorf("read %+v, %v after the heal, want version %d", value, err, changes+1)
	}
}

package replicator

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
)

// limitedAccepts is a transport whose accept requests reach only some VMs, like those of a proposer that dies while it
// sends them.
type limitedAccepts struct {
	Transport
	reached []string
}

// Accept implements Transport.
func (l limitedAccepts) Accept(ctx context.Context, vm string, request AcceptRequest) (AcceptReply, error) {
	if !slices.Contains(l.reached, vm) {
		return AcceptReply{}, errMessageLost
	}
	return l.Transport.Accept(ctx, vm, request)
}

// orderedAccepts is a limitedAccepts whose requests are lost only when the others have arrived: a round that can't
// succeed any more is given up, with the requests that are still on their way.
type orderedAccepts struct {
	limitedAccepts

	mu      sync.Mutex
	arrived map[string]bool
	// allArrived is closed when a request has reached each of the VMs.
	allArrived chan struct{}
}

// Accept implements Transport.
func (o *orderedAccepts) Accept(ctx context.Context, vm string, request AcceptRequest) (AcceptReply, error) {
	if !slices.Contains(o.reached, vm) {
		select {
		case <-o.allArrived:
		case <-ctx.Done():
		}
		return AcceptReply{}, errMessageLost
	}
	reply, err := o.limitedAccepts.Accept(ctx, vm, request)
	o.noteArrival(vm)
	return reply, err
}

func (o *orderedAccepts) noteArrival(vm string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.arrived[vm] {
		return
	}
	o.arrived[vm] = true
	if len(o.arrived) == len(o.reached) {
		close(o.allArrived)
	}
}

// dyingProposer returns a proposer whose accept requests reach only the given VMs.
func (c *cluster) dyingProposer(name string, replicas []Replica, reached ...string) *Proposer {
	transport := &orderedAccepts{
		limitedAccepts: limitedAccepts{Transport: c, reached: reached},
		arrived:        make(map[string]bool), allArrived: make(chan struct{}),
	}
	p := NewProposer(c.proposer("x", nil).clock, name, transport)
	p.SetConfirmedReplicas(replicas)
	return p
}

// setCut separates the VMs from the proposers, or reconnects them.
func (c *cluster) setCut(cut bool, vms ...string) {
	for _, vm := range vms {
		c.setUnreachable(vm, cut)
	}
}

// TestInterruptedReconfigurationIsNotCompletedOnNewSetAlone interrupts the change of one replica of five, and again the
// round that is to complete it, on a and b of the old set and f of the new one. The other three then acknowledge
// a change of the document. A proposer that starts from what a has accepted must not read the version before it.
func TestInterruptedReconfigurationIsNotCompletedOnNewSetAlone(t *testing.T) {
	c := newCluster(t, "a", "b", "c", "d", "e", "f")
	replicas := c.bootstrap("a", "b", "c", "d", "e")
	next := c.replicas("a", "b", "c", "d", "f")
	revision := uint64(1)
	if _, err := c.dyingProposer("p1", replicas, "a").Reconfigure(t.Context(), revision, next); !errors.Is(err, ErrNoMajority) {
		t.Fatalf("a change of the replicas that reached one of them: %v", err)
	}
	c.setCut(true, "d", "e")
	if _, err := c.dyingProposer("p2", replicas, "a", "b", "f").Read(t.Context()); !errors.Is(err, ErrNoMajority) {
		t.Fatalf("a round that reached two of the five replicas: %v", err)
	}
	c.setCut(false, "d", "e")
	c.setCut(true, "a", "b", "f")
	_, version, err := c.proposer("p3", replicas).Apply(t.Context(), change("c1", 1, nil))
	if err != nil {
		t.Fatal(err)
	}
	c.setCut(false, "a", "b", "f")
	c.setCut(true, "c", "d", "e")
	reader := NewProposer(c.proposer("x", nil).clock, "reader", c)
	reader.SetUnconfirmedReplicas(c.accepted("a").Replicas)
	if value, err := reader.Read(t.Context()); err == nil && value.Version < version {
		t.Errorf("version %d was read after version %d was acknowledged", value.Version, version)
	}
	c.setCut(false, "c", "d", "e")
	if value, err := reader.Read(t.Context()); err != nil || value.Version != version {
		t.Errorf("read %+v, %v with all replicas, want version %d", value, err, version)
	}
}

// accepted returns the value that the VM's replica has accepted.
func (c *cluster) accepted(vm string) *Value {
	c.mu.Lock()
	a := c.acceptors[vm]
	c.mu.Unlock()
	return a.Accepted()
}

// TestRepairCompletesReconfiguration replaces two lost disks of five and interrupts the change before the old set is
// dropped. Once it is repaired, two further disks are lost: the newest version must still be read, from each replica
// that is left.
func TestRepairCompletesReconfiguration(t *testing.T) {
	c := newCluster(t, "a", "b", "c", "d", "e")
	replicas := c.bootstrap("a", "b", "c", "d", "e")
	if _, _, err := c.proposer("p", replicas).Apply(t.Context(), change("c1", 1, nil)); err != nil {
		t.Fatal(err)
	}
	c.wipe("d")
	c.wipe("e")
	next := c.replicas("a", "b", "c", "d", "e")
	joint, err := c.proposer("p2", replicas).runRound(t.Context(), func(current *Value) (*Value, error) {
		return current.withReplicas(next), nil
	})
	if err != nil || len(joint.Previous) == 0 {
		t.Fatalf("changing the replicas: %+v, %v", joint, err)
	}
	if value, err := c.proposer("p3", next).Repair(t.Context()); err != nil || len(value.Previous) > 0 {
		t.Fatalf("repair: %+v, %v", value, err)
	}
	c.wipe("a")
	c.wipe("b")
	for _, vm := range []string{"c", "d", "e"} {
		reader := NewProposer(c.proposer("x", nil).clock, "reader-"+vm, c)
		reader.SetUnconfirmedReplicas(c.accepted(vm).Replicas)
		if value, err := reader.Read(t.Context()); err != nil || value.Version != 2 {
			t.Errorf("read %+v, %v from what %s has accepted, want version 2", value, err, vm)
		}
	}
}

// TestGrowthIsCompletedWithoutIllReplica grows a register from three replicas to five while one of the new ones doesn't
// answer. The other one must be taken in all the same, and once the first answers again, a change that was
// acknowledged meanwhile must survive the loss of any two disks.
func TestGrowthIsCompletedWithoutIllReplica(t *testing.T) {
	vms := []string{"a", "b", "c", "d", "e"}
	for i := range vms {
		for j := range i {
			c := newCluster(t)
			for _, vm := range vms {
				c.simulateDisk(vm)
			}
			c.bootstrap(vms[:3]...)
			c.setCut(true, "d")
			p := c.dyingProposer("p", c.replicas(vms[:3]...), "a", "b", "c", "e")
			if _, err := p.Reconfigure(t.Context(), 1, c.replicas(vms...)); !errors.Is(err, ErrNoMajority) {
				t.Fatalf("growing with a replica that doesn't answer: %v", err)
			}
			grown, err := p.Repair(t.Context())
			if err != nil || len(grown.Replicas) != 5 || len(grown.Previous) > 0 {
				t.Fatalf("the register after the repair: %+v, %v", grown, err)
			}
			if _, _, err := p.Apply(t.Context(), change("c1", 1, nil)); err != nil {
				t.Fatal(err)
			}
			c.setCut(false, "d")
			c.loseSimulatedDisk(vms[i])
			c.loseSimulatedDisk(vms[j])
			value, err := c.proposer("q", grown.Replicas).Read(t.Context())
			if err != nil || value.Version != 2 {
				t.Errorf("after the loss of the disks of %s and %s: %+v, %v", vms[i], vms[j], value, err)
			}
		}
	}
}

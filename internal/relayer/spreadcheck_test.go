package relayer_test

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/relayer"
	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
)

// storm sends changes to the nodes of the step in turn and checks that each one spreads.
func (f *spreadFleet) storm(step *spreadStep) {
	var pending []acknowledgedChange
	for i := range max(1, step.Count) {
		f.sendChange(step.Nodes[i%len(step.Nodes)])
		pending = append(pending, acknowledgedChange{version: f.version, at: time.Now()})
		for wake := time.Now().Add(step.Gap.Std()); time.Now().Before(wake); time.Sleep(min(checkInterval, time.Until(wake))) {
			pending = f.checkDue(pending)
		}
	}
	f.checkSpread(pending...)
}

// acknowledgedChange is a version with the time of its acknowledgement.
type acknowledgedChange struct {
	version uint64
	at      time.Time
}

// checkDue fails the test if a version that was acknowledged applyBound ago is not in force at a node in touch. It returns those
// that were acknowledged later.
func (f *spreadFleet) checkDue(pending []acknowledgedChange) []acknowledgedChange {
	f.t.Helper()
	for len(pending) > 0 && time.Since(pending[0].at) >= applyBound {
		f.checkInForce(pending[0].version)
		pending = pending[1:]
	}
	return pending
}

// checkInForce fails the test if nodes in touch have an older version than this in force.
func (f *spreadFleet) checkInForce(version uint64) {
	f.t.Helper()
	late := 0
	for i, node := range f.nodes {
		if !f.outOfTouch[i] && node.Status().DocumentVersion < version {
			late++
		}
	}
	if late > 0 {
		f.t.Errorf("version %d is not in force at %d nodes %s after its acknowledgement", version, late, applyBound)
	}
}

// change makes a change through a node and checks that it spreads.
func (f *spreadFleet) change(number int) {
	f.sendChange(number)
	f.checkSpread()
}

// sendChange sends a change to a node until it is acknowledged.
func (f *spreadFleet) sendChange(number int) {
	f.t.Helper()
	for deadline := time.Now().Add(spreadFormTime); !f.tryChange(number); time.Sleep(checkInterval) {
		if time.Now().After(deadline) {
			f.t.Fatalf("version %d is not acknowledged", f.version+1)
		}
	}
}

// tryChange sends a change to a node once, and reports whether it is acknowledged.
func (f *spreadFleet) tryChange(number int) bool {
	ctx, cancel := context.WithTimeout(f.t.Context(), changeLimit)
	defer cancel()
	if f.send(ctx, number) != nil {
		return false
	}
	if f.order == nil {
		f.version++
		return true
	}
	f.evacuated = slices.DeleteFunc(f.evacuated, func(name string) bool { return name == f.order.DataCentre })
	if !f.order.Withdrawn {
		f.evacuated = append(f.evacuated, f.order.DataCentre)
		slices.Sort(f.evacuated)
	}
	return true
}

// send sends the order, or else the next change, to a node.
func (f *spreadFleet) send(ctx context.Context, number int) error {
	if f.order != nil {
		return f.node(number).Evacuate(ctx, f.order)
	}
	return f.node(number).Change(ctx, f.nextChange())
}

// isCurrent reports whether the newest version and the evacuated data centres are in force at a node.
func (f *spreadFleet) isCurrent(node *relayer.Node) bool {
	status := node.Status()
	return status.DocumentVersion >= f.version && slices.Equal(status.Evacuated, f.evacuated)
}

// checkSpread waits until the newest version, acknowledged just now, is in force at all nodes in touch, and fails the test
// if that takes longer than applyBound, or if an earlier one that is pending is late.
func (f *spreadFleet) checkSpread(pending ...acknowledgedChange) {
	f.t.Helper()
	acknowledged := time.Now()
	last := time.Duration(0)
	for i, node := range f.nodes {
		for !f.outOfTouch[i] && !f.isCurrent(node) {
			last = time.Since(acknowledged)
			if last > applyBound {
				f.t.Errorf("version %d and %v are not in force at node %d %s after their acknowledgement", f.version, f.evacuated, i, applyBound)
				return
			}
			time.Sleep(checkInterval)
			pending = f.checkDue(pending)
		}
	}
	f.t.Logf("version %d, evacuated %v: in force everywhere after %s", f.version, f.evacuated, last)
}

// nextChange returns the change that makes the next version.
func (f *spreadFleet) nextChange() *replicator.Change {
	next := f.version + 1
	return &replicator.Change{Base: f.version, ID: fmt.Sprint(next), Text: f.textOf(next), Version: next}
}

package replicator

import (
	"context"
	"fmt"
	"slices"

	"github.com/ansel1/merry/v2"
)

// Errors of Evacuate.
var (
	// ErrLastDataCentre is wrapped by the error of an order after which no data centre would be left.
	ErrLastDataCentre = merry.Sentinel("no other data centre would be left")
	// ErrUnknownDataCentre is wrapped by the error of an order that names an unknown data centre.
	ErrUnknownDataCentre = merry.Sentinel("no such data centre")
)

// Evacuation is an order that nothing is sent to the upstreams of a data centre, or the end of that.
type Evacuation struct {
	DataCentre string
	// Known are the data centres of the deployment.
	Known []string
	// Withdrawn is true if the order ends an evacuation.
	Withdrawn bool
}

// EvacuationResult tells how an order was carried out.
type EvacuationResult struct {
	// Value is the value in force.
	Value *Value
	// Changed is false if the value was as ordered before.
	Changed bool
	// Acknowledged are the VMs whose replicas have stored the value in the order's round.
	Acknowledged []string
}

// Evacuate carries out the order. Its result is nil if that is not known to be chosen. An order that changes nothing runs a round
// too: a read can't end an earlier order about which a minority of the replicas knows, so that it would be carried out later. The
// error wraps ErrUnknownDataCentre or ErrLastDataCentre for an order that can't be carried out.
func (p *Proposer) Evacuate(ctx context.Context, order *Evacuation) (*EvacuationResult, error) {
	if !slices.Contains(order.Known, order.DataCentre) {
		return nil, fmt.Errorf("%w: %s", ErrUnknownDataCentre, order.DataCentre)
	}
	result := &EvacuationResult{}
	value, round, err := p.runObserved(ctx, func(current *Value) (*Value, error) {
		result.Changed = false
		evacuated, err := order.applyTo(current.Evacuated)
		if err != nil || slices.Equal(evacuated, current.Evacuated) {
			return current, err
		}
		result.Changed = true
		return current.withEvacuated(evacuated), nil
	})
	if err != nil {
		return nil, err
	}
	result.Value, result.Acknowledged = value, round.Acknowledged
	return result, nil
}

// applyTo returns the evacuated data centres after the order, in alphabetical order.
func (o *Evacuation) applyTo(evacuated []string) ([]string, error) {
	switch isEvacuated := slices.Contains(evacuated, o.DataCentre); {
	case isEvacuated != o.Withdrawn:
		return evacuated, nil
	case isEvacuated:
		return slices.DeleteFunc(slices.Clone(evacuated), func(name string) bool { return name == o.DataCentre }), nil
	}
	isLeft := func(name string) bool { return name != o.DataCentre && !slices.Contains(evacuated, name) }
	if !slices.ContainsFunc(o.Known, isLeft) {
		return nil, fmt.Errorf("%w: %s", ErrLastDataCentre, o.DataCentre)
	}
	next := append(slices.Clone(evacuated), o.DataCentre)
	slices.Sort(next)
	return next, nil
}

// withEvacuated returns the successor of v that has the same document on the same replicas and the given evacuated data
// centres.
func (v *Value) withEvacuated(evacuated []string) *Value {
	successor := v.withReplicas(v.Replicas)
	successor.Evacuated = evacuated
	return successor
}

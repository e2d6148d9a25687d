package relayer

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

// evacuationProbeTime is how long a node whose data centre is no longer evacuated waits for an answer of its upstream before
// it sends requests to it.
const evacuationProbeTime = time.Second

// evacuationRetryInterval is the time between two rounds for one order.
const evacuationRetryInterval = 50 * time.Millisecond

// Evacuate carries out an order to evacuate a data centre, or to end that. It returns nil once the order is stored by a majority
// of the replicas. The error wraps replicator.ErrUnknownDataCentre, replicator.ErrLastDataCentre or
// replicator.ErrNoMajority, or is ErrTooFewReplicas while the register has too few replicas.
func (n *Node) Evacuate(ctx context.Context, order *replicator.Evacuation) error {
	if !n.acceptsChanges() {
		return ErrTooFewReplicas
	}
	return n.register.evacuate(ctx, order)
}

// evacuate carries out an order in a round that this node runs: orders are rare, and one that was passed on to another node
// could come into force after a later one that takes it back.
func (r *register) evacuate(ctx context.Context, order *replicator.Evacuation) error {
	ctx, cancel := r.interruptible(ctx)
	defer cancel()
	r.assumeAcceptedReplicas()
	known := *order
	known.Known = slices.Concat(r.node.knownDataCentres(), r.node.evacuatedDataCentres(), order.Known)
	result, err := r.retryEvacuation(ctx, &known)
	if err == nil {
		err = r.adopt(result.Value)
	}
	r.node.logEvacuation(order, result, err)
	return err
}

// retryEvacuation runs rounds until a majority has answered or ctx is done: a replica that is slow for the time of one message
// must not make the operator repeat the order.
func (r *register) retryEvacuation(ctx context.Context, order *replicator.Evacuation) (*replicator.EvacuationResult, error) {
	for {
		result, err := r.proposer.Evacuate(ctx, order)
		if !errors.Is(err, replicator.ErrNoMajority) {
			return result, err
		}
		r.node.meter.Event("evacuation_rounds_failed")
		timekeeper.Sleep(ctx, r.node.clock, evacuationRetryInterval)
		if ctx.Err() != nil {
			return result, err
		}
	}
}

// logEvacuation counts an order and logs it with the replicas that have acknowledged it.
func (n *Node) logEvacuation(order *replicator.Evacuation, result *replicator.EvacuationResult, err error) {
	fields := []any{"data-centre", order.DataCentre, "withdrawn", order.Withdrawn}
	if err != nil {
		n.meter.Event("evacuation_orders_refused")
		n.log.Warn("An order to evacuate is not carried out.", append(fields, "error", err)...)
		return
	}
	n.meter.Event("evacuation_orders")
	n.log.Info("An order to evacuate is stored.", append(fields, "changed", result.Changed, "revision", result.Value.Revision,
		"acknowledged", strings.Join(result.Acknowledged, ","))...)
}

// knownDataCentres returns the data centres of the settings and of the members that this node knows.
func (n *Node) knownDataCentres() []string {
	known := append([]string{n.settings.DataCentre}, n.settings.DataCentres...)
	for _, m := range n.gossiper.Members() {
		known = append(known, m.DataCentre)
	}
	slices.Sort(known)
	return slices.Compact(known)
}

// evacuatedDataCentres returns the data centres that are evacuated, as this node knows.
func (n *Node) evacuatedDataCentres() []string {
	value := n.register.Local()
	if value == nil {
		return nil
	}
	return slices.Clone(value.Evacuated)
}

// applyEvacuated puts a list of evacuated data centres in force. It is called with activateMu held.
func (n *Node) applyEvacuated(evacuated []string) {
	if slices.Equal(evacuated, n.evacuated) {
		return
	}
	wasEvacuated := slices.Contains(n.evacuated, n.settings.DataCentre)
	isEvacuated := slices.Contains(evacuated, n.settings.DataCentre)
	n.evacuated = evacuated
	n.log.Info("The evacuated data centres have changed.", "evacuated", strings.Join(evacuated, ","), "this-node", isEvacuated)
	for _, name := range evacuated {
		n.registerEvacuationGauge(name)
	}
	n.router.SetEvacuated(evacuated)
	if isEvacuated == wasEvacuated {
		return
	}
	n.evacuations++
	if isEvacuated {
		n.executor.BeginEvacuation()
		return
	}
	go n.resumeUpstream(n.evacuations)
}

// resumeUpstream gives the upstream requests again after an evacuation, once it has answered a probe or evacuationProbeTime has
// passed. The number is that of the end of the evacuation; if another evacuation has begun since, nothing is done.
func (n *Node) resumeUpstream(number uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), evacuationProbeTime)
	defer cancel()
	started := n.clock.Now()
	isAnswered := n.prober.ProbeNow(ctx)
	n.activateMu.Lock()
	defer n.activateMu.Unlock()
	if n.evacuations != number {
		return
	}
	n.executor.EndEvacuation(isAnswered)
	n.log.Info("The upstream gets requests again after an evacuation.", "answered", isAnswered, "took", n.clock.Now().Sub(started))
}

// registerEvacuationGauge adds the gauge that tells whether a data centre is evacuated, as this node knows.
func (n *Node) registerEvacuationGauge(dataCentre string) {
	n.meter.Gauge(fmt.Sprintf("evacuated{data_centre=%q}", dataCentre), func() float64 {
		if slices.Contains(n.evacuatedDataCentres(), dataCentre) {
			return 1
		}
		return 0
	})
}

package relayer

import (
	"fmt"
	"slices"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/asserter"
	"github.com/marigoldrelay/marigoldrelay/internal/distributor"
	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
	"github.com/marigoldrelay/marigoldrelay/internal/validator"
)

// valueSource is the way in which a value of the register reaches a node.
type valueSource string

const (
	// sourceFetch is a request to a member that has told of a newer revision.
	sourceFetch valueSource = "fetch"
	// sourceLeader is the leader's reply to a change that was passed on to it.
	sourceLeader valueSource = "leader"
	// sourcePush is a message of the node that has got the value chosen.
	sourcePush valueSource = "push"
	// sourceRound is a round or a read of this node.
	sourceRound valueSource = "round"
)

// arrival tells how a value of the register has reached a node.
type arrival struct {
	source valueSource
	// at is when the message with the value had been read, or the round was over.
	at time.Time
	// bytes is the size of the compressed text or patch in the message; zero if there was none.
	bytes int
}

// activatePacked puts a document from another node in force, unless the current one is as new or newer.
func (n *Node) activatePacked(p *distributor.Document, source valueSource) error {
	arrived := arrival{source: source, at: n.clock.Now(), bytes: p.Size()}
	if p.Revision <= n.revision() {
		n.meter.Event("values_arrived_again")
		return nil
	}
	if err := n.checkDeployment(p.Deployment); err != nil {
		return err
	}
	value, err := p.Value(n.register.Local())
	if err != nil {
		return err
	}
	return n.activateArrived(value, arrived)
}

// checkDeployment returns an error if the deployment is not that of the value in force.
func (n *Node) checkDeployment(deployment string) error {
	local := n.register.Local()
	if local == nil || local.Deployment == deployment {
		return nil
	}
	n.meter.Event("foreign_documents")
	return fmt.Errorf("document of another deployment: %s, not %s", deployment, local.Deployment)
}

// activateValue puts a value of the register in force that came without a message, as activateArrived does.
func (n *Node) activateValue(value *replicator.Value, source valueSource) error {
	return n.activateArrived(value, arrival{source: source, at: n.clock.Now()})
}

// activateArrived puts a value of the register in force, unless the current one is as new or newer. It returns an error
// for a value of another deployment or with a document that is not valid.
func (n *Node) activateArrived(value *replicator.Value, arrived arrival) error {
	// The same document can come in several ways at once, and takes long to parse on a slow VM.
	n.parseMu.Lock()
	defer n.parseMu.Unlock()
	if err := n.checkDeployment(value.Deployment); err != nil {
		return err
	}
	if value.Revision <= n.revision() {
		return nil
	}
	document, err := n.documentOf(value)
	if err != nil {
		return err
	}
	n.register.history.Add(value)
	if n.activate(document, value) {
		n.meter.Event("values_by_" + string(arrived.source))
		n.log.Info("A value of the register is in force.", "version", value.Version, "revision", value.Revision,
			"replicas", len(value.Replicas), "source", arrived.source, "text-bytes", len(value.Text), "packed-bytes", arrived.bytes,
			"took", n.clock.Now().Sub(arrived.at), "arrived-again", n.meter.EventCount("values_arrived_again"))
		n.register.proposer.SetConfirmedReplicas(value.Replicas)
	}
	return nil
}

// documentOf returns the document of a value, or nil before the first version. The document in force is not parsed
// again.
func (n *Node) documentOf(value *replicator.Value) (*validator.Document, error) {
	if value.Version == 0 {
		return nil, nil
	}
	current := n.active.Load()
	if current != nil && current.value != nil && current.value.Version == value.Version && current.value.Text == value.Text {
		return current.document, nil
	}
	document, err := n.parseDocument(value.Text)
	if !asserter.That(err == nil, "register-valid", "version %d: %v", value.Version, err) {
		return nil, err
	}
	return document, nil
}

// registerValue returns the value of the register that is in force, or nil if none with replicas is.
func (n *Node) registerValue() *replicator.Value {
	if value := n.register.Local(); value != nil && len(value.Replicas) > 0 {
		return value
	}
	return nil
}

// expectsRegister reports whether the deployment has a register although this node has no value of it yet: it has a data folder
// itself, or knows a member with one, or can't know because it has just started.
func (n *Node) expectsRegister() bool {
	if n.settings.DataFolder != "" || n.settings.SelfForming {
		return true
	}
	hasDisk := func(m gossiper.Member) bool { return m.DiskID != "" }
	return slices.ContainsFunc(n.gossiper.Members(), hasDisk) || len(n.settings.Seeds) > 0 && len(n.livePeers()) == 0
}

// revision returns the revision of the register's value that is in force, or zero.
func (n *Node) revision() uint64 {
	if value := n.register.Local(); value != nil {
		return value.Revision
	}
	return 0
}

package relayer

import (
	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
	"github.com/marigoldrelay/marigoldrelay/internal/validator"
)

// inForce is the document that the node follows.
type inForce struct {
	// document is nil where the register holds none yet.
	document *validator.Document
	// value is the register's value, or nil for the document that the settings name.
	value *replicator.Value
}

// Preset puts a document in force until the register has one.
func (n *Node) Preset(document *validator.Document) {
	n.apply(document, nil)
}

// apply puts a document in force unless a newer one is. The document is nil where the value holds none.
func (n *Node) apply(document *validator.Document, value *replicator.Value) bool {
	n.applying.Lock()
	defer n.applying.Unlock()
	old := n.document.Load()
	if old != nil && (value == nil || value.Revision <= n.revision()) {
		return false
	}
	if document == nil && old != nil {
		document = old.document
	}
	n.document.Store(&inForce{document: document, value: value})
	if document != nil && (old == nil || old.document != document) {
		n.configure(document)
	}
	if value != nil {
		n.gossiper.SetVersion(value.Revision)
		n.log.Info("A value of the register is in force.", "version", value.Version, "revision", value.Revision,
			"replicas", len(value.Replicas))
	}
	return true
}

// configure makes the parts follow a document.
func (n *Node) configure(document *validator.Document) {
	n.executor.Configure(document)
	n.dispatcher.Configure(document)
	rate := float64(document.Budgets.ControlBytesPerSecond)
	n.gossipBytes.SetRate(gossipPart * rate)
	n.bindingBytes.SetRate(bindingPart * rate)
	n.membershipBytes.SetRate(membershipPart * rate)
}

// current returns the document in force, or nil.
func (n *Node) current() *validator.Document {
	if current := n.document.Load(); current != nil {
		return current.document
	}
	return nil
}

// documentVersion returns the version of the document in force, or zero.
func (n *Node) documentVersion() uint64 {
	if value := n.register.Local(); value != nil {
		return value.Version
	}
	return 0
}

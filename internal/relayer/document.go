package relayer

import (
	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
	"github.com/marigoldrelay/marigoldrelay/internal/validator"
)

// activeDocument is the document in force on the node.
type activeDocument struct {
	// document is nil if the register holds none yet.
	document *validator.Document
	// value is the register's value, or nil for the document that the settings name.
	value *replicator.Value
}

// SetInitialDocument puts a document in force until the register has one. It does nothing if one is already in force.
func (n *Node) SetInitialDocument(document *validator.Document) {
	n.activate(document, nil)
}

// activate puts a document in force, unless the current one is as new or newer, and reports whether it did. The
// document is nil if the value holds none; the previous document then stays.
func (n *Node) activate(document *validator.Document, value *replicator.Value) bool {
	n.activateMu.Lock()
	defer n.activateMu.Unlock()
	old := n.active.Load()
	if old != nil && (value == nil || value.Revision <= n.revision()) {
		return false
	}
	if document == nil && old != nil {
		document = old.document
	}
	if value != nil {
		// Before the document, so that a node that has just started sends nothing to a data centre that is evacuated.
		n.applyEvacuated(value.Evacuated)
	}
	n.active.Store(&activeDocument{document: document, value: value})
	if document != nil && (old == nil || old.document != document) {
		n.configure(document)
	}
	n.confirmer.Wake()
	n.quotas.configure()
	if value != nil {
		n.gossiper.SetVersion(value.Revision)
	}
	return true
}

// configure passes a document to the components that depend on it.
func (n *Node) configure(document *validator.Document) {
	n.authenticator.Configure(document)
	n.executor.Configure(document)
	n.dispatcher.Configure(document)
	rate := float64(document.Budgets.ControlBytesPerSecond)
	n.gossipBudget.SetRate(gossipShare * rate)
	n.bindingBudget.SetRate(bindingShare * rate)
	n.membershipBudget.SetRate(membershipShare * rate)
}

// currentDocument returns the document in force, or nil.
func (n *Node) currentDocument() *validator.Document {
	if current := n.active.Load(); current != nil {
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

// Package replicator stores one value, the configuration, on a small set of replicas with disks. It
// implements a replicated register with single-value Paxos and without a log (Lamport, 1998; Rystsov:
// CASPaxos, 2018): every change is a round that reads the newest value from a majority of the replicas
// and then gets the successor of that value accepted by a majority.
package replicator

import (
	"encoding/json"
	"slices"
	"strings"
	"time"
)

// Limits on the lists in a Value.
const (
	maxHistoryEntries = 20
	maxChangeResults  = 600
	maxHistoryTexts   = 2
)

// Replica identifies one replica of the register. A VM that has lost its disk counts as a different replica, because
// its new disk has another id.
type Replica struct {
	DiskID string `json:"disk-id"`
	VM     string `json:"vm"`
}

// Value is the content of the register: the document, the replicas that store it, its history and the data centres that are
// evacuated.
type Value struct {
	// Deployment is a random id that is generated when the register is created and never changes.
	Deployment string `json:"deployment"`
	// Evacuated lists the data centres to whose upstreams nothing is sent, in alphabetical order.
	Evacuated []string `json:"evacuated,omitempty"`
	// History lists the most recent versions, the newest last: at most maxHistoryEntries.
	History []Entry `json:"history"`
	// Previous is the set of replicas before the change that made this value, if that change replaced
	// the set. While it is present, a majority of this set must accept a value as well.
	Previous []Replica `json:"previous,omitempty"`
	Replicas []Replica `json:"replicas"`
	// ReplicasRevision is the revision at which the set of replicas changed last. It is zero if that is not known: earlier
	// versions do not set it, and drop it from the values that they propose.
	ReplicasRevision uint64 `json:"replicas-revision,omitempty"`
	// Results lists the most recent changes, the newest last: at most maxChangeResults.
	Results []ChangeResult `json:"results"`
	// Revision increases by one with each change of the document, of the replicas or of the evacuated data centres.
	Revision uint64 `json:"revision"`
	// Text is the document as the operator wrote it.
	Text string `json:"text,omitempty"`
	// Version is the version of the document; zero before the first document.
	Version uint64 `json:"version"`
}

// wireValue is the JSON form of a Value, with the text compressed.
type wireValue struct {
	plainValue
	Packed []byte `json:"packed"`
}

// plainValue has the fields of Value without its methods, so that encoding it does not call MarshalJSON
// again.
type plainValue Value

// MarshalJSON implements json.Marshaler. The text is written compressed.
func (v *Value) MarshalJSON() ([]byte, error) {
	wire := wireValue{plainValue: plainValue(*v), Packed: Pack(v.Text)}
	wire.Text = ""
	return json.Marshal(wire)
}

// UnmarshalJSON implements json.Unmarshaler. The error wraps ErrUnpack if the text can't be
// decompressed.
func (v *Value) UnmarshalJSON(data []byte) error {
	var wire wireValue
	if err := json.Unmarshal(data, &wire); err != nil {
		return err
	}
	text, err := Unpack(wire.Packed)
	if err != nil {
		return err
	}
	*v = Value(wire.plainValue)
	v.Text = text
	return nil
}

// Entry describes one version in the history of a Value.
type Entry struct {
	Author   string `json:"author,omitempty"`
	ChangeID string `json:"change-id"`
	// Packed is the compressed text. It is empty in all but the newest maxHistoryTexts entries.
	Packed  []byte    `json:"packed,omitempty"`
	Time    time.Time `json:"time"`
	Version uint64    `json:"version"`
}

// ChangeResult records which version a change created, so that a change that is sent again gets the
// same result.
type ChangeResult struct {
	ChangeID string `json:"change-id"`
	Version  uint64 `json:"version"`
}

// Change is a request to replace the document and, optionally, the set of replicas.
type Change struct {
	Author string
	// Base is the version that the change was made from.
	Base uint64
	// ID identifies the change, so that a repeated request is distinguished from a new change.
	ID string
	// Replicas is the new set of replicas; nil keeps the current one.
	Replicas []Replica
	Text     string
	Time     time.Time
	// Version is the version number that the author has chosen; zero selects the next one.
	Version uint64
}

// appliedVersion returns the version that the change with the id created, if the change is among the
// stored results.
func (v *Value) appliedVersion(changeID string) (uint64, bool) {
	for _, result := range v.Results {
		if result.ChangeID == changeID {
			return result.Version, true
		}
	}
	return 0, false
}

// withChange returns the value that results from applying the change to v.
func (v *Value) withChange(change *Change) *Value {
	successor := v.withReplicas(v.Replicas)
	if change.Replicas != nil {
		successor = v.withReplicas(change.Replicas)
	}
	successor.Text = change.Text
	successor.Version = v.Version + 1
	if change.Version > 0 {
		successor.Version = change.Version
	}
	successor.History = append(slices.Clone(v.History), Entry{
		Author: change.Author, ChangeID: change.ID, Packed: Pack(change.Text), Time: change.Time, Version: successor.Version,
	})
	successor.History = successor.History[max(0, len(successor.History)-maxHistoryEntries):]
	for i := range max(0, len(successor.History)-maxHistoryTexts) {
		successor.History[i].Packed = nil
	}
	successor.Results = append(slices.Clone(v.Results), ChangeResult{ChangeID: change.ID, Version: successor.Version})
	successor.Results = successor.Results[max(0, len(successor.Results)-maxChangeResults):]
	return successor
}

// withReplicas returns the successor of v that has the same document on the given replicas.
func (v *Value) withReplicas(replicas []Replica) *Value {
	successor := *v
	successor.Previous = nil
	successor.Replicas = replicas
	successor.Revision++
	if !sameReplicas(v.Replicas, replicas) {
		successor.Previous = v.Replicas
		successor.ReplicasRevision = successor.Revision
	}
	return &successor
}

// withoutPrevious returns the value without its previous set of replicas. Once majorities of both sets have
// accepted the result, the change of the replicas is complete and the old set is no longer needed.
func (v *Value) withoutPrevious() *Value {
	if len(v.Previous) == 0 {
		return v
	}
	current := *v
	current.Previous = nil
	return &current
}

func sameReplicas(a, b []Replica) bool {
	return slices.Equal(sortedReplicas(a), sortedReplicas(b))
}

func sortedReplicas(replicas []Replica) []Replica {
	sorted := slices.Clone(replicas)
	slices.SortFunc(sorted, func(a, b Replica) int {
		return strings.Compare(a.VM+"/"+a.DiskID, b.VM+"/"+b.DiskID)
	})
	return sorted
}

// Ballot is the proposal number of Paxos. Ballots are totally ordered across all proposers: by number, then
// by the proposer's name. The zero ballot is below every other.
type Ballot struct {
	Number   uint64 `json:"number"`
	Proposer string `json:"proposer"`
}

// Less reports whether b is lower than other.
func (b Ballot) Less(other Ballot) bool {
	if b.Number != other.Number {
		return b.Number < other.Number
	}
	return b.Proposer < other.Proposer
}

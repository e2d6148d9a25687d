// Package replicator keeps one value, the configuration, on a few replicas with disks. It is a
// register in the manner of single-value Paxos without a log (Lamport, 1998; Rystsov: CASPaxos,
// 2018): every change is a round that reads the newest value from a majority and has its successor
// accepted by one.
package replicator

import (
	"encoding/json"
	"slices"
	"strings"
	"time"
)

const (
	maxHistory = 20
	maxResults = 600
	maxTexts   = 2
)

// Replica names one voter. A VM whose disk was lost is another replica.
type Replica struct {
	DiskID string `json:"disk-id"`
	VM     string `json:"vm"`
}

// Value is what the register holds.
type Value struct {
	// Deployment is drawn at the first version and never changes.
	Deployment string `json:"deployment"`
	// History lists the last versions, the newest last.
	History []Entry `json:"history"`
	// Previous is the set of replicas before the change that made this value, if it differs.
	Previous []Replica `json:"previous,omitempty"`
	Replicas []Replica `json:"replicas"`
	// Results lists the last changes, the newest last.
	Results []ChangeResult `json:"results"`
	// Revision rises by one with each change of the document or of the replicas.
	Revision uint64 `json:"revision"`
	// Text is the document as the operator wrote it.
	Text string `json:"text,omitempty"`
	// Version is that of the document; zero before the first one.
	Version uint64 `json:"version"`
}

// wireValue is a Value with its text compressed.
type wireValue struct {
	plainValue
	Packed []byte `json:"packed"`
}

// plainValue has the fields of Value without its methods.
type plainValue Value

// MarshalJSON implements json.Marshaler.
func (v *Value) MarshalJSON() ([]byte, error) {
	wire := wireValue{plainValue: plainValue(*v), Packed: Pack(v.Text)}
	wire.Text = ""
	return json.Marshal(wire)
}

// UnmarshalJSON implements json.Unmarshaler.
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

// Entry is one version in the history.
type Entry struct {
	Author   string `json:"author,omitempty"`
	ChangeID string `json:"change-id"`
	// Packed is the text, compressed; empty where it is no longer kept.
	Packed  []byte    `json:"packed,omitempty"`
	Time    time.Time `json:"time"`
	Version uint64    `json:"version"`
}

// ChangeResult is the version that a change made.
type ChangeResult struct {
	ChangeID string `json:"change-id"`
	Version  uint64 `json:"version"`
}

// Change asks for a new document.
type Change struct {
	Author string
	// Base is the version that the change was made from.
	Base uint64
	// ID tells a change that is sent again from a new one.
	ID string
	// Replicas is the new set of replicas; nil keeps the current one.
	Replicas []Replica
	Text     string
	Time     time.Time
	// Version is the version that the author has chosen; zero takes the next one.
	Version uint64
}

// resultOf returns the version that a change with the id made before.
func (v *Value) resultOf(changeID string) (uint64, bool) {
	for _, result := range v.Results {
		if result.ChangeID == changeID {
			return result.Version, true
		}
	}
	return 0, false
}

// next returns the successor that the change makes.
func (v *Value) next(change *Change) *Value {
	successor := v.reconfigured(v.Replicas)
	if change.Replicas != nil {
		successor = v.reconfigured(change.Replicas)
	}
	successor.Text = change.Text
	successor.Version = v.Version + 1
	if change.Version > 0 {
		successor.Version = change.Version
	}
	successor.History = append(slices.Clone(v.History), Entry{
		Author: change.Author, ChangeID: change.ID, Packed: Pack(change.Text), Time: change.Time, Version: successor.Version,
	})
	successor.History = successor.History[max(0, len(successor.History)-maxHistory):]
	for i := range max(0, len(successor.History)-maxTexts) {
		successor.History[i].Packed = nil
	}
	successor.Results = append(slices.Clone(v.Results), ChangeResult{ChangeID: change.ID, Version: successor.Version})
	successor.Results = successor.Results[max(0, len(successor.Results)-maxResults):]
	return successor
}

// reconfigured returns the successor with the same document on other replicas.
func (v *Value) reconfigured(replicas []Replica) *Value {
	successor := *v
	successor.Previous = nil
	successor.Replicas = replicas
	successor.Revision++
	if !sameReplicas(v.Replicas, replicas) {
		successor.Previous = v.Replicas
	}
	return &successor
}

// settled returns the value without the set of replicas before it. A round that has it accepted by
// majorities of both sets ends the change of the set: the old one is not needed any more.
func (v *Value) settled() *Value {
	if len(v.Previous) == 0 {
		return v
	}
	settled := *v
	settled.Previous = nil
	return &settled
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

// Ballot orders the rounds of all proposers. The zero ballot is below every other.
type Ballot struct {
	Number   uint64 `json:"number"`
	Proposer string `json:"proposer"`
}

// Less reports whether b comes before other.
func (b Ballot) Less(other Ballot) bool {
	if b.Number != other.Number {
		return b.Number < other.Number
	}
	return b.Proposer < other.Proposer
}

// Package tallier counts the bytes that a node sends to other nodes, by kind and by whether they leave its data centre.
package tallier

import (
	"net"
	"net/netip"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// Kind is what bytes are sent for.
type Kind string

// The kinds of bytes.
const (
	KindAnswer  Kind = "answer"
	KindBinding Kind = "binding"
	// KindConfirmation is for questions whether a document is the newest.
	KindConfirmation Kind = "confirmation"
	KindDocument     Kind = "document"
	KindGossip       Kind = "gossip"
	KindLoad         Kind = "load"
	KindMembership   Kind = "membership"
	KindOther        Kind = "other"
	KindQuota        Kind = "quota"
	KindRequest      Kind = "request"
	KindWatch        Kind = "watch"
)

// Kinds returns all kinds.
func Kinds() []Kind {
	return []Kind{
		KindAnswer, KindBinding, KindConfirmation, KindDocument, KindGossip, KindLoad, KindMembership, KindOther, KindQuota, KindRequest,
		KindWatch,
	}
}

// Scope tells whether bytes leave the data centre.
type Scope string

// The values of Scope.
const (
	ScopeLocal Scope = "local"
	ScopeOther Scope = "other-data-centre"
	// ScopeUnknown is that of bytes to an address of no known member.
	ScopeUnknown Scope = "unknown"
)

// Scopes returns all scopes.
func Scopes() []Scope {
	return []Scope{ScopeLocal, ScopeOther, ScopeUnknown}
}

// Tally counts sent bytes. It takes no lock when it counts, and is safe for concurrent use.
type Tally struct {
	counters map[Kind]map[Scope]*metrics.Counter
	// scopes holds the Scope of each netip.Addr.
	scopes sync.Map
}

// New returns a tally whose counters come from newCounter.
func New(newCounter func(kind Kind, scope Scope) *metrics.Counter) *Tally {
	t := &Tally{counters: make(map[Kind]map[Scope]*metrics.Counter)}
	for _, kind := range Kinds() {
		t.counters[kind] = make(map[Scope]*metrics.Counter)
		for _, scope := range Scopes() {
			t.counters[kind][scope] = newCounter(kind, scope)
		}
	}
	return t
}

// Place records whether the address of a member is in the node's data centre. Members with the same address share the
// scope that was recorded last.
func (t *Tally) Place(address netip.Addr, isLocal bool) {
	scope := ScopeOther
	if isLocal {
		scope = ScopeLocal
	}
	if known, ok := t.scopes.Load(address.Unmap()); !ok || known != scope {
		t.scopes.Store(address.Unmap(), scope)
	}
}

// Add counts bytes that are sent to the address. An unknown kind counts as KindOther.
func (t *Tally) Add(kind Kind, to netip.Addr, bytes int) {
	counters, ok := t.counters[kind]
	if !ok {
		counters = t.counters[KindOther]
	}
	scope := ScopeUnknown
	if known, ok := t.scopes.Load(to.Unmap()); ok {
		scope, _ = known.(Scope)
	}
	counters[scope].Add(bytes)
}

// AddressOf returns the address of the remote end of a connection; invalid if it is no TCP connection.
func AddressOf(conn net.Conn) netip.Addr {
	remote, ok := conn.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	return remote.AddrPort().Addr()
}

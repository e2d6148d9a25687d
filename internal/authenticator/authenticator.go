// Package authenticator finds out which workspace a request belongs to, by its API key.
package authenticator

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"sync/atomic"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/confirmer"
	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
	"github.com/marigoldrelay/marigoldrelay/internal/validator"
)

const (
	// unconfirmedRetry is the time after which a caller can retry a request that is refused because the node's document is not
	// confirmed: another node can serve it at once.
	unconfirmedRetry = 500 * time.Millisecond
	// confirmTimeout limits the wait of a request with an unknown key: a replica answers within 300 ms and its distance, and
	// another one is asked after 450 ms.
	confirmTimeout = 800 * time.Millisecond
	// maxWaiting limits the requests with unknown keys that wait at the same time, since each one holds its body.
	maxWaiting = 256
)

// Confirmations tells for which time the document in force is known to be the newest.
type Confirmations interface {
	// Age returns the time since the moment for which the document is known to be the newest.
	Age() time.Duration
	// ConfirmNow waits until the document is known to be the newest for a moment after the call. It reports false if ctx is done
	// before.
	ConfirmNow(ctx context.Context) bool
}

// Workspace is what a request gets from its workspace. The zero value is that of a request without one.
type Workspace struct {
	// AllowedRegions are the regions in which the request can run; empty for all.
	AllowedRegions []string
	Name           string
	// Rank takes precedence over that of the route; empty for the route's.
	Rank string
}

// keyHash is the keyed hash of an API key.
type keyHash [sha256.Size]byte

// table is what the authenticator derives from a document.
type table struct {
	byKey  map[keyHash]*Workspace
	byName map[string]*Workspace
	// lifetime is how long a confirmation counts; zero for ever.
	lifetime time.Duration
}

// Authenticator looks up the workspaces of requests. Keys are stored and looked up by a hash whose own key is random, so that
// neither the time of a look-up nor the memory tells anything about a key. It is safe for concurrent use.
type Authenticator struct {
	confirmations Confirmations
	secret        []byte
	table         atomic.Pointer[table]
	waiting       atomic.Int64
}

// New returns an authenticator without workspaces. The secret is random and differs between processes.
func New(confirmations Confirmations, secret []byte) *Authenticator {
	a := &Authenticator{confirmations: confirmations, secret: secret}
	a.table.Store(&table{})
	return a
}

// Configure puts the workspaces of a document in force.
func (a *Authenticator) Configure(document *validator.Document) {
	t := &table{
		byKey: make(map[keyHash]*Workspace), byName: make(map[string]*Workspace),
		lifetime: confirmer.Lifetime(document.Credentials.RevocationTime.Std()),
	}
	for i := range document.Workspaces {
		w := &document.Workspaces[i]
		workspace := &Workspace{AllowedRegions: w.AllowedRegions, Name: w.Name, Rank: w.Rank}
		t.byName[w.Name] = workspace
		for _, key := range w.APIKeys {
			t.byKey[a.hash(key)] = workspace
		}
	}
	a.table.Store(t)
}

// HasWorkspaces reports whether requests need a key.
func (a *Authenticator) HasWorkspaces() bool {
	return a.table.Load().hasWorkspaces()
}

func (t *table) hasWorkspaces() bool {
	return len(t.byName) > 0
}

// IsConfirmed reports whether requests with a key can be served: the document in force is known to be the newest, or need not be.
func (a *Authenticator) IsConfirmed() bool {
	// The age is read before the table. Otherwise the table could be older than the confirmation.
	age := a.confirmations.Age()
	return a.table.Load().isConfirmed(age)
}

// isConfirmed reports whether a confirmation of the given age counts.
func (t *table) isConfirmed(age time.Duration) bool {
	return t.lifetime == 0 || age < t.lifetime
}

// Named returns the workspace with the name, or the zero value if there is none.
func (a *Authenticator) Named(name string) Workspace {
	if workspace, ok := a.table.Load().byName[name]; ok {
		return *workspace
	}
	return Workspace{}
}

// Authenticate returns the workspace of a request, or a refusal. Credentials are the values of all lines of the field with the
// API key. Without workspaces no request needs a key.
func (a *Authenticator) Authenticate(ctx context.Context, credentials []string) (Workspace, *refuser.Refusal) {
	if !a.HasWorkspaces() {
		return Workspace{}, nil
	}
	switch len(credentials) {
	case 0:
		return Workspace{}, refuser.New(refuser.ReasonUnknownKey, "the request has no API key")
	case 1:
		return a.authenticateKey(ctx, a.hash(credentials[0]))
	default:
		return Workspace{}, refuser.New(refuser.ReasonUnknownKey, "the request has several API keys")
	}
}

// authenticateKey looks up a key. One that is not known may have been added since the last confirmation, so that the document
// has to be confirmed before the key is refused for good.
func (a *Authenticator) authenticateKey(ctx context.Context, key keyHash) (Workspace, *refuser.Refusal) {
	workspace, lifetime, refusal := a.find(key)
	if refusal != nil || workspace != nil {
		return valueOrZero(workspace), refusal
	}
	if lifetime > 0 && !a.confirmNow(ctx) {
		return Workspace{}, unconfirmedRefusal()
	}
	workspace, _, refusal = a.find(key)
	if refusal == nil && workspace == nil {
		refusal = refuser.New(refuser.ReasonUnknownKey, "no workspace has the API key")
	}
	return valueOrZero(workspace), refusal
}

// find returns the workspace of a key, or nil if there is none, and how long a confirmation counts. It returns a refusal if the
// document in force is not confirmed.
func (a *Authenticator) find(key keyHash) (*Workspace, time.Duration, *refuser.Refusal) {
	// The age is read before the table. Otherwise the table could be older than the confirmation.
	age := a.confirmations.Age()
	t := a.table.Load()
	if !t.isConfirmed(age) {
		return nil, t.lifetime, unconfirmedRefusal()
	}
	return t.byKey[key], t.lifetime, nil
}

// confirmNow waits until the document is confirmed, unless too many requests wait already.
func (a *Authenticator) confirmNow(ctx context.Context) bool {
	defer a.waiting.Add(-1)
	if a.waiting.Add(1) > maxWaiting {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	return a.confirmations.ConfirmNow(ctx)
}

func (a *Authenticator) hash(key string) keyHash {
	mac := hmac.New(sha256.New, a.secret)
	mac.Write([]byte(key))
	return keyHash(mac.Sum(nil))
}

func valueOrZero(workspace *Workspace) Workspace {
	if workspace == nil {
		return Workspace{}
	}
	return *workspace
}

func unconfirmedRefusal() *refuser.Refusal {
	return refuser.NewWithRetryAfter(refuser.ReasonUnconfirmed, unconfirmedRetry, "the node can't know whether its configuration is the newest")
}

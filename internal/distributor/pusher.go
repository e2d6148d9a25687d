package distributor

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

const (
	// pushRetryInterval is the time between two attempts to push a value to a member.
	pushRetryInterval = 150 * time.Millisecond
	// deputyDelay is how long this node waits for the answer to a push before another node is asked as well: a kept connection
	// that is silent costs half of it.
	deputyDelay = 600 * time.Millisecond
	// deputyTimeout limits the time that another node has to push a value.
	deputyTimeout = time.Second
	// firstDeputyFailure is the failed attempt after which another node is asked to push, and deputyInterval the number of
	// attempts until the next one is asked.
	firstDeputyFailure = 2
	deputyInterval     = 4
)

// errNoMember is the error of a member that is no longer pushed to.
var errNoMember = errors.New("the member is gone")

// PushNode is the node of a Pusher.
type PushNode interface {
	// LiveMembers returns the other members that are not believed dead.
	LiveMembers() []gossiper.Member
	// LiveMember returns one of them, and whether it still is one.
	LiveMember(name string) (gossiper.Member, bool)
	// Push sends a value to a member. A member that has a newer one ignores it.
	Push(ctx context.Context, to gossiper.Member, value Document) error
	// PushByDeputy asks another node, which has the value or a newer one in force, to push that to a member. It returns nil if
	// it has arrived.
	PushByDeputy(ctx context.Context, to gossiper.Member, revision uint64) error
	// PushFailed is called for each attempt that failed.
	PushFailed(to gossiper.Member, err error)
}

// Pusher sends each chosen value to all members, and again until it has arrived, a newer one takes its place, or the member
// is gone. Each member gets one message at a time, the newest. Where that fails, another node is asked to send it: this node may
// reach the replicas, and so get a value chosen, and nobody else. It is safe for concurrent use.
type Pusher struct {
	clock timekeeper.Clock
	node  PushNode
	// ctx is done after stop.
	ctx  context.Context
	stop context.CancelFunc
	// relaying is nil if values are sent to all members directly.
	relaying *relaying

	mu sync.Mutex
	// newest is the value to be pushed.
	newest Document
	// active holds the names of the members that are being pushed to.
	active map[string]bool
	// lastPacked is the document of the value that was last pushed for another node.
	lastPacked Document
}

// NewPusher returns a pusher for a node.
func NewPusher(clock timekeeper.Clock, node PushNode) *Pusher {
	ctx, stop := context.WithCancel(context.Background())
	return &Pusher{clock: clock, node: node, active: make(map[string]bool), ctx: ctx, stop: stop}
}

// Close ends all pushing.
func (p *Pusher) Close() {
	p.stop()
}

// Push pushes a value to all live members in the background. It does nothing if this value or a newer one was pushed before.
func (p *Pusher) Push(value *replicator.Value) {
	p.startDelivery(p.begin(value))
}

// begin makes the value the newest and returns the live members to which the pushing begins: those that are not pushed to yet.
// There are none if this value or a newer one was pushed before.
func (p *Pusher) begin(value *replicator.Value) []gossiper.Member {
	document := NewDocument(value)
	p.mu.Lock()
	defer p.mu.Unlock()
	if document.Revision <= p.newest.Revision {
		return nil
	}
	p.newest = document
	var idle []gossiper.Member
	for _, m := range p.node.LiveMembers() {
		if !p.active[m.Name] {
			p.active[m.Name] = true
			idle = append(idle, m)
		}
	}
	return idle
}

func (p *Pusher) startDelivery(group []gossiper.Member) {
	for _, m := range group {
		go p.deliver(m.Name)
	}
}

// deliver sends the newest value to a member until it has arrived.
func (p *Pusher) deliver(name string) {
	for failures := 0; ; failures++ {
		p.mu.Lock()
		document := p.newest
		p.mu.Unlock()
		err := p.attempt(name, document, failures)
		if err == nil || errors.Is(err, errNoMember) {
			if p.finish(name, document, err == nil) {
				return
			}
			continue
		}
		timekeeper.Sleep(p.ctx, p.clock, pushRetryInterval)
	}
}

// pushOnce sends a value to a member. The error is errNoMember if the member is gone or the pusher is closed.
func (p *Pusher) pushOnce(ctx context.Context, name string, document Document) error {
	member, err := p.member(name)
	if err != nil {
		return err
	}
	err = p.node.Push(ctx, member, document)
	if err != nil && ctx.Err() == nil {
		p.node.PushFailed(member, err)
	}
	return err
}

// attempt sends a value to a member, or lets a deputy do so: if this node fails and isDeputyDue, or has got no answer for
// deputyDelay. The errors are those of pushOnce.
func (p *Pusher) attempt(name string, document Document, failures int) error {
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	var hasArrived atomic.Bool
	timer := p.clock.AfterFunc(deputyDelay, func() {
		if p.pushByDeputy(name, document) == nil {
			hasArrived.Store(true)
			cancel()
		}
	})
	defer timer.Stop()
	err := p.pushOnce(ctx, name, document)
	switch {
	case hasArrived.Load():
		return nil
	case isDeputyDue(failures, err):
		return p.pushByDeputy(name, document)
	default:
		return err
	}
}

// isDeputyDue reports whether another node is to push a value after an attempt with the error and a number of failed ones before it.
func isDeputyDue(failures int, err error) bool {
	return err != nil && !errors.Is(err, errNoMember) && failures%deputyInterval == firstDeputyFailure-1
}

// pushByDeputy asks another node to push a value to a member. The errors are those of pushOnce.
func (p *Pusher) pushByDeputy(name string, document Document) error {
	member, err := p.member(name)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(p.ctx, deputyTimeout)
	defer cancel()
	return p.node.PushByDeputy(ctx, member, document.Revision)
}

// member returns a member. The error is errNoMember if it is gone or the pusher is closed.
func (p *Pusher) member(name string) (gossiper.Member, error) {
	member, ok := p.node.LiveMember(name)
	if !ok || p.ctx.Err() != nil {
		return gossiper.Member{}, errNoMember
	}
	return member, nil
}

// PushFor pushes a value once to one member, for a node that doesn't reach it. The errors are those of pushOnce.
func (p *Pusher) PushFor(ctx context.Context, name string, value *replicator.Value) error {
	member, err := p.member(name)
	if err != nil {
		return err
	}
	return p.node.Push(ctx, member, p.packed(value))
}

// packed returns the document of a value. It keeps that of the last one, since many members may be asked for at once.
func (p *Pusher) packed(value *replicator.Value) Document {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lastPacked.Revision != value.Revision {
		p.lastPacked = NewDocument(value)
	}
	return p.lastPacked
}

// finish ends the pushing to a member, unless the value that has arrived is no longer the newest. It reports whether it did.
func (p *Pusher) finish(name string, document Document, hasArrived bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if hasArrived && document.Revision < p.newest.Revision {
		return false
	}
	delete(p.active, name)
	return true
}

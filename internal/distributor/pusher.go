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

// maxPushSteps is the number of messages after which an attempt to bring a value to a member ends: a question or a patch that
// doesn't fit, what the answer asks for, and the same again if the member has got another value in between.
const maxPushSteps = 4

// Errors of an attempt to push.
var (
	// errNoMember is the error of a member that is no longer pushed to.
	errNoMember = errors.New("the member is gone")
	// errNotTaken is the error of a member that still lacks the value after maxPushSteps.
	errNotTaken = errors.New("the member has not taken the value")
)

// PushReply is the answer of a member to a document.
type PushReply struct {
	// IsMissing is true if the member has neither the document's revision in force nor all it needs to put that in force.
	IsMissing bool `json:"is-missing,omitempty"`
	// InForce is the revision that the member has in force if IsMissing is set.
	InForce uint64 `json:"in-force,omitempty"`
}

// PushNode is the node of a Pusher.
type PushNode interface {
	// LiveMembers returns the other members that are not believed dead.
	LiveMembers() []gossiper.Member
	// LiveMember returns one of them, and whether it still is one.
	LiveMember(name string) (gossiper.Member, bool)
	// Push sends a value to a member. A member that has a newer one ignores it.
	Push(ctx context.Context, to gossiper.Member, value Document) (PushReply, error)
	// PushByDeputy asks another node, which has the value or a newer one in force, to push that to a member. It returns nil if
	// it has arrived.
	PushByDeputy(ctx context.Context, to gossiper.Member, revision uint64) error
	// PushFailed is called for each attempt that failed.
	PushFailed(to gossiper.Member, err error)
}

// Pusher sends each chosen value to all members, and again until it has arrived, a newer one takes its place, or the member
// is gone. Each member gets one message at a time, the newest, as the difference from what it has in force. Where that fails, another
// node is asked to send it: this node may reach the replicas, and so get a value chosen, and nobody else. It is safe for concurrent use.
type Pusher struct {
	clock   timekeeper.Clock
	node    PushNode
	history *History
	// ctx is done after stop.
	ctx  context.Context
	stop context.CancelFunc
	// relaying is nil if values are sent to all members directly.
	relaying *relaying

	mu sync.Mutex
	// newest is the revision of the value to be pushed.
	newest uint64
	// active holds the names of the members that are being pushed to.
	active map[string]bool
	// revisions holds the revision that each member had in force when it last told.
	revisions map[string]uint64
}

// NewPusher returns a pusher for a node. The history holds the values that the node has put in force.
func NewPusher(clock timekeeper.Clock, node PushNode, history *History) *Pusher {
	ctx, stop := context.WithCancel(context.Background())
	return &Pusher{
		clock: clock, node: node, history: history, active: make(map[string]bool), revisions: make(map[string]uint64), ctx: ctx, stop: stop,
	}
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
	p.history.Add(value)
	p.mu.Lock()
	defer p.mu.Unlock()
	if value.Revision <= p.newest {
		return nil
	}
	p.newest = value.Revision
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
		revision := p.history.Revision()
		err := p.attempt(name, failures)
		if err == nil || errors.Is(err, errNoMember) {
			if p.finish(name, revision, err == nil) {
				return
			}
			continue
		}
		timekeeper.Sleep(p.ctx, p.clock, pushRetryInterval)
	}
}

// pushOnce brings the newest value to a member, and calls answered with each answer of it. The error is errNoMember if the member is
// gone or the pusher is closed.
func (p *Pusher) pushOnce(ctx context.Context, name string, answered func()) error {
	member, err := p.member(name)
	if err != nil {
		return err
	}
	err = p.send(ctx, member, answered)
	if err != nil && ctx.Err() == nil {
		p.node.PushFailed(member, err)
	}
	return err
}

// send brings the newest value to a member: first as the difference from what the member is believed to have, then as it asks for. A large
// document follows only when the member has just answered, so that none is sent in vain or beside another one.
func (p *Pusher) send(ctx context.Context, member gossiper.Member, answered func()) error {
	document := p.history.Document(p.believed(member.Name))
	hasAnswered := false
	for range maxPushSteps {
		message := document
		if document.IsLarge() && !hasAnswered {
			message = document.Question()
		}
		reply, err := p.node.Push(ctx, member, message)
		if err != nil {
			return err
		}
		hasAnswered = true
		answered()
		if !reply.IsMissing {
			p.learn(member.Name, document.Revision)
			return nil
		}
		p.learn(member.Name, reply.InForce)
		document = p.next(&message, reply)
	}
	return errNotTaken
}

// next returns the document that a member needs after its reply to a message.
func (p *Pusher) next(message *Document, reply PushReply) Document {
	if message.Base > 0 && message.Base == reply.InForce {
		// The patch doesn't fit the text that it was made for.
		return p.history.Document(0)
	}
	return p.history.Document(reply.InForce)
}

// believed returns the revision that a member is believed to have in force: what it has told, or else the one before the newest.
func (p *Pusher) believed(name string) uint64 {
	p.mu.Lock()
	revision, ok := p.revisions[name]
	p.mu.Unlock()
	if ok {
		return revision
	}
	return p.history.Previous()
}

// learn records the revision that a member has in force.
func (p *Pusher) learn(name string, revision uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revisions[name] = revision
}

// attempt brings the newest value to a member, or lets a deputy do so: if this node fails and isDeputyDue, or has got no answer for
// deputyDelay. The errors are those of pushOnce.
func (p *Pusher) attempt(name string, failures int) error {
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	var hasArrived atomic.Bool
	revision := p.history.Revision()
	timer := p.clock.AfterFunc(deputyDelay, func() {
		if p.pushByDeputy(name, revision) == nil {
			hasArrived.Store(true)
			cancel()
		}
	})
	defer timer.Stop()
	err := p.pushOnce(ctx, name, func() { timer.Stop() })
	switch {
	case hasArrived.Load():
		return nil
	case isDeputyDue(failures, err):
		return p.pushByDeputy(name, revision)
	default:
		return err
	}
}

// isDeputyDue reports whether another node is to push a value after an attempt with the error and a number of failed ones before it.
func isDeputyDue(failures int, err error) bool {
	return err != nil && !errors.Is(err, errNoMember) && failures%deputyInterval == firstDeputyFailure-1
}

// pushByDeputy asks another node to push the value with the revision to a member. The errors are those of pushOnce.
func (p *Pusher) pushByDeputy(name string, revision uint64) error {
	member, err := p.member(name)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(p.ctx, deputyTimeout)
	defer cancel()
	return p.node.PushByDeputy(ctx, member, revision)
}

// member returns a member. The error is errNoMember if it is gone or the pusher is closed.
func (p *Pusher) member(name string) (gossiper.Member, error) {
	member, ok := p.node.LiveMember(name)
	if !ok || p.ctx.Err() != nil {
		return gossiper.Member{}, errNoMember
	}
	return member, nil
}

// PushFor brings the newest value in force to one member, once, for a node that doesn't reach it. The errors are those of pushOnce.
func (p *Pusher) PushFor(ctx context.Context, name string) error {
	member, err := p.member(name)
	if err != nil {
		return err
	}
	return p.send(ctx, member, func() {})
}

// finish ends the pushing to a member, unless the value that has arrived is no longer the newest. It reports whether it did.
func (p *Pusher) finish(name string, revision uint64, hasArrived bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if hasArrived && revision < p.newest {
		return false
	}
	if !hasArrived {
		delete(p.revisions, name)
	}
	delete(p.active, name)
	return true
}

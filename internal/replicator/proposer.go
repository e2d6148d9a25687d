package replicator

import (
	"context"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/marigoldrelay/marigoldrelay/internal/asserter"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

// Errors of a Proposer.
var (
	// ErrConflict is wrapped by the error of a change that was not made from the newest version.
	ErrConflict = merry.Sentinel("the document has changed")
	// ErrNoMajority is wrapped by the error of a round that too few replicas answered.
	ErrNoMajority = merry.Sentinel("no majority of the control replicas answers")
	// ErrNotBootstrapped is returned where there is no first version yet.
	ErrNotBootstrapped = merry.Sentinel("there is no document yet")
	// ErrVersion is wrapped by the error of a change whose chosen version is not above the current one.
	ErrVersion = merry.Sentinel("the version is not above the current one")
	// ErrBootstrapped is returned by Bootstrap where a replica already holds a value.
	ErrBootstrapped = merry.Sentinel("a control replica already holds a document")
	errOutbid       = merry.Sentinel("another round has a higher ballot")
)

// ConflictError tells which version a change collided with.
type ConflictError struct {
	Base    uint64
	Current uint64
}

// Error implements error.
func (c *ConflictError) Error() string {
	return fmt.Sprintf("%s: it was made from version %d and version %d is in force", ErrConflict, c.Base, c.Current)
}

// Unwrap returns ErrConflict.
func (c *ConflictError) Unwrap() error {
	return ErrConflict
}

const (
	backoff     = 10 * time.Millisecond
	maxBackoff  = 200 * time.Millisecond
	messageTime = 1500 * time.Millisecond
	// outbidTime is how long a round that one replica has refused waits for the others: those that are
	// frozen or cut off should not hold up the next ballot.
	outbidTime   = 50 * time.Millisecond
	roundTime    = 5 * time.Second
	maxConfigHop = 8
)

// Transport reaches replicas.
type Transport interface {
	Accept(ctx context.Context, vm string, request AcceptRequest) (AcceptReply, error)
	Prepare(ctx context.Context, vm string, request PrepareRequest) (PrepareReply, error)
	Query(ctx context.Context, vm string, request QueryRequest) (QueryReply, error)
}

// Proposer makes rounds on behalf of one node. It is safe for concurrent use.
type Proposer struct {
	clock     timekeeper.Clock
	name      string
	transport Transport

	// ended is told of each round; nil tells nobody.
	ended func(Round)
	// rounds lets one round go on at a time, since two would only outbid each other.
	rounds chan struct{}

	mu sync.Mutex
	// chosen is the newest value that this proposer had accepted, with its ballot.
	chosen acceptance
	number uint64
	// replicas is the newest set that the proposer knows.
	replicas []Replica
	// settled is true where the value that names the set is known to be chosen.
	settled bool
}

// NewProposer returns a proposer; name must be of this node and its incarnation only.
func NewProposer(clock timekeeper.Clock, name string, transport Transport) *Proposer {
	return &Proposer{clock: clock, name: name, rounds: make(chan struct{}, 1), transport: transport}
}

// Round is a finished round with the ballots that it took.
type Round struct {
	Ballots int
	Err     error
	// Revision is that of the value that was chosen, or zero.
	Revision uint64
	Took     time.Duration
}

// Tell sets who is told of each round. It is called before the first one.
func (p *Proposer) Tell(ended func(Round)) {
	p.ended = ended
}

// Follow tells the proposer of the replicas of a value that is in force.
func (p *Proposer) Follow(replicas []Replica) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replicas = slices.Clone(replicas)
	p.settled = true
}

// Suppose tells the proposer of replicas to begin with, of a value that may not be chosen.
func (p *Proposer) Suppose(replicas []Replica) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replicas = slices.Clone(replicas)
	p.settled = false
}

func (p *Proposer) known() []Replica {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.replicas
}

func (p *Proposer) nextBallot() Ballot {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.number++
	return Ballot{Number: p.number, Proposer: p.name}
}

func (p *Proposer) outbid(by Ballot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.number = max(p.number, by.Number)
}

// Read returns the newest value that is chosen.
func (p *Proposer) Read(ctx context.Context) (*Value, error) {
	if value := p.query(ctx); value != nil {
		return value, nil
	}
	return p.round(ctx, keep)
}

// Apply makes the change. A change whose id was applied before returns the value in force and the
// version that it made then. A change made from another version than the newest returns a
// *ConflictError.
func (p *Proposer) Apply(ctx context.Context, change *Change) (value *Value, version uint64, err error) {
	value, err = p.round(ctx, func(current *Value) (*Value, error) {
		if done, ok := current.resultOf(change.ID); ok {
			version = done
			return current, nil
		}
		if change.Base != current.Version {
			return current, &ConflictError{Base: change.Base, Current: current.Version}
		}
		if change.Version > 0 && change.Version <= current.Version {
			return current, fmt.Errorf("%w: %d after %d", ErrVersion, change.Version, current.Version)
		}
		successor := current.next(change)
		version = successor.Version
		return successor, nil
	})
	if err == nil {
		value = p.settle(ctx, value)
	}
	return value, version, err
}

// Reconfigure moves the value that has the given revision to other replicas. A value that was changed
// meanwhile is returned as it is.
func (p *Proposer) Reconfigure(ctx context.Context, revision uint64, replicas []Replica) (*Value, error) {
	value, err := p.round(ctx, func(current *Value) (*Value, error) {
		if current.Revision != revision || sameReplicas(current.Replicas, replicas) {
			return current, nil
		}
		return current.reconfigured(replicas), nil
	})
	if err != nil {
		return nil, err
	}
	return p.settle(ctx, value), nil
}

// settle ends a change of the set of replicas. A settling round that fails is made up for by the next
// round.
func (p *Proposer) settle(ctx context.Context, value *Value) *Value {
	if len(value.Previous) == 0 {
		return value
	}
	settled, err := p.round(ctx, keep)
	if err != nil {
		return value
	}
	return settled
}

// keep is the step of a round that changes nothing.
func keep(current *Value) (*Value, error) {
	return current, nil
}

// round repeats ballots until one is not outbid, as long as roundTime allows.
func (p *Proposer) round(ctx context.Context, step func(*Value) (*Value, error)) (*Value, error) {
	ctx, cancel := context.WithTimeout(ctx, roundTime)
	defer cancel()
	select {
	case p.rounds <- struct{}{}:
		defer func() { <-p.rounds }()
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: another round takes long: %w", ErrNoMajority, ctx.Err())
	}
	started, ballots := p.clock.Now(), 0
	value, err := p.ballots(ctx, step, &ballots)
	if p.ended != nil {
		ended := Round{Ballots: ballots, Err: err, Took: p.clock.Now().Sub(started)}
		if value != nil {
			ended.Revision = value.Revision
		}
		p.ended(ended)
	}
	return value, err
}

// ballots makes ballots, and counts them, until one is not outbid.
func (p *Proposer) ballots(ctx context.Context, step func(*Value) (*Value, error), count *int) (*Value, error) {
	pause := backoff
	for {
		*count++
		value, err := p.ballot(ctx, step)
		if !errors.Is(err, errOutbid) {
			return value, err
		}
		timekeeper.Sleep(ctx, p.clock, pause/2+mathrand.N(pause))
		pause = min(2*pause, maxBackoff)
		if ctx.Err() != nil {
			return nil, fmt.Errorf("%w: %w", ErrNoMajority, err)
		}
	}
}

// ballot makes one round: prepare, step, accept. An error of step is returned once the value that
// it was made from is known to be chosen.
func (p *Proposer) ballot(ctx context.Context, step func(*Value) (*Value, error)) (*Value, error) {
	known := p.known()
	if len(known) == 0 {
		return nil, ErrNotBootstrapped
	}
	ballot := p.nextBallot()
	current, sets, err := p.prepare(ctx, ballot, known)
	if err != nil {
		return nil, err
	}
	if current == nil {
		return nil, ErrNotBootstrapped
	}
	next, refusal := step(current)
	if next == current {
		next = current.settled()
	}
	asserter.That(next.Version >= current.Version, "register-version", "%d after %d", next.Version, current.Version)
	required := append(quorumSets(next), sets...)
	if err := p.accept(ctx, ballot, next, required, added(current, next)); err != nil {
		return nil, err
	}
	p.hold(ballot, next)
	return next, refusal
}

// hold remembers a value that was chosen.
func (p *Proposer) hold(ballot Ballot, value *Value) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.chosen.Ballot.Less(ballot) {
		p.chosen = acceptance{Ballot: ballot, Value: value}
	}
	p.replicas = slices.Clone(value.Replicas)
	p.settled = true
}

func (p *Proposer) held() acceptance {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.chosen
}

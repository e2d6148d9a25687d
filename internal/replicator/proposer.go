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
	// ErrNoMajority is wrapped by the error of a round in which too few replicas replied.
	ErrNoMajority = merry.Sentinel("no majority of the control replicas answers")
	// ErrNotBootstrapped is returned by a round if no value exists yet or no replicas are known.
	ErrNotBootstrapped = merry.Sentinel("there is no document yet")
	// ErrVersion is wrapped by the error of a change whose requested version is not above the current one.
	ErrVersion = merry.Sentinel("the version is not above the current one")
	// ErrBootstrapped is returned by Bootstrap if a replica already holds a value.
	ErrBootstrapped = merry.Sentinel("a control replica already holds a document")
	// errPreempted is returned by a ballot that lost to a higher one; the round retries with a new ballot.
	errPreempted = merry.Sentinel("another round has a higher ballot")
	// errJointChosen is returned by a ballot that has got the newest value chosen as it is; the round goes on from that
	// value with a new ballot.
	errJointChosen = merry.Sentinel("a change of the replicas had been interrupted")
)

// ConflictError is the error of a change whose base version is not the current one. It wraps ErrConflict.
type ConflictError struct {
	// Base is the version that the change was made from.
	Base uint64
	// Current is the version in force.
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
	// initialBackoff and maxBackoff are the limits of the pause before the next ballot of a preempted round,
	// which doubles each time; the actual pause is random, from half to one and a half times that.
	initialBackoff = 10 * time.Millisecond
	maxBackoff     = 200 * time.Millisecond
	messageTimeout = 1500 * time.Millisecond
	// preemptionGrace is how long a phase waits for further replies after one replica has rejected the ballot,
	// so that frozen or unreachable replicas do not delay the next ballot.
	preemptionGrace = 50 * time.Millisecond
	roundTimeout    = 5 * time.Second
	// maxPreparePasses is the number of passes after which a prepare phase gives up, if each pass finds a newer
	// value that names other replicas.
	maxPreparePasses = 8
)

// Transport sends requests to the replica on a VM and returns its reply. Its methods are called concurrently.
type Transport interface {
	Accept(ctx context.Context, vm string, request AcceptRequest) (AcceptReply, error)
	Prepare(ctx context.Context, vm string, request PrepareRequest) (PrepareReply, error)
	Query(ctx context.Context, vm string, request QueryRequest) (QueryReply, error)
}

// Successor takes over what the replicas store beside the value when their set changes.
type Successor interface {
	// HandOver is called with a value that is known to be chosen, before a value without its previous set of replicas is
	// proposed. It must bring to a majority of the replicas what a majority of the previous ones stores.
	HandOver(ctx context.Context, joint *Value) error
}

// Proposer reads and changes the register on behalf of one node. Its methods are safe for concurrent use,
// except for SetRoundObserver and SetSuccessor.
type Proposer struct {
	clock     timekeeper.Clock
	name      string
	transport Transport

	// roundObserver is called after each round; nil for none.
	roundObserver func(Round)
	// successor takes over what the replicas store beside the value; nil for none.
	successor Successor
	// roundSlot is a semaphore that allows one round at a time, since two would only preempt each other.
	roundSlot chan struct{}

	mu sync.Mutex
	// chosen is the newest value that this proposer knows to be chosen, with its ballot.
	chosen acceptedValue
	// ballotNumber is the highest ballot number that the proposer has used or seen.
	ballotNumber uint64
	// replicas is the newest set of replicas that the proposer knows.
	replicas []Replica
	// replicasConfirmed is true if the value that names the set is known to be chosen.
	replicasConfirmed bool
}

// NewProposer returns a proposer that knows no replicas yet. The name must be unique to this node and its
// incarnation, since it distinguishes the ballots of different proposers.
func NewProposer(clock timekeeper.Clock, name string, transport Transport) *Proposer {
	return &Proposer{clock: clock, name: name, roundSlot: make(chan struct{}, 1), transport: transport}
}

// Round describes a finished round: a change or read of the register with one or more ballots.
type Round struct {
	// Acknowledged are the VMs whose replicas have accepted the value before it counted as chosen.
	Acknowledged []string
	// Ballots is the number of ballots that the round needed.
	Ballots int
	Err     error
	// Revision is the revision of the value that was chosen, or zero if there is none.
	Revision uint64
	// Took is the duration of all ballots, without the wait for an earlier round of the same proposer.
	Took time.Duration
}

// SetRoundObserver sets the function that is called after each round. It must be called before the first round.
func (p *Proposer) SetRoundObserver(observer func(Round)) {
	p.roundObserver = observer
}

// SetSuccessor sets what takes over what the replicas store beside the value. It must be called before the first round.
func (p *Proposer) SetSuccessor(successor Successor) {
	p.successor = successor
}

// SetConfirmedReplicas sets the replicas to those of a value that is in force.
func (p *Proposer) SetConfirmedReplicas(replicas []Replica) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replicas = slices.Clone(replicas)
	p.replicasConfirmed = true
}

// SetUnconfirmedReplicas sets the replicas to start from, taken from a value that is not known to be chosen. Reads then
// run a round.
func (p *Proposer) SetUnconfirmedReplicas(replicas []Replica) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replicas = slices.Clone(replicas)
	p.replicasConfirmed = false
}

func (p *Proposer) knownReplicas() []Replica {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.replicas
}

func (p *Proposer) nextBallot() Ballot {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ballotNumber++
	return Ballot{Number: p.ballotNumber, Proposer: p.name}
}

// observeBallot makes sure that the next ballot is above one that a replica has reported.
func (p *Proposer) observeBallot(seen Ballot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ballotNumber = max(p.ballotNumber, seen.Number)
}

// Read returns the newest value that is chosen. It asks the replicas for a majority that agrees, and runs a
// round if there is none.
func (p *Proposer) Read(ctx context.Context) (*Value, error) {
	if value := p.queryMajority(ctx); value != nil {
		return value, nil
	}
	return p.runRound(ctx, noChange)
}

// Repair runs a round on the newest value. It completes a change of the replicas that was interrupted, and brings the
// replicas that it reaches up to date.
func (p *Proposer) Repair(ctx context.Context) (*Value, error) {
	return p.runRound(ctx, noChange)
}

// Apply applies the change and returns the value in force and the version that the change created. A change
// whose id was applied before is not applied again; its version is that of the first time. A change made
// from another version than the newest returns a *ConflictError; one whose requested version is not above the
// newest returns an error that wraps ErrVersion.
func (p *Proposer) Apply(ctx context.Context, change *Change) (value *Value, version uint64, err error) {
	value, err = p.runRound(ctx, func(current *Value) (*Value, error) {
		if applied, ok := current.appliedVersion(change.ID); ok {
			version = applied
			return current, nil
		}
		if change.Base != current.Version {
			return current, &ConflictError{Base: change.Base, Current: current.Version}
		}
		if change.Version > 0 && change.Version <= current.Version {
			return current, fmt.Errorf("%w: %d after %d", ErrVersion, change.Version, current.Version)
		}
		successor := current.withChange(change)
		version = successor.Version
		return successor, nil
	})
	if err == nil {
		value = p.finishReconfiguration(ctx, value)
	}
	return value, version, err
}

// Reconfigure moves the value that has the given revision to the given replicas. If the value has changed
// meanwhile, it returns the newest value unchanged.
func (p *Proposer) Reconfigure(ctx context.Context, revision uint64, replicas []Replica) (*Value, error) {
	value, err := p.runRound(ctx, func(current *Value) (*Value, error) {
		if current.Revision != revision || sameReplicas(current.Replicas, replicas) {
			return current, nil
		}
		return current.withReplicas(replicas), nil
	})
	if err != nil {
		return nil, err
	}
	return p.finishReconfiguration(ctx, value), nil
}

// finishReconfiguration runs a second round that removes the previous set of replicas from the value. A
// failure is not reported, since the next round does the same.
func (p *Proposer) finishReconfiguration(ctx context.Context, value *Value) *Value {
	if len(value.Previous) == 0 {
		return value
	}
	finished, err := p.runRound(ctx, noChange)
	if err != nil {
		return value
	}
	return finished
}

// noChange is the update function of a round that changes neither the document nor the replicas.
func noChange(current *Value) (*Value, error) {
	return current, nil
}

// runRound runs ballots until one is not preempted, for up to roundTimeout including the wait for another
// round, and reports the round to the observer. update returns the successor of the current value.
func (p *Proposer) runRound(ctx context.Context, update func(*Value) (*Value, error)) (*Value, error) {
	value, _, err := p.runObserved(ctx, update)
	return value, err
}

// runObserved is like runRound and returns the round as well.
func (p *Proposer) runObserved(ctx context.Context, update func(*Value) (*Value, error)) (*Value, Round, error) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	select {
	case p.roundSlot <- struct{}{}:
		defer func() { <-p.roundSlot }()
	case <-ctx.Done():
		return nil, Round{}, fmt.Errorf("%w: another round takes long: %w", ErrNoMajority, ctx.Err())
	}
	started := p.clock.Now()
	var round Round
	value, err := p.retryBallots(ctx, update, &round)
	round.Err, round.Took = err, p.clock.Now().Sub(started)
	if value != nil {
		round.Revision = value.Revision
	}
	if p.roundObserver != nil {
		p.roundObserver(round)
	}
	return value, round, err
}

// retryBallots runs ballots with backoff until one is not preempted, and records them in round.
func (p *Proposer) retryBallots(ctx context.Context, update func(*Value) (*Value, error), round *Round) (*Value, error) {
	pause := initialBackoff
	for {
		round.Ballots++
		value, err := p.runBallot(ctx, update, round)
		if errors.Is(err, errJointChosen) {
			continue
		}
		if !errors.Is(err, errPreempted) {
			return value, err
		}
		timekeeper.Sleep(ctx, p.clock, pause/2+mathrand.N(pause))
		pause = min(2*pause, maxBackoff)
		if ctx.Err() != nil {
			return nil, fmt.Errorf("%w: %w", ErrNoMajority, err)
		}
	}
}

// runBallot runs one ballot: prepare, update, accept. An error of update is returned only after the value that
// it was based on is known to be chosen.
func (p *Proposer) runBallot(ctx context.Context, update func(*Value) (*Value, error), round *Round) (*Value, error) {
	replicas := p.knownReplicas()
	if len(replicas) == 0 {
		return nil, ErrNotBootstrapped
	}
	ballot := p.nextBallot()
	newest, sets, err := p.prepare(ctx, ballot, replicas)
	if err != nil {
		return nil, err
	}
	current := newest.Value
	if current == nil {
		return nil, ErrNotBootstrapped
	}
	if len(current.Previous) > 0 && newest.Ballot != p.lastChosen().Ballot {
		return nil, p.chooseJoint(ctx, ballot, current, sets)
	}
	if len(current.Previous) > 0 && p.successor != nil {
		if err := p.successor.HandOver(ctx, current); err != nil {
			return nil, err
		}
	}
	next, updateErr := update(current)
	if next == current {
		next = current.withoutPrevious()
	}
	asserter.That(next.Version >= current.Version, "register-version", "%d after %d", next.Version, current.Version)
	required := append(quorumSets(next), sets...)
	acknowledged, err := p.accept(ctx, ballot, next, required, addedReplicas(current, next))
	if err != nil {
		return nil, err
	}
	round.Acknowledged = acknowledged
	p.setChosen(ballot, next)
	return next, updateErr
}

// chooseJoint gets a value with a previous set accepted as it is by a majority of both sets, and then returns
// errJointChosen. No successor may be proposed before: it names the new set alone, so a majority of that set would pass
// it on while a majority of the previous set, which knows of neither value, passes on another one.
func (p *Proposer) chooseJoint(ctx context.Context, ballot Ballot, joint *Value, sets [][]Replica) error {
	if _, err := p.accept(ctx, ballot, joint, sets, nil); err != nil {
		return err
	}
	p.setChosen(ballot, joint)
	return errJointChosen
}

// setChosen stores a value that was chosen, unless a newer one is stored, and makes its replicas the known ones.
func (p *Proposer) setChosen(ballot Ballot, value *Value) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.chosen.Ballot.Less(ballot) {
		p.chosen = acceptedValue{Ballot: ballot, Value: value}
	}
	p.replicas = slices.Clone(value.Replicas)
	p.replicasConfirmed = true
}

// Chosen returns the newest value that the proposer knows to be chosen, with its ballot, or nil.
func (p *Proposer) Chosen() (Ballot, *Value) {
	chosen := p.lastChosen()
	return chosen.Ballot, chosen.Value
}

// lastChosen returns the newest value that the proposer knows to be chosen, with its ballot.
func (p *Proposer) lastChosen() acceptedValue {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.chosen
}

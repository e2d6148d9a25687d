package replicator

import (
	"context"
	"crypto/rand"
	"fmt"
	"strings"
)

// firstRevision is the revision of the first value of a register.
const firstRevision = 1

// Bootstrap creates the register with the first version of the document on the replicas that the change
// names. All of them must be reachable and hold no value. If the same change has already created version 1,
// it returns the newest value; if there is another value, it returns ErrBootstrapped. The error wraps
// ErrNoMajority if the change names no replicas or one of them does not answer.
func (p *Proposer) Bootstrap(ctx context.Context, change *Change) (*Value, error) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	if len(change.Replicas) == 0 {
		return nil, fmt.Errorf("%w: the document names no control replicas", ErrNoMajority)
	}
	ballot := p.nextBallot()
	replies := make(map[Replica]PrepareReply)
	if err := p.prepareAll(ctx, ballot, change.Replicas, replies); err != nil {
		return nil, err
	}
	if newest := newestValue(replies).Value; newest != nil {
		if version, ok := newest.appliedVersion(change.ID); ok && version == 1 {
			p.SetConfirmedReplicas(newest.Replicas)
			return p.Read(ctx)
		}
		return nil, ErrBootstrapped
	}
	empty := &Value{Deployment: strings.ToLower(rand.Text()), Replicas: change.Replicas, ReplicasRevision: firstRevision}
	return p.acceptFirst(ctx, ballot, empty.withChange(change))
}

// CreateEmpty creates the register on the given replicas, without a document. All of them must be reachable. If
// one already holds a value, CreateEmpty runs a round on the replicas and returns the value that it reads.
func (p *Proposer) CreateEmpty(ctx context.Context, replicas []Replica) (*Value, error) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	ballot := p.nextBallot()
	replies := make(map[Replica]PrepareReply)
	if err := p.prepareAll(ctx, ballot, replicas, replies); err != nil {
		return nil, err
	}
	if newestValue(replies).Value != nil {
		p.SetUnconfirmedReplicas(replicas)
		return p.runRound(ctx, noChange)
	}
	return p.acceptFirst(ctx, ballot, &Value{
		Deployment: strings.ToLower(rand.Text()), Replicas: replicas, ReplicasRevision: firstRevision, Revision: firstRevision,
	})
}

// acceptFirst gets the first value accepted by all of its replicas.
func (p *Proposer) acceptFirst(ctx context.Context, ballot Ballot, first *Value) (*Value, error) {
	if _, err := p.accept(ctx, ballot, first, quorumSets(first), first.Replicas); err != nil {
		return nil, err
	}
	p.setChosen(ballot, first)
	return first, nil
}

// prepareAll runs the prepare phase so that every one of the replicas must promise the ballot: each of them
// is a set of its own, with a majority of one.
func (p *Proposer) prepareAll(ctx context.Context, ballot Ballot, replicas []Replica, replies map[Replica]PrepareReply) error {
	sets := make([][]Replica, 0, len(replicas))
	for _, replica := range replicas {
		sets = append(sets, []Replica{replica})
	}
	return p.prepareSets(ctx, ballot, sets, replies)
}

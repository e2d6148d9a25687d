package replicator

import (
	"context"
	"crypto/rand"
	"fmt"
	"strings"
)

// Bootstrap makes the first version on the replicas that the change names. Every one of them must
// be reachable and hold nothing.
func (p *Proposer) Bootstrap(ctx context.Context, change *Change) (*Value, error) {
	ctx, cancel := context.WithTimeout(ctx, roundTime)
	defer cancel()
	if len(change.Replicas) == 0 {
		return nil, fmt.Errorf("%w: the document names no control replicas", ErrNoMajority)
	}
	ballot := p.nextBallot()
	replies := make(map[Replica]PrepareReply)
	if err := p.prepareAll(ctx, ballot, change.Replicas, replies); err != nil {
		return nil, err
	}
	if newest := newestOf(replies); newest != nil {
		if version, ok := newest.resultOf(change.ID); ok && version == 1 {
			p.Follow(newest.Replicas)
			return p.Read(ctx)
		}
		return nil, ErrBootstrapped
	}
	empty := &Value{Deployment: strings.ToLower(rand.Text()), Replicas: change.Replicas}
	return p.begin(ctx, ballot, empty.next(change))
}

// Form makes the register on the given replicas, without a document. Every one of them must be
// reachable and hold nothing.
func (p *Proposer) Form(ctx context.Context, replicas []Replica) (*Value, error) {
	ctx, cancel := context.WithTimeout(ctx, roundTime)
	defer cancel()
	ballot := p.nextBallot()
	replies := make(map[Replica]PrepareReply)
	if err := p.prepareAll(ctx, ballot, replicas, replies); err != nil {
		return nil, err
	}
	if newestOf(replies) != nil {
		p.Suppose(replicas)
		return p.round(ctx, keep)
	}
	return p.begin(ctx, ballot, &Value{Deployment: strings.ToLower(rand.Text()), Replicas: replicas, Revision: 1})
}

// begin has the first value accepted by all of its replicas.
func (p *Proposer) begin(ctx context.Context, ballot Ballot, first *Value) (*Value, error) {
	if err := p.accept(ctx, ballot, first, quorumSets(first), first.Replicas); err != nil {
		return nil, err
	}
	p.hold(ballot, first)
	return first, nil
}

func (p *Proposer) prepareAll(ctx context.Context, ballot Ballot, replicas []Replica, replies map[Replica]PrepareReply) error {
	sets := make([][]Replica, 0, len(replicas))
	for _, replica := range replicas {
		sets = append(sets, []Replica{replica})
	}
	return p.prepareSets(ctx, ballot, sets, replies)
}

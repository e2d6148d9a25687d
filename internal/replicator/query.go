package replicator

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
)

// queryTimeout is how long a read without a round waits for replies from an agreeing majority. A request that was lost on
// a silent connection has been sent again by then.
const queryTimeout = 400 * time.Millisecond

// ErrNoAgreement is returned by Query if no majority of the replicas agrees.
var ErrNoAgreement = merry.Sentinel("no majority of the control replicas agrees on a value")

// Query returns the value that a majority of the replicas has accepted, without a round. It disturbs no round that others
// run.
func (p *Proposer) Query(ctx context.Context) (*Value, error) {
	if value := p.queryMajority(ctx); value != nil {
		return value, nil
	}
	return nil, ErrNoAgreement
}

// queryMajority returns the value that a majority of the replicas has accepted under the same ballot. That
// value is chosen, and no newer one was chosen when the query began. It returns nil if no such majority
// replied in time or the set of replicas is in doubt; a round must then read the newest value.
func (p *Proposer) queryMajority(ctx context.Context) *Value {
	p.mu.Lock()
	replicas, confirmed := p.replicas, p.replicasConfirmed
	lastChosen := p.chosen
	p.mu.Unlock()
	if !confirmed || len(replicas) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	votes := make(map[Ballot]int)

	var agreed *Value
	var ballot Ballot
	broadcast(ctx, replicas, func(ctx context.Context, replica Replica) (QueryReply, error) {
		return p.transport.Query(ctx, replica.VM, QueryRequest{DiskID: replica.DiskID, Known: lastChosen.Ballot})
	}, func(_ Replica, reply QueryReply, err error) bool {
		if err != nil {
			return false
		}
		if reply.Accepted == lastChosen.Ballot {
			reply.Value = lastChosen.Value
		}
		votes[reply.Accepted]++

		if votes[reply.Accepted] > len(replicas)/2 {
			agreed, ballot = reply.Value, reply.Accepted
		}
		return agreed != nil
	})
	if agreed == nil || len(agreed.Previous) > 0 || !sameReplicas(agreed.Replicas, replicas) {
		return nil
	}
	p.setChosen(ballot, agreed)
	return agreed
}

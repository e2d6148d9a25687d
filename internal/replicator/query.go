package replicator

import (
	"context"
	"time"
)

// queryTime bounds the wait for a majority that agrees without a round.
const queryTime = 250 * time.Millisecond

// query returns the value that a majority of the replicas has accepted under one ballot: it is chosen,
// and no newer one was when the query began. It returns nil where a round has to find out.
func (p *Proposer) query(ctx context.Context) *Value {
	p.mu.Lock()
	known, settled := p.replicas, p.settled
	held := p.chosen
	p.mu.Unlock()
	if !settled || len(known) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, queryTime)
	defer cancel()
	votes := make(map[Ballot]int)

	var agreed *Value
	var ballot Ballot
	ask(ctx, known, func(ctx context.Context, replica Replica) (QueryReply, error) {
		return p.transport.Query(ctx, replica.VM, QueryRequest{DiskID: replica.DiskID, Known: held.Ballot})
	}, func(_ Replica, reply QueryReply, err error) bool {
		if err != nil {
			return false
		}
		if reply.Accepted == held.Ballot {
			reply.Value = held.Value
		}
		votes[reply.Accepted]++

		if votes[reply.Accepted] > len(known)/2 {
			agreed, ballot = reply.Value, reply.Accepted
		}
		return agreed != nil
	})
	if agreed == nil || len(agreed.Previous) > 0 || !sameReplicas(agreed.Replicas, known) {
		return nil
	}
	p.hold(ballot, agreed)
	return agreed
}

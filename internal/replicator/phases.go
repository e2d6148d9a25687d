package replicator

import (
	"context"
	"fmt"
	"slices"
)

// quorumSets returns the sets of which a majority each must accept the value.
func quorumSets(v *Value) [][]Replica {
	sets := [][]Replica{v.Replicas}
	if len(v.Previous) > 0 {
		sets = append(sets, v.Previous)
	}
	return sets
}

// added returns the replicas that the successor brings in. They must all hold it before it counts,
// so that the loss of another one loses nothing.
func added(current, next *Value) []Replica {
	var fresh []Replica
	for _, replica := range next.Replicas {
		if !slices.Contains(current.Replicas, replica) {
			fresh = append(fresh, replica)
		}
	}
	return fresh
}

// prepare asks the known replicas and then, when the newest value names others, those as well. It
// returns the newest value, or nil, and the sets that are still needed to accept a successor.
func (p *Proposer) prepare(ctx context.Context, ballot Ballot, known []Replica) (*Value, [][]Replica, error) {
	sets := [][]Replica{known}
	replies := make(map[Replica]PrepareReply)
	for range maxConfigHop {
		if err := p.prepareSets(ctx, ballot, sets, replies); err != nil {
			return nil, nil, err
		}
		newest := newestOf(replies)
		if newest == nil {
			return nil, sets, nil
		}
		wanted := quorumSets(newest)
		if containsSets(sets, wanted) {
			return newest, wanted, nil
		}
		sets = append(wanted, known)
	}
	return nil, nil, fmt.Errorf("%w: the set of replicas keeps changing", ErrNoMajority)
}

func containsSets(sets, wanted [][]Replica) bool {
	for _, one := range wanted {
		same := func(other []Replica) bool { return sameReplicas(one, other) }
		if !slices.ContainsFunc(sets, same) {
			return false
		}
	}
	return true
}

func newestOf(replies map[Replica]PrepareReply) *Value {
	var newest *PrepareReply
	for _, reply := range replies {
		if reply.Value != nil && (newest == nil || newest.Accepted.Less(reply.Accepted)) {
			newest = &reply
		}
	}
	if newest == nil {
		return nil
	}
	return newest.Value
}

func (p *Proposer) prepareSets(ctx context.Context, ballot Ballot, sets [][]Replica, replies map[Replica]PrepareReply) error {
	var missing []Replica
	for _, replica := range union(sets) {
		if _, ok := replies[replica]; !ok {
			missing = append(missing, replica)
		}
	}
	held := p.held()
	votes := &tally[PrepareReply]{replies: replies}
	over := func() bool {
		return haveMajorities(sets, replies) || votes.isLost(sets, nil)
	}
	gather(ctx, p, missing, votes, over, func(ctx context.Context, replica Replica) (PrepareReply, error) {
		request := PrepareRequest{Ballot: ballot, DiskID: replica.DiskID, Known: held.Ballot}
		reply, err := p.transport.Prepare(ctx, replica.VM, request)
		if err == nil && reply.OK && reply.Accepted == held.Ballot {
			reply.Value = held.Value
		}
		return reply, err
	})
	if haveMajorities(sets, replies) {
		return nil
	}
	return votes.failure()
}

// accept has the value accepted by a majority of each set and by every replica in all.
func (p *Proposer) accept(ctx context.Context, ballot Ballot, value *Value, sets [][]Replica, all []Replica) error {
	votes := &tally[AcceptReply]{replies: make(map[Replica]AcceptReply)}
	enough := func() bool {
		return votes.hasAll(all) && haveMajorities(sets, votes.replies)
	}
	over := func() bool {
		return enough() || votes.isLost(sets, all)
	}
	gather(ctx, p, union(append(sets, all)), votes, over, func(ctx context.Context, replica Replica) (AcceptReply, error) {
		return p.transport.Accept(ctx, replica.VM, AcceptRequest{Ballot: ballot, DiskID: replica.DiskID, Value: value})
	})
	if enough() {
		return nil
	}
	return votes.failure()
}

// vote is a replica's answer in one phase of a round.
type vote interface {
	// verdict returns the highest ballot that the replica has promised, and whether it votes for the one
	// that it was asked about.
	verdict() (promised Ballot, ok bool)
}

func (r PrepareReply) verdict() (promised Ballot, ok bool) { return r.Promised, r.OK }
func (r AcceptReply) verdict() (promised Ballot, ok bool)  { return r.Promised, r.OK }

// gather asks the replicas for their votes until over returns true, or until outbidTime after the first
// refusal.
func gather[R vote](ctx context.Context, p *Proposer, replicas []Replica, votes *tally[R], over func() bool, send func(context.Context, Replica) (R, error)) {
	ctx, giveUp := context.WithCancel(ctx)
	defer giveUp()
	ask(ctx, replicas, send, func(replica Replica, reply R, err error) bool {
		promised, ok := reply.verdict()
		p.outbid(promised)
		if votes.take(replica, reply, ok, err) {
			p.clock.AfterFunc(outbidTime, giveUp)
		}
		return over()
	})
}

func union(sets [][]Replica) []Replica {
	var all []Replica
	for _, set := range sets {
		for _, replica := range set {
			if !slices.Contains(all, replica) {
				all = append(all, replica)
			}
		}
	}
	return all
}

func haveMajorities[R any](sets [][]Replica, replies map[Replica]R) bool {
	for _, set := range sets {
		count := 0
		for _, replica := range set {
			if _, ok := replies[replica]; ok {
				count++
			}
		}
		if count <= len(set)/2 {
			return false
		}
	}
	return true
}

// ask sends to every replica at once and passes each reply to take until it returns true. The
// others go on in the background, so that all replicas that can be reached get the message.
func ask[R any](ctx context.Context, replicas []Replica, send func(context.Context, Replica) (R, error), take func(Replica, R, error) bool) {
	type answer struct {
		err     error
		replica Replica
		reply   R
	}
	answers := make(chan answer, len(replicas))
	for _, replica := range replicas {
		go func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), messageTime)
			defer cancel()
			reply, err := send(ctx, replica)
			answers <- answer{err, replica, reply}
		}()
	}
	for range replicas {
		select {
		case a := <-answers:
			if take(a.replica, a.reply, a.err) {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

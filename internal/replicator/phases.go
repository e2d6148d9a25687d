package replicator

import (
	"context"
	"fmt"
	"slices"
)

// quorumSets returns the sets of replicas of which a majority each must accept the value.
func quorumSets(v *Value) [][]Replica {
	sets := [][]Replica{v.Replicas}
	if len(v.Previous) > 0 {
		sets = append(sets, v.Previous)
	}
	return sets
}

// addedReplicas returns the replicas that are in next but not in current. All of them must accept the value
// before it counts as chosen, so that the loss of another replica does not lose the value.
func addedReplicas(current, next *Value) []Replica {
	var added []Replica
	for _, replica := range next.Replicas {
		if !slices.Contains(current.Replicas, replica) {
			added = append(added, replica)
		}
	}
	return added
}

// prepare runs the prepare phase on the known replicas and, if the newest value names other replicas, on those
// as well. It returns the newest value with the ballot under which it was accepted, without a value if there is none,
// and the sets of replicas that must accept a successor.
func (p *Proposer) prepare(ctx context.Context, ballot Ballot, known []Replica) (acceptedValue, [][]Replica, error) {
	sets := [][]Replica{known}
	replies := make(map[Replica]PrepareReply)
	for range maxPreparePasses {
		if err := p.prepareSets(ctx, ballot, sets, replies); err != nil {
			return acceptedValue{}, nil, err
		}
		newest := newestValue(replies)
		if newest.Value == nil {
			return newest, sets, nil
		}
		required := quorumSets(newest.Value)
		if containsSets(sets, required) {
			return newest, required, nil
		}
		sets = append(required, known)
	}
	return acceptedValue{}, nil, fmt.Errorf("%w: the set of replicas keeps changing", ErrNoMajority)
}

// containsSets reports whether every required set is among the sets.
func containsSets(sets, required [][]Replica) bool {
	for _, set := range required {
		same := func(other []Replica) bool { return sameReplicas(set, other) }
		if !slices.ContainsFunc(sets, same) {
			return false
		}
	}
	return true
}

// newestValue returns the value that was accepted under the highest ballot, with that ballot. Its value is nil if there
// is none.
func newestValue(replies map[Replica]PrepareReply) acceptedValue {
	var newest acceptedValue
	for _, reply := range replies {
		if reply.Value != nil && newest.Ballot.Less(reply.Accepted) {
			newest = acceptedValue{Ballot: reply.Accepted, Value: reply.Value}
		}
	}
	return newest
}

// prepareSets sends the ballot to the replicas of the sets that are not yet in replies and adds their promises
// to replies. It returns nil once a majority of each set has promised.
func (p *Proposer) prepareSets(ctx context.Context, ballot Ballot, sets [][]Replica, replies map[Replica]PrepareReply) error {
	var missing []Replica
	for _, replica := range union(sets) {
		if _, ok := replies[replica]; !ok {
			missing = append(missing, replica)
		}
	}
	lastChosen := p.lastChosen()
	votes := &tally[PrepareReply]{replies: replies}
	finished := func() bool {
		return haveMajorities(sets, replies) || votes.cannotSucceed(sets, nil)
	}
	collectVotes(ctx, p, missing, votes, finished, func(ctx context.Context, replica Replica) (PrepareReply, error) {
		request := PrepareRequest{Ballot: ballot, DiskID: replica.DiskID, Known: lastChosen.Ballot}
		reply, err := p.transport.Prepare(ctx, replica.VM, request)
		if err == nil && reply.OK && reply.Accepted == lastChosen.Ballot {
			reply.Value = lastChosen.Value
		}
		return reply, err
	})
	if haveMajorities(sets, replies) {
		return nil
	}
	return votes.failure()
}

// accept runs the accept phase. It returns the VMs that have accepted the value once these are a majority of each set and
// every replica in all.
func (p *Proposer) accept(ctx context.Context, ballot Ballot, value *Value, sets [][]Replica, all []Replica) ([]string, error) {
	votes := &tally[AcceptReply]{replies: make(map[Replica]AcceptReply)}
	hasQuorum := func() bool {
		return votes.hasAll(all) && haveMajorities(sets, votes.replies)
	}
	finished := func() bool {
		return hasQuorum() || votes.cannotSucceed(sets, all)
	}
	collectVotes(ctx, p, union(append(sets, all)), votes, finished, func(ctx context.Context, replica Replica) (AcceptReply, error) {
		return p.transport.Accept(ctx, replica.VM, AcceptRequest{Ballot: ballot, DiskID: replica.DiskID, Value: value})
	})
	if hasQuorum() {
		return vmsOf(votes.replies), nil
	}
	return nil, votes.failure()
}

// vmsOf returns the VMs of the replicas that have replied, in alphabetical order.
func vmsOf(replies map[Replica]AcceptReply) []string {
	var vms []string
	for replica := range replies {
		vms = append(vms, replica.VM)
	}
	slices.Sort(vms)
	return vms
}

// vote is the reply of a replica in the prepare or the accept phase.
type vote interface {
	// decision returns the highest ballot that the replica has promised, and whether it votes for the ballot
	// of the request.
	decision() (promised Ballot, ok bool)
}

func (r PrepareReply) decision() (promised Ballot, ok bool) { return r.Promised, r.OK }
func (r AcceptReply) decision() (promised Ballot, ok bool)  { return r.Promised, r.OK }

// collectVotes sends a request to each replica and adds the replies to votes, until finished returns true or
// until preemptionGrace after the first reply that names a higher ballot.
func collectVotes[R vote](ctx context.Context, p *Proposer, replicas []Replica, votes *tally[R], finished func() bool, send func(context.Context, Replica) (R, error)) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	broadcast(ctx, replicas, send, func(replica Replica, reply R, err error) bool {
		promised, ok := reply.decision()
		p.observeBallot(promised)
		if votes.add(replica, reply, ok, err) {
			p.clock.AfterFunc(preemptionGrace, cancel)
		}
		return finished()
	})
}

// union returns the replicas of all sets, each of them once.
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

// haveMajorities reports whether a majority of each set is in replies.
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

// broadcast sends to all replicas concurrently and passes each reply to handle until handle returns true or
// ctx ends. The other calls continue in the background, each for up to messageTimeout, so that all reachable
// replicas get the message.
func broadcast[R any](ctx context.Context, replicas []Replica, send func(context.Context, Replica) (R, error), handle func(Replica, R, error) bool) {
	type response struct {
		err     error
		replica Replica
		reply   R
	}
	responses := make(chan response, len(replicas))
	for _, replica := range replicas {
		go func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), messageTimeout)
			defer cancel()
			reply, err := send(ctx, replica)
			responses <- response{err, replica, reply}
		}()
	}
	for range replicas {
		select {
		case r := <-responses:
			if handle(r.replica, r.reply, r.err) {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

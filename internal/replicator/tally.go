package replicator

import (
	"errors"
	"fmt"
	"slices"

	"github.com/ansel1/merry/v2"
)

// tally collects the votes of one phase of a round.
type tally[R any] struct {
	// failed lists the replicas that returned an error or rejected the ballot.
	failed []Replica
	// preempted is true if a replica has promised a higher ballot.
	preempted bool
	errs      []error
	// replies holds the replies of the replicas that voted for the ballot.
	replies map[Replica]R
}

// add records the reply or the error of one replica. ok is false if the replica has promised a higher ballot;
// add reports whether this is the first such reply.
func (t *tally[R]) add(replica Replica, reply R, ok bool, err error) (firstPreemption bool) {
	switch {
	case err != nil:
		t.failed = append(t.failed, replica)
		t.errs = append(t.errs, merry.Prepend(err, replica.VM))
	case !ok:
		t.failed = append(t.failed, replica)
		firstPreemption = !t.preempted
		t.preempted = true
	default:
		t.replies[replica] = reply
	}
	return firstPreemption
}

// cannotSucceed reports whether one of the sets can no longer reach a majority, or one of the replicas in all
// has failed.
func (t *tally[R]) cannotSucceed(sets [][]Replica, all []Replica) bool {
	for _, replica := range all {
		if slices.Contains(t.failed, replica) {
			return true
		}
	}
	for _, set := range sets {
		remaining := len(set)
		for _, replica := range t.failed {
			if slices.Contains(set, replica) {
				remaining--
			}
		}
		if remaining <= len(set)/2 {
			return true
		}
	}
	return false
}

// hasAll reports whether every one of the replicas has voted for the ballot.
func (t *tally[R]) hasAll(replicas []Replica) bool {
	for _, replica := range replicas {
		if _, ok := t.replies[replica]; !ok {
			return false
		}
	}
	return true
}

// failure returns the error of a phase with too few votes: errPreempted, or one that wraps ErrNoMajority and
// the errors of the replicas.
func (t *tally[R]) failure() error {
	if t.preempted {
		return errPreempted
	}
	return fmt.Errorf("%w: %w", ErrNoMajority, errors.Join(t.errs...))
}

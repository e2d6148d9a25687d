package replicator

import (
	"errors"
	"fmt"
	"slices"

	"github.com/ansel1/merry/v2"
)

// tally collects the votes of one phase of a round.
type tally[R any] struct {
	// lost are the replicas that have not voted for the ballot and won't.
	lost     []Replica
	outbid   bool
	refusals []error
	// replies holds the votes for the ballot.
	replies map[Replica]R
}

// take books one replica's answer; ok is false when it has promised a higher ballot. It reports whether
// this is the first such answer.
func (t *tally[R]) take(replica Replica, reply R, ok bool, err error) (outbid bool) {
	switch {
	case err != nil:
		t.lost = append(t.lost, replica)
		t.refusals = append(t.refusals, merry.Prepend(err, replica.VM))
	case !ok:
		t.lost = append(t.lost, replica)
		outbid = !t.outbid
		t.outbid = true
	default:
		t.replies[replica] = reply
	}
	return outbid
}

// isLost reports whether one of the sets can't have a majority any more, or one of all has not voted.
func (t *tally[R]) isLost(sets [][]Replica, all []Replica) bool {
	for _, replica := range all {
		if slices.Contains(t.lost, replica) {
			return true
		}
	}
	for _, set := range sets {
		left := len(set)
		for _, replica := range t.lost {
			if slices.Contains(set, replica) {
				left--
			}
		}
		if left <= len(set)/2 {
			return true
		}
	}
	return false
}

func (t *tally[R]) hasAll(replicas []Replica) bool {
	for _, replica := range replicas {
		if _, ok := t.replies[replica]; !ok {
			return false
		}
	}
	return true
}

// failure returns why the phase has too few votes.
func (t *tally[R]) failure() error {
	if t.outbid {
		return errOutbid
	}
	return fmt.Errorf("%w: %w", ErrNoMajority, errors.Join(t.refusals...))
}

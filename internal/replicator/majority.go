package replicator

import (
	"context"
	"errors"
	"fmt"
)

// AskMajorities sends a request to all replicas that store the value, concurrently, and returns the replies once a majority of
// each of its sets has replied. The requests that are under way then go on. Otherwise the error wraps ErrNoMajority and the errors of
// the replicas.
func AskMajorities[R any](ctx context.Context, value *Value, send func(context.Context, Replica) (R, error)) (map[Replica]R, error) {
	sets := quorumSets(value)
	replies := make(map[Replica]R)
	var failures []error
	broadcast(ctx, union(sets), send, func(replica Replica, reply R, err error) bool {
		if err != nil {
			failures = append(failures, fmt.Errorf("%s: %w", replica.VM, err))
			return false
		}
		replies[replica] = reply
		return haveMajorities(sets, replies)
	})
	if !haveMajorities(sets, replies) {
		return nil, fmt.Errorf("%w: %w", ErrNoMajority, errors.Join(append(failures, ctx.Err())...))
	}
	return replies, nil
}

package replicator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

// slowTransport delays each message by a random time.
type slowTransport struct {
	Transport
	maxDelay time.Duration
}

func (s slowTransport) delay() { time.Sleep(rand.N(s.maxDelay)) }

// Prepare implements Transport.
func (s slowTransport) Prepare(ctx context.Context, vm string, request PrepareRequest) (PrepareReply, error) {
	s.delay()
	return s.Transport.Prepare(ctx, vm, request)
}

// Accept implements Transport.
func (s slowTransport) Accept(ctx context.Context, vm string, request AcceptRequest) (AcceptReply, error) {
	s.delay()
	return s.Transport.Accept(ctx, vm, request)
}

// TestConcurrentRepairsEnd lets all replicas repair an interrupted change of the replicas at the same time, beside a
// change of the document. All of them must end within the time of a round.
func TestConcurrentRepairsEnd(t *testing.T) {
	const rounds = 5
	vms := []string{"a", "b", "c", "d", "e"}
	for range rounds {
		c := newCluster(t, append(vms, "f")...)
		replicas := c.bootstrap(vms...)
		next := c.replicas("a", "b", "c", "d", "f")
		_, _ = c.dyingProposer("dying", replicas, "a").Reconfigure(t.Context(), 1, next)
		transport := slowTransport{Transport: c, maxDelay: 20 * time.Millisecond}
		var repairing sync.WaitGroup
		for i, vm := range vms {
			p := NewProposer(c.proposer("x", nil).clock, "repair-"+vm, transport)
			p.SetConfirmedReplicas(replicas)
			repairing.Go(func() {
				started := time.Now()
				var err error
				if i == 0 {
					_, _, err = p.Apply(t.Context(), change(fmt.Sprint("change-", i), 1, nil))
				} else {
					_, err = p.Repair(t.Context())
				}
				if err != nil {
					t.Errorf("%s: %v after %s", vm, err, time.Since(started))
				}
			})
		}
		repairing.Wait()
	}
}

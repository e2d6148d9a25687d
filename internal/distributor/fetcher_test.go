package distributor

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
)

var errUnreachable = errors.New("unreachable")

// scriptedFetcher is a node whose peers answer or are cut off.
type scriptedFetcher struct {
	mu      sync.Mutex
	inForce uint64
	// fetches lists the names of the members that were asked.
	fetches []string
	running int
	most    int
	// revisions holds what the members answer with; those without an entry never answer.
	revisions map[string]uint64
}

// Fetch implements FetchNode.
func (s *scriptedFetcher) Fetch(ctx context.Context, from gossiper.Member) error {
	s.mu.Lock()
	s.fetches = append(s.fetches, from.Name)
	s.running++
	s.most = max(s.most, s.running)
	revision, answers := s.revisions[from.Name]
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	if !answers {
		select {
		case <-time.After(2 * time.Second):
		case <-ctx.Done():
		}
		return errUnreachable
	}
	time.Sleep(time.Millisecond)
	s.mu.Lock()
	s.inForce = max(s.inForce, revision)
	s.mu.Unlock()
	return nil
}

// InForce implements FetchNode.
func (s *scriptedFetcher) InForce() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inForce
}

// TestFetchDoesNotWaitForMemberThatIsCutOff guards against a node that waits for the member that first told of a newer
// document, which has been cut off since, and drops what others tell meanwhile.
func TestFetchDoesNotWaitForMemberThatIsCutOff(t *testing.T) {
	// bound is how long each silent member may hold up the node; config_apply_s leaves room for a few.
	const bound = 250 * time.Millisecond
	for silent := range maxFetches {
		t.Run(fmt.Sprintf("%d silent", silent), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				node := &scriptedFetcher{revisions: map[string]uint64{"sound": 7}}
				f := NewFetcher(node)
				ctx, stop := context.WithCancel(t.Context())
				var run sync.WaitGroup
				run.Go(func() { f.Run(ctx) })
				for i := range silent {
					f.Offer(gossiper.Member{Name: fmt.Sprint("silent-", i)}, 7)
					time.Sleep(10 * time.Millisecond)
				}
				f.Offer(gossiper.Member{Name: "sound"}, 7)
				time.Sleep(time.Duration(silent)*bound + 20*time.Millisecond)
				if got := node.InForce(); got != 7 {
					t.Errorf("revision %d is in force, want 7; asked %v", got, node.fetches)
				}
				stop()
				run.Wait()
			})
		})
	}
}

// TestFetchesAreFew guards against a node that asks many members at once, or one that offers nothing new.
func TestFetchesAreFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := &scriptedFetcher{inForce: 3, revisions: map[string]uint64{"sound": 7}}
		f := NewFetcher(node)
		ctx, stop := context.WithCancel(t.Context())
		var run sync.WaitGroup
		run.Go(func() { f.Run(ctx) })
		f.Offer(gossiper.Member{Name: "older"}, 3)
		for i := range 100 {
			f.Offer(gossiper.Member{Name: fmt.Sprint("silent-", i)}, 7)
			time.Sleep(10 * time.Millisecond)
		}
		f.Offer(gossiper.Member{Name: "sound"}, 7)
		time.Sleep(5 * time.Second)
		for range 10 {
			f.Offer(gossiper.Member{Name: "sound"}, 7)
		}
		time.Sleep(time.Second)
		if node.most > maxFetches || node.InForce() != 7 || node.fetches[0] != "silent-0" {
			t.Errorf("revision %d is in force after up to %d requests at a time: %v", node.InForce(), node.most, node.fetches)
		}
		stop()
		run.Wait()
	})
}

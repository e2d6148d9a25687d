package distributor

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

// scriptedMembers are members to push to.
type scriptedMembers struct {
	mu   sync.Mutex
	live []string
	// cutOff holds the names of those that don't answer.
	cutOff map[string]bool
	// arrived holds the revisions that have arrived at each, and sent the number of attempts.
	arrived map[string][]uint64
	sent    map[string]int
	// refusing holds the names of those that refuse connections of this node, which deputies reach if there are any.
	refusing    map[string]bool
	hasDeputies bool
	// deputies is the number of times that one was asked.
	deputies int
}

func newScriptedMembers(count int) *scriptedMembers {
	s := &scriptedMembers{cutOff: make(map[string]bool), arrived: make(map[string][]uint64), sent: make(map[string]int), refusing: make(map[string]bool)}
	for i := range count {
		s.live = append(s.live, fmt.Sprint("m", i))
	}
	return s
}

// LiveMembers implements PushNode.
func (s *scriptedMembers) LiveMembers() []gossiper.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	var members []gossiper.Member
	for _, name := range s.live {
		members = append(members, gossiper.Member{Name: name})
	}
	return members
}

// LiveMember implements PushNode.
func (s *scriptedMembers) LiveMember(name string) (gossiper.Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return gossiper.Member{Name: name}, slices.Contains(s.live, name)
}

// Push implements PushNode.
func (s *scriptedMembers) Push(_ context.Context, to gossiper.Member, value Document) (PushReply, error) {
	s.mu.Lock()
	s.sent[to.Name]++
	isCutOff, isRefusing := s.cutOff[to.Name], s.refusing[to.Name]
	s.mu.Unlock()
	if isRefusing {
		return PushReply{}, errUnreachable
	}
	if isCutOff {
		time.Sleep(2 * time.Second)
		return PushReply{}, errUnreachable
	}
	time.Sleep(time.Millisecond)
	s.mu.Lock()
	s.arrived[to.Name] = append(s.arrived[to.Name], value.Revision)
	s.mu.Unlock()
	return PushReply{}, nil
}

// PushByDeputy implements PushNode.
func (s *scriptedMembers) PushByDeputy(ctx context.Context, to gossiper.Member, revision uint64) error {
	s.mu.Lock()
	s.deputies++
	isReached := s.refusing[to.Name] && s.hasDeputies
	s.mu.Unlock()
	if !isReached {
		return errUnreachable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrived[to.Name] = append(s.arrived[to.Name], revision)
	return ctx.Err()
}

// PushFailed implements PushNode.
func (s *scriptedMembers) PushFailed(gossiper.Member, error) {}

// setCutOff cuts a member off, or ends that.
func (s *scriptedMembers) setCutOff(name string, isCutOff bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutOff[name] = isCutOff
}

// newest returns the last revision that has arrived at a member, and how many have.
func (s *scriptedMembers) newest(name string) (revision uint64, count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	revisions := s.arrived[name]
	if len(revisions) == 0 {
		return 0, 0
	}
	return revisions[len(revisions)-1], len(revisions)
}

// TestPushIsRepeatedUntilItArrives guards against a value that is pushed to a member a few times and then never again, while
// the member was cut off for longer than that, and against the values of a storm that arrive one after the other instead of the
// newest.
func TestPushIsRepeatedUntilItArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := newScriptedMembers(3)
		p := NewPusher(timekeeper.System{}, members, NewHistory())
		defer p.Close()
		members.setCutOff("m1", true)
		for revision := uint64(1); revision <= 20; revision++ {
			p.Push(&replicator.Value{Revision: revision})
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(15 * time.Second)
		if revision, count := members.newest("m0"); revision != 20 || count != 20 {
			t.Errorf("revision %d is the newest at a member in touch, after %d pushes", revision, count)
		}
		members.setCutOff("m1", false)
		time.Sleep(2*time.Second + 2*pushRetryInterval)
		if revision, count := members.newest("m1"); revision != 20 || count != 1 {
			t.Errorf("revision %d is the newest at the member that was cut off, after %d pushes, want 20 after one", revision, count)
		}
	})
}

// TestPushEndsWithMember guards against goroutines that push to members which are gone, and against older values that are pushed
// after newer ones.
func TestPushEndsWithMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := newScriptedMembers(2)
		p := NewPusher(timekeeper.System{}, members, NewHistory())
		members.setCutOff("m1", true)
		p.Push(&replicator.Value{Revision: 5})
		p.Push(&replicator.Value{Revision: 4})
		p.Push(&replicator.Value{Revision: 5})
		time.Sleep(5 * time.Second)
		members.mu.Lock()
		members.live = members.live[:1]
		members.mu.Unlock()
		time.Sleep(5 * time.Second)
		members.mu.Lock()
		sent := members.sent["m1"]
		members.mu.Unlock()
		time.Sleep(time.Minute)
		members.mu.Lock()
		later := members.sent["m1"]
		members.mu.Unlock()
		p.mu.Lock()
		active := len(p.active)
		p.mu.Unlock()
		if later != sent || active > 0 {
			t.Errorf("%d pushes to a member that is gone, then %d; %d members are active", sent, later, active)
		}
		if revision, count := members.newest("m0"); revision != 5 || count != 1 {
			t.Errorf("revision %d has arrived last of %d, want 5 alone", revision, count)
		}
		p.Close()
	})
}

// TestDeputiesPushToUnreachedMembers guards against a value that its node alone pushes, though it reaches the other replicas and nobody
// else, and against members that are pushed to for good after a deputy has reached them.
func TestDeputiesPushToUnreachedMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := newScriptedMembers(6)
		members.hasDeputies = true
		members.refusing["m1"], members.refusing["m4"] = true, true
		pusher := NewPusher(timekeeper.System{}, members, NewHistory())
		defer pusher.Close()
		for revision := range uint64(3) {
			pusher.Push(&replicator.Value{Revision: 1 + revision})
			time.Sleep(pushRetryInterval + 100*time.Millisecond)
			synctest.Wait()
			members.mu.Lock()
			for _, name := range members.live {
				if got := members.arrived[name]; !slices.Contains(got, 1+revision) {
					t.Errorf("revision %d has not arrived at %s: %v", 1+revision, name, got)
				}
			}
			members.mu.Unlock()
		}
		sent := members.sent["m1"]
		time.Sleep(time.Minute)
		if members.sent["m1"] != sent || members.deputies != 6 {
			t.Errorf("%d further pushes to a member that has the value, deputies asked %d times", members.sent["m1"]-sent, members.deputies)
		}
	})
}

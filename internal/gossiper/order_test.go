package gossiper

import (
	"sync"
	"testing"
)

// heldObserver is an observer that keeps the sequence numbers of the records in the order of the calls. It is held up in
// the first call until release is closed.
type heldObserver struct {
	endpoint
	isHeld  chan struct{}
	release chan struct{}
	mu      sync.Mutex
	seen    []uint64
}

// MemberChanged implements Observer.
func (o *heldObserver) MemberChanged(m Member) {
	if m.Sequence == 1 {
		close(o.isHeld)
		<-o.release
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.seen = append(o.seen, m.Sequence)
}

// TestObserverSeesChangesInOrder guards against a router that keeps an old record of a member until the member's next
// change, because two goroutines have reported its changes in the wrong order.
func TestObserverSeesChangesInOrder(t *testing.T) {
	n := newNetwork(t, 2)
	g := n.gossipers[memberName(0)]
	observer := &heldObserver{isHeld: make(chan struct{}), release: make(chan struct{})}
	g.observer = observer
	record := n.gossipers[memberName(1)].Self()
	merge := func(sequence uint64) {
		changed := record
		changed.Sequence = sequence
		g.Merge([]Member{changed})
	}
	var merging sync.WaitGroup
	merging.Go(func() { merge(1) })
	<-observer.isHeld
	merge(2)
	close(observer.release)
	merging.Wait()
	if len(observer.seen) != 2 || observer.seen[0] != 1 || observer.seen[1] != 2 {
		t.Errorf("the observer has seen the changes %v, want 1 and then 2", observer.seen)
	}
}

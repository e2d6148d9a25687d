package distributor

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
)

const (
	// confirmTimeout is how long a relay has to confirm which members have got a value. The others then get it directly.
	confirmTimeout = 300 * time.Millisecond
	// passOnTimeout limits the time in which a relay passes a value on, so that its confirmation comes in time.
	passOnTimeout = 200 * time.Millisecond
	// minRelayedMembers is the number of members of a data centre from which on one of them is a relay for the others.
	minRelayedMembers = 2
	// relayedBytes is what one relay may send. Its link can be as thin as that of any member: this takes 0.2 s at 1 Mbps.
	relayedBytes = 24 << 10
	// messageBytes is what a message has beside the text or the patch: the replicas, the fields' names and the headers.
	messageBytes = 1 << 10
)

// RelayNode is the node of a Pusher that sends values through relays.
type RelayNode interface {
	PushNode
	// PushToRelay sends a value to a member that passes it on to the others with the names, and returns the names of those that have
	// got it.
	PushToRelay(ctx context.Context, to gossiper.Member, value Document, others []string) (reached []string, err error)
}

// relaying is how a Pusher sends values through relays.
type relaying struct {
	node RelayNode
	// dataCentre is that of the node.
	dataCentre string
}

// UseRelays makes PushThroughRelays use relays, for a node in the data centre. It must be called before the first push.
func (p *Pusher) UseRelays(node RelayNode, dataCentre string) {
	p.relaying = &relaying{node: node, dataCentre: dataCentre}
}

// PushThroughRelays is like Push, but sends the value once to each other data centre, where a member passes it on. Members that
// the relay has not confirmed within confirmTimeout get the value as by Push. Without UseRelays it is Push.
func (p *Pusher) PushThroughRelays(value *replicator.Value) {
	if p.relaying == nil {
		p.Push(value)
		return
	}
	groups := make(map[string][]gossiper.Member)
	for _, m := range p.begin(value) {
		groups[m.DataCentre] = append(groups[m.DataCentre], m)
	}
	for name, group := range groups {
		if name == p.relaying.dataCentre || len(group) < minRelayedMembers {
			p.startDelivery(group)
			continue
		}
		p.deliverByRelays(group)
	}
}

// deliverByRelays sends the newest value to the members of a data centre through as many relays as it takes, since none may send more than
// relayedBytes, or directly if even a relay for one other member would.
func (p *Pusher) deliverByRelays(group []gossiper.Member) {
	document := p.history.Document(p.history.Previous())
	served := 1 + relayedBytes/(document.Size()+messageBytes)
	if document.IsLarge() || served < minRelayedMembers {
		p.startDelivery(group)
		return
	}
	rand.Shuffle(len(group), func(i, j int) { group[i], group[j] = group[j], group[i] })
	for part := range slices.Chunk(group, served) {
		go p.deliverByRelay(part)
	}
}

// deliverByRelay sends the newest value to one member of the group, and then to those that it has not confirmed. It goes on with
// those that it has confirmed while there are newer values.
func (p *Pusher) deliverByRelay(group []gossiper.Member) {
	for len(group) >= minRelayedMembers {
		document := p.history.Document(p.history.Previous())
		if document.IsLarge() {
			break
		}
		reached := p.sendToRelay(group, document)
		var outdated []gossiper.Member
		for _, m := range group {
			if !reached[m.Name] {
				go p.deliver(m.Name)
				continue
			}
			p.learn(m.Name, document.Revision)
			if !p.finish(m.Name, document.Revision, true) {
				outdated = append(outdated, m)
			}
		}
		group = outdated
	}
	p.startDelivery(group)
}

// sendToRelay sends a value to the first member of the group and returns the names of the members that have got it.
func (p *Pusher) sendToRelay(group []gossiper.Member, document Document) map[string]bool {
	node := p.relaying.node
	relay := group[0]
	ctx, cancel := context.WithTimeout(p.ctx, confirmTimeout)
	defer cancel()
	var others []string
	for _, m := range group[1:] {
		others = append(others, m.Name)
	}
	names, err := node.PushToRelay(ctx, relay, document, others)
	if err != nil {
		if p.ctx.Err() == nil {
			node.PushFailed(relay, err)
		}
		return nil
	}
	reached := map[string]bool{relay.Name: true}
	for _, name := range names {
		reached[name] = true
	}
	return reached
}

// PassOn sends a value to the members with the names for the node from which this one has it, and returns the names of those that
// have got it within passOnTimeout. That node pushes it to the others.
func (p *Pusher) PassOn(ctx context.Context, document Document, names []string) []string {
	ctx, cancel := context.WithTimeout(ctx, passOnTimeout)
	defer cancel()
	var mu sync.Mutex
	var reached []string
	var pushes sync.WaitGroup
	for _, name := range names {
		pushes.Go(func() {
			if !p.passOnTo(ctx, name, document) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			reached = append(reached, name)
		})
	}
	pushes.Wait()
	return reached
}

// passOnTo sends a value to the member with the name, and reports whether that has got it.
func (p *Pusher) passOnTo(ctx context.Context, name string, document Document) bool {
	member, err := p.member(name)
	if err != nil {
		return false
	}
	reply, err := p.node.Push(ctx, member, document)
	if err != nil {
		p.node.PushFailed(member, err)
		return false
	}
	return !reply.IsMissing
}

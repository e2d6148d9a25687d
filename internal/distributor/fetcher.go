package distributor

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
)

const (
	// maxOffers is the number of members that are remembered as having a newer value.
	maxOffers = 4
	// fetchTurn is how long a member has to answer before another one is asked as well.
	fetchTurn = 200 * time.Millisecond
	// maxFetches is the number of members that are asked at the same time.
	maxFetches = 3
)

// FetchNode is the node of a Fetcher.
type FetchNode interface {
	// Fetch puts the value of a member in force if it is newer.
	Fetch(ctx context.Context, from gossiper.Member) error
	// InForce returns the revision of the value in force, or zero.
	InForce() uint64
}

// Fetcher fetches a newer value from the members that have told of one. Several are asked, one after the other, until the value
// is there: one that has just been cut off must not keep the node from asking those that are not. It is safe for
// concurrent use.
type Fetcher struct {
	node FetchNode

	mu sync.Mutex
	// offers holds the latest members that had a newer value, each once, the newest first.
	offers []offer
	// offered has an entry when there is a new offer.
	offered chan struct{}
}

// offer is a member with the revision that it has in force.
type offer struct {
	from     gossiper.Member
	revision uint64
}

// NewFetcher returns a fetcher that knows of no newer value.
func NewFetcher(node FetchNode) *Fetcher {
	return &Fetcher{node: node, offered: make(chan struct{}, 1)}
}

// Offer tells that a member has a revision in force. It does nothing if that is not newer than what is in force here.
func (f *Fetcher) Offer(from gossiper.Member, revision uint64) {
	if revision <= f.node.InForce() {
		return
	}
	f.mu.Lock()
	f.offers = slices.DeleteFunc(f.offers, func(o offer) bool { return o.from.Name == from.Name })
	f.offers = slices.Insert(f.offers, 0, offer{from, revision})
	f.offers = f.offers[:min(len(f.offers), maxOffers)]
	f.mu.Unlock()
	select {
	case f.offered <- struct{}{}:
	default:
	}
}

// Run fetches newer values until ctx is done, and returns when all requests are over.
func (f *Fetcher) Run(ctx context.Context) {
	var fetches sync.WaitGroup
	defer fetches.Wait()
	running := make(chan struct{}, maxFetches)
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.offered:
		}
		for from, ok := f.take(); ok; from, ok = f.take() {
			select {
			case <-ctx.Done():
				return
			case running <- struct{}{}:
			}
			done := make(chan struct{})
			fetches.Go(func() {
				defer close(done)
				// The request that failed is made again with the next member that has the value.
				_ = f.node.Fetch(ctx, from)
				<-running
			})
			awaitTurn(ctx, done)
		}
	}
}

// awaitTurn waits until a request is over, at most for fetchTurn.
func awaitTurn(ctx context.Context, done <-chan struct{}) {
	timer := time.NewTimer(fetchTurn)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// take removes and returns the latest member that still has a newer value than the one in force.
func (f *Fetcher) take() (gossiper.Member, bool) {
	inForce := f.node.InForce()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.offers = slices.DeleteFunc(f.offers, func(o offer) bool { return o.revision <= inForce })
	if len(f.offers) == 0 {
		return gossiper.Member{}, false
	}
	from := f.offers[0].from
	f.offers = f.offers[1:]
	return from, true
}

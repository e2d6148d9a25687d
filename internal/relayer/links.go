package relayer

import (
	"context"
	"encoding/json"
	"math"
	"sync"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
	"github.com/marigoldrelay/marigoldrelay/internal/claimer"
	"github.com/marigoldrelay/marigoldrelay/internal/executor"
	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
	"github.com/marigoldrelay/marigoldrelay/internal/messenger"
	"github.com/marigoldrelay/marigoldrelay/internal/quarantiner"
)

// Methods between nodes.
const (
	methodClaim    = "claim"
	methodCrash    = "crash"
	methodInnocent = "innocent"
	methodPull     = "pull"
	methodRelease  = "release"
	methodReserve  = "reserve"
	methodSettle   = "settle"
	methodSync     = "sync"
)

const crashTimeout = 200 * time.Millisecond

// links sends the typed messages between nodes.
type links struct {
	messenger *messenger.Messenger
	self      string
	siblings  func(service string) []gossiper.Member
	// tellLoad sends datagrams, of which some may be lost.
	tellLoad func(entries []string, load gossiper.Load)
}

// Pull implements executor.Links.
func (l *links) Pull(ctx context.Context, home gossiper.Member, request executor.PullRequest) (executor.PullReply, error) {
	var reply executor.PullReply
	err := l.messenger.Call(ctx, home.Control, messenger.PurposeBinding, methodPull, request, &reply)
	return reply, err
}

// Reserve implements executor.Links.
func (l *links) Reserve(ctx context.Context, to gossiper.Member, request executor.ReserveRequest) error {
	return l.messenger.Notify(ctx, to.Control, messenger.PurposeBinding, methodReserve, request)
}

// ReportCrash implements executor.Links.
func (l *links) ReportCrash(_ context.Context, crash quarantiner.Crash) {
	l.tellSiblings(crash.Service, methodCrash, crash)
}

// ReportInnocent implements executor.Links.
func (l *links) ReportInnocent(_ context.Context, acquittal quarantiner.Acquittal) {
	l.tellSiblings(acquittal.Service, methodInnocent, acquittal)
}

// TellLoad implements executor.Links.
func (l *links) TellLoad(entries []string, load carrier.Load) {
	l.tellLoad(entries, gossiper.Load{
		Queued: load.Queued, Running: load.Running, Slots: load.Slots, Slowdown: int(100 * load.Slowdown),
		Best: int(math.Round(100 * load.Best)),
	})
}

// LoadSeen implements gossiper.Observer.
func (n *Node) LoadSeen(from gossiper.Member, load gossiper.Load) {
	n.log.Debug("The load of a node changed.", "member", from.Name, "running", load.Running,
		"queued", load.Queued, "slots", load.Slots, "slowdown-percent", load.Slowdown)
	seen := fromGossip(load)
	n.dispatcher.LoadSeen(from.Name, seen)
	n.learnFrom(from.Name, seen)
}

func fromGossip(load gossiper.Load) carrier.Load {
	return carrier.Load{
		Queued: load.Queued, Running: load.Running, Slots: load.Slots, Slowdown: float64(load.Slowdown) / 100,
		Best: float64(load.Best) / 100,
	}
}

// tellSiblings sends a message to the other nodes of a service and waits a short time for them.
func (l *links) tellSiblings(service, method string, params any) {
	ctx, cancel := context.WithTimeout(context.Background(), crashTimeout)
	defer cancel()
	var told sync.WaitGroup
	for _, sibling := range l.siblings(service) {
		if sibling.Name == l.self {
			continue
		}
		told.Go(func() {
			// A sibling that can't be reached now hears of the next crash.
			_ = l.messenger.Call(ctx, sibling.Control, messenger.PurposeMembership, method, params, nil)
		})
	}
	told.Wait()
}

// Claim implements claimer.Links.
func (l *links) Claim(ctx context.Context, to gossiper.Member, claim claimer.Claim) (claimer.Record, error) {
	var record claimer.Record
	err := l.messenger.Call(ctx, to.Control, messenger.PurposeBinding, methodClaim, claim, &record)
	return record, err
}

// Release implements claimer.Links.
func (l *links) Release(ctx context.Context, to gossiper.Member, claim claimer.Claim) error {
	return l.messenger.Call(ctx, to.Control, messenger.PurposeBinding, methodRelease, claim, nil)
}

// Settle implements claimer.Links.
func (l *links) Settle(ctx context.Context, to gossiper.Member, settlement claimer.Settlement) error {
	return l.messenger.Call(ctx, to.Control, messenger.PurposeBinding, methodSettle, settlement, nil)
}

// syncRequest and syncReply compare two views of the members.
type syncRequest struct {
	Digest  gossiper.Digest `json:"digest"`
	Members records         `json:"members,omitempty"`
}

type syncReply struct {
	Digest  gossiper.Digest `json:"digest"`
	Members records         `json:"members,omitempty"`
}

// handle registers a typed handler.
func handle[P, R any](m *messenger.Messenger, method string, f func(ctx context.Context, params P) (R, error)) {
	m.Handle(method, func(ctx context.Context, raw json.RawMessage) (any, error) {
		var params P
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, err
		}
		return f(ctx, params)
	})
}

// empty is the result of a method that returns nothing.
type empty struct{}

func (n *Node) handleMessages() {
	m := n.messenger
	n.register.handle(m)
	handle(m, methodPull, func(_ context.Context, p executor.PullRequest) (executor.PullReply, error) {
		return n.executor.Pull(p), nil
	})
	handle(m, methodReserve, func(_ context.Context, p executor.ReserveRequest) (empty, error) {
		n.executor.Reserve(p)
		return empty{}, nil
	})
	handle(m, methodCrash, func(_ context.Context, p quarantiner.Crash) (empty, error) {
		n.log.Warn("An upstream has crashed elsewhere.", "instance", p.Instance, "service", p.Service, "suspects", len(p.Fingerprints))
		n.quarantiner.Report(p)
		return empty{}, nil
	})
	handle(m, methodInnocent, func(_ context.Context, p quarantiner.Acquittal) (empty, error) {
		n.log.Info("A suspect request ran well.", "fingerprint", p.Fingerprint, "service", p.Service)
		n.quarantiner.Clear(p.Fingerprint)
		return empty{}, nil
	})
	handle(m, methodClaim, func(_ context.Context, p claimer.Claim) (claimer.Record, error) {
		return n.claims.Claim(p), nil
	})
	handle(m, methodRelease, func(_ context.Context, p claimer.Claim) (empty, error) {
		n.claims.Release(p)
		return empty{}, nil
	})
	handle(m, methodSettle, func(_ context.Context, p claimer.Settlement) (empty, error) {
		n.claims.Settle(p)
		return empty{}, nil
	})
	handle(m, methodSync, func(_ context.Context, p syncRequest) (syncReply, error) {
		n.gossiper.Merge(p.Members)
		return syncReply{Digest: n.gossiper.Digest(), Members: n.gossiper.Differing(p.Digest)}, nil
	})
}

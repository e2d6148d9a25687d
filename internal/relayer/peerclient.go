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

// RPC methods between nodes.
const (
	methodClaim   = "claim"    // Claims an idempotency key.
	methodCrash   = "crash"    // Reports the crash of an upstream.
	methodCleared = "innocent" // Reports that a crash suspect ran without a crash.
	methodPull    = "pull"     // Offers a free slot to the home of a reservation.
	methodRelease = "release"  // Gives up the claim of a request that has not run.
	methodReserve = "reserve"  // Asks a sibling for a reservation.
	methodSettle  = "settle"   // Stores the outcome of a claimed request.
	methodSync    = "sync"     // Compares the member lists.
)

const crashReportTimeout = 200 * time.Millisecond

// peerClient sends typed messages to other nodes. It implements executor.Links and claimer.OwnerClient.
type peerClient struct {
	messenger *messenger.Messenger
	// crashHolders returns the other nodes that are told of the crashes of a service.
	crashHolders func(service string) []gossiper.Member
	// sendLoad sends datagrams, some of which may be lost.
	sendLoad func(entries []string, load gossiper.Load)
}

// Pull implements executor.Links.
func (c *peerClient) Pull(ctx context.Context, home gossiper.Member, request executor.PullRequest) (executor.PullReply, error) {
	var reply executor.PullReply
	err := c.messenger.Call(ctx, home.Control, messenger.PurposeBinding, methodPull, request, &reply)
	return reply, err
}

// Reserve implements executor.Links.
func (c *peerClient) Reserve(ctx context.Context, to gossiper.Member, request executor.ReserveRequest) error {
	return c.messenger.Notify(ctx, to.Control, messenger.PurposeBinding, methodReserve, request)
}

// ReportCrash implements executor.Links.
func (c *peerClient) ReportCrash(_ context.Context, crash quarantiner.Crash) {
	c.callCrashHolders(crash.Service, methodCrash, crash)
}

// ReportCleared implements executor.Links.
func (c *peerClient) ReportCleared(_ context.Context, cleared quarantiner.ClearedSuspect) {
	c.callCrashHolders(cleared.Service, methodCleared, cleared)
}

// SendLoad implements executor.Links.
func (c *peerClient) SendLoad(entries []string, load carrier.Load) {
	c.sendLoad(entries, gossiper.Load{
		Queued: load.Queued, Running: load.Running, Slots: load.Slots, SlowdownPercent: int(100 * load.Slowdown),
		BestSlotsPercent: int(math.Round(100 * load.BestSlotFraction)), StartDelayMillis: int(load.StartDelay.Milliseconds()),
	})
}

// LoadSeen implements gossiper.Observer.
func (n *Node) LoadSeen(from gossiper.Member, load gossiper.Load) {
	n.log.Debug("The load of a node changed.", "member", from.Name, "running", load.Running,
		"queued", load.Queued, "slots", load.Slots, "slowdown-percent", load.SlowdownPercent)
	seen := loadFromGossip(load)
	n.router.ObserveLoad(from.Name, seen)
	n.reportSiblingLoad(from.Name, seen)
}

func loadFromGossip(load gossiper.Load) carrier.Load {
	return carrier.Load{
		Queued: load.Queued, Running: load.Running, Slots: load.Slots, Slowdown: float64(load.SlowdownPercent) / 100,
		BestSlotFraction: float64(load.BestSlotsPercent) / 100, StartDelay: time.Duration(load.StartDelayMillis) * time.Millisecond,
	}
}

// callCrashHolders calls a method concurrently on the nodes that are told of the crashes of a service, and waits at most
// crashReportTimeout for the answers.
func (c *peerClient) callCrashHolders(service, method string, params any) {
	ctx, cancel := context.WithTimeout(context.Background(), crashReportTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, holder := range c.crashHolders(service) {
		calls.Go(func() {
			// A node that can't be reached now still gets the next report.
			_ = c.messenger.Call(ctx, holder.Control, messenger.PurposeMembership, method, params, nil)
		})
	}
	calls.Wait()
}

// Claim implements claimer.OwnerClient.
func (c *peerClient) Claim(ctx context.Context, to gossiper.Member, claim claimer.Claim) (claimer.Record, error) {
	var record claimer.Record
	err := c.messenger.Call(ctx, to.Control, messenger.PurposeBinding, methodClaim, claim, &record)
	return record, err
}

// Release implements claimer.OwnerClient.
func (c *peerClient) Release(ctx context.Context, to gossiper.Member, claim claimer.Claim) error {
	return c.messenger.Call(ctx, to.Control, messenger.PurposeBinding, methodRelease, claim, nil)
}

// Settle implements claimer.OwnerClient.
func (c *peerClient) Settle(ctx context.Context, to gossiper.Member, settlement claimer.Settlement) error {
	return c.messenger.Call(ctx, to.Control, messenger.PurposeBinding, methodSettle, settlement, nil)
}

// syncRequest and syncReply are exchanged to compare the member lists of two nodes.
type syncRequest struct {
	Digest  gossiper.Digest `json:"digest"`
	Members memberRecords   `json:"members,omitempty"`
}

type syncReply struct {
	Digest  gossiper.Digest `json:"digest"`
	Members memberRecords   `json:"members,omitempty"`
}

// addHandler registers a handler with typed parameters and result.
func addHandler[P, R any](m *messenger.Messenger, method string, f func(ctx context.Context, params P) (R, error)) {
	m.Handle(method, func(ctx context.Context, raw json.RawMessage) (any, error) {
		var params P
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, err
		}
		return f(ctx, params)
	})
}

// emptyMessage is the parameter or result of a method that has none.
type emptyMessage struct{}

func (n *Node) addMessageHandlers() {
	m := n.messenger
	n.register.addHandlers(m)
	n.quotas.addHandlers(m)
	n.leaves.addHandlers(m)
	addHandler(m, methodPull, func(_ context.Context, p executor.PullRequest) (executor.PullReply, error) {
		return n.executor.Pull(p), nil
	})
	addHandler(m, methodReserve, func(_ context.Context, p executor.ReserveRequest) (emptyMessage, error) {
		n.executor.Reserve(p)
		return emptyMessage{}, nil
	})
	addHandler(m, methodCrash, func(_ context.Context, p quarantiner.Crash) (emptyMessage, error) {
		n.log.Warn("An upstream of another node has crashed.", "process", p.Process, "run", p.Run, "service", p.Service, "suspects", len(p.Fingerprints))
		n.quarantiner.Report(p)
		return emptyMessage{}, nil
	})
	addHandler(m, methodCleared, func(_ context.Context, p quarantiner.ClearedSuspect) (emptyMessage, error) {
		n.log.Info("A suspect request ran without a crash.", "fingerprint", p.Fingerprint, "service", p.Service)
		n.quarantiner.Clear(p.Fingerprint)
		return emptyMessage{}, nil
	})
	addHandler(m, methodClaim, func(_ context.Context, p claimer.Claim) (claimer.Record, error) {
		return n.claimTable.Claim(p), nil
	})
	addHandler(m, methodRelease, func(_ context.Context, p claimer.Claim) (emptyMessage, error) {
		n.claimTable.Release(p)
		return emptyMessage{}, nil
	})
	addHandler(m, methodSettle, func(_ context.Context, p claimer.Settlement) (emptyMessage, error) {
		n.claimTable.Settle(p)
		return emptyMessage{}, nil
	})
	addHandler(m, methodSync, func(_ context.Context, p syncRequest) (syncReply, error) {
		n.gossiper.Merge(p.Members)
		return syncReply{Digest: n.gossiper.Digest(), Members: n.gossiper.DifferingMembers(p.Digest)}, nil
	})
}

package claimer

import (
	"bufio"
	"bytes"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
	"github.com/marigoldrelay/marigoldrelay/internal/dispatcher"
	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
	"github.com/marigoldrelay/marigoldrelay/internal/quarantiner"
	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
	"github.com/marigoldrelay/marigoldrelay/internal/signer"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

const (
	// majority is the number of owners that are a majority of ownersPerKey.
	majority = 2
	// ownersPerKey is the number of nodes that own a key, if there are as many.
	ownersPerKey = 3
	// minPollInterval and maxPollInterval limit the delay, before jitter, after which a key is claimed again.
	minPollInterval = 20 * time.Millisecond
	maxPollInterval = 500 * time.Millisecond
)

// ErrNoMajority provides the detail of a refusal when too few owners of the key could be reached.
var ErrNoMajority = merry.Sentinel("too few owners of the idempotency key can be reached")

// OwnerClient sends messages to the owners of keys.
type OwnerClient interface {
	// Claim sends a claim and returns the owner's record of the key.
	Claim(ctx context.Context, to gossiper.Member, claim Claim) (Record, error)
	// Release gives up a claim whose request has not run.
	Release(ctx context.Context, to gossiper.Member, claim Claim) error
	// Settle sends the outcome of a claimed request.
	Settle(ctx context.Context, to gossiper.Member, settlement Settlement) error
}

// Members provides the nodes that can own keys.
type Members interface {
	// Owners returns the nodes that can own the keys of a service.
	Owners(service string) []gossiper.Member
	// IsRunning reports whether the entry node that made the claim is still the same process.
	IsRunning(claimant string) bool
}

// Interpreter changes the headers of an upstream's answer.
type Interpreter interface {
	// RemoveConditions removes the headers with the upstream's conditions, which hold only while it names them.
	RemoveConditions(header *fasthttp.ResponseHeader)
}

// Claimer claims keys on behalf of one entry node. It is safe for concurrent use.
type Claimer struct {
	clock       timekeeper.Clock
	client      OwnerClient
	interpreter Interpreter
	members     Members
	scopeKey    *signer.Signer
}

// New returns a claimer that reaches the owners through client. scopeKey is the same at all nodes.
func New(clock timekeeper.Clock, client OwnerClient, members Members, i Interpreter, scopeKey *signer.Signer) *Claimer {
	return &Claimer{clock: clock, client: client, members: members, interpreter: i, scopeKey: scopeKey}
}

// ownersOf returns the owners of the key by rendezvous hashing (highest random weight; Thaler and Ravishankar,
// 1998), so that all entry nodes agree on them without communication. They are in the allowed regions, since they keep answers;
// none given allows all.
func (c *Claimer) ownersOf(key Key, allowedRegions []string) []gossiper.Member {
	members := slices.Clone(c.members.Owners(key.Service))
	if len(allowedRegions) > 0 {
		members = slices.DeleteFunc(members, func(m gossiper.Member) bool { return !slices.Contains(allowedRegions, m.Region) })
	}
	weight := func(m gossiper.Member) uint64 {
		return xxhash.Sum64String(strings.Join([]string{m.Name, key.Service, key.Neighbour, key.Scope, key.Key}, "\x00"))
	}
	slices.SortFunc(members, func(a, b gossiper.Member) int {
		switch x, y := weight(a), weight(b); {
		case x > y:
			return -1
		case x < y:
			return 1
		default:
			return strings.Compare(a.Name, b.Name)
		}
	})
	return members[:min(ownersPerKey, len(members))]
}

// Run implements dispatcher.Claims: it calls run when the key is claimed at enough of its owners. If an earlier
// request with the key was answered, it returns that answer in resp. While another claim holds the key it claims
// the key again, with exponential backoff and jitter, until the call's deadline.
func (c *Claimer) Run(ctx context.Context, call *dispatcher.Call, req *fasthttp.Request, resp *fasthttp.Response, run func() *refuser.Refusal) *refuser.Refusal {
	key := Key{Key: call.Key, Neighbour: call.Neighbour, Scope: scopeOf(c.scopeKey, call.Workspace, req), Service: call.Service}
	claim := Claim{
		Claimant:    call.ID,
		Fingerprint: uint64(quarantiner.FingerprintOf(call.Service, req.Header.Method(), req.Header.RequestURI(), req.Body())),
		Key:         key,
	}
	owners := c.ownersOf(key, call.AllowedRegions)
	if len(owners) == 0 {
		return refuseUnclaimed(ErrNoMajority.Error())
	}
	delay := minPollInterval
	for c.clock.Now().Before(call.Deadline) && ctx.Err() == nil {
		records := c.claimAtOwners(ctx, owners, claim)
		record, granted := decideClaim(records, claim)
		switch {
		case granted:
			return c.runClaimed(owners, claim, resp, run)
		case record == nil:
			c.releaseAtOwners(owners, claim)
			return refuseWithoutMajority(records)
		case record.Fingerprint != claim.Fingerprint:
			return refuser.New(refuser.ReasonKeyReused, "the idempotency key was used for another request")
		case record.State == StateAnswered:
			return unpackAnswer(record.Answer, resp)
		case record.State == StateUnknown:
			return refuser.NewPossiblyRun(refuser.ReasonOutcomeUnknown, "an earlier request with this key may have run")
		case !c.members.IsRunning(record.Claimant):
			return refuser.NewPossiblyRun(refuser.ReasonOutcomeUnknown, "the node that ran an earlier request with this key is gone")
		}
		c.releaseAtOwners(owners, claim)
		timekeeper.Sleep(ctx, c.clock, delay+jitter(claim.Claimant, delay))
		delay = min(2*delay, maxPollInterval)
	}
	return &refuser.Refusal{
		Reason: refuser.ReasonDeadline, NotRun: refuser.NotRunUnknown, RetryAfter: time.Second,
		Detail: "an earlier request with this key is still running",
	}
}

// refuseWithoutMajority refuses a request whose claim was not granted although no owner reported another claim.
func refuseWithoutMajority(records []*Record) *refuser.Refusal {
	detail := ErrNoMajority.Error()
	for _, record := range records {
		if record != nil && record.State == StateFull {
			detail = "the owners of the idempotency key have no room for another"
		}
	}
	return refuseUnclaimed(detail)
}

// refuseUnclaimed refuses a request without stating that it has not run: the key was possibly used before, which
// could not be found out.
func refuseUnclaimed(detail string) *refuser.Refusal {
	return &refuser.Refusal{
		Reason: refuser.ReasonNoUpstream, NotRun: refuser.NotRunUnknown, RetryAfter: time.Second, Detail: detail,
	}
}

// claimAtOwners sends the claim to all owners in parallel and waits for all of them. The record of an owner that
// could not be reached is nil.
func (c *Claimer) claimAtOwners(ctx context.Context, owners []gossiper.Member, claim Claim) []*Record {
	type reply struct {
		index  int
		record *Record
	}
	replies := make(chan reply, len(owners))
	for i, owner := range owners {
		go func() {
			record, err := c.client.Claim(ctx, owner, claim)
			if err != nil {
				replies <- reply{index: i}
				return
			}
			replies <- reply{i, &record}
		}()
	}
	records := make([]*Record, len(owners))
	for range owners {
		r := <-replies
		records[r.index] = r.record
	}
	return records
}

// decideClaim reports whether enough owners granted the claim: a majority of owners that can't have lost an
// earlier claim, or all owners. Otherwise it returns the record of another claim, the one whose state takes
// precedence, or nil if there is none.
func decideClaim(records []*Record, claim Claim) (*Record, bool) {
	granted, reliable := 0, 0
	var other *Record
	for _, record := range records {
		switch {
		case record == nil || record.State == StateFull:
		case record.Claimant == claim.Claimant && record.State == StateClaimed:
			granted++
			if !record.RecentlyStarted {
				reliable++
			}
		case other == nil || statePrecedence(record.State) > statePrecedence(other.State):
			other = record
		}
	}
	// Another claim known to any owner prevents the grant, however many owners granted this one. Of two
	// concurrent claims both are released and made again.
	if other != nil {
		return other, false
	}
	return nil, granted == len(records) || (len(records) == ownersPerKey && reliable >= majority)
}

// statePrecedence ranks the states for decideClaim: answered, then unknown, then all others.
func statePrecedence(state State) int {
	switch state {
	case StateAnswered:
		return 2
	case StateUnknown:
		return 1
	default:
		return 0
	}
}

// runClaimed runs the request and reports its outcome to the owners. An answer of more than maxAnswerBytes is not
// kept: the key is settled as StateUnknown.
func (c *Claimer) runClaimed(owners []gossiper.Member, claim Claim, resp *fasthttp.Response, run func() *refuser.Refusal) *refuser.Refusal {
	refusal := run()
	if refusal != nil && refusal.IsNotRun() {
		c.releaseAtOwners(owners, claim)
		return refusal
	}
	settlement := Settlement{Claim: claim, State: StateUnknown}
	if refusal == nil {
		if encoded := c.encodeAnswer(resp); len(encoded) <= maxAnswerBytes {
			settlement.State = StateAnswered
			settlement.Answer = encoded
		}
	}
	c.forEachOwner(owners, func(ctx context.Context, owner gossiper.Member) {
		// An owner that does not receive the settlement keeps the claim, so that the request is not run again.
		_ = c.client.Settle(ctx, owner, settlement)
	})
	return refusal
}

// encodeAnswer returns the answer as it is kept: without what it says of the upstream's present state.
func (c *Claimer) encodeAnswer(resp *fasthttp.Response) []byte {
	kept := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(kept)
	resp.CopyTo(kept)
	c.interpreter.RemoveConditions(&kept.Header)
	return carrier.EncodeResponse(kept)
}

// releaseAtOwners gives up the claim at all owners. An owner that can't be reached keeps the claim.
func (c *Claimer) releaseAtOwners(owners []gossiper.Member, claim Claim) {
	c.forEachOwner(owners, func(ctx context.Context, owner gossiper.Member) {
		_ = c.client.Release(ctx, owner, claim)
	})
}

// forEachOwner calls f for all owners in parallel and waits. It does not use the caller's context, because the
// owners must receive the outcome even if the caller has disconnected.
func (c *Claimer) forEachOwner(owners []gossiper.Member, f func(ctx context.Context, owner gossiper.Member)) {
	done := make(chan struct{}, len(owners))
	for _, owner := range owners {
		go func() {
			f(context.Background(), owner)
			done <- struct{}{}
		}()
	}
	for range owners {
		<-done
	}
}

// jitter returns a delay below bound that depends on the claimant, so that two claimants that blocked each other
// do not claim the key again at the same time.
func jitter(claimant string, bound time.Duration) time.Duration {
	return time.Duration(xxhash.Sum64String(claimant) % uint64(bound))
}

// unpackAnswer decodes a kept answer into resp.
func unpackAnswer(answer []byte, resp *fasthttp.Response) *refuser.Refusal {
	resp.Reset()
	if err := resp.Read(bufio.NewReader(bytes.NewReader(answer))); err != nil {
		return refuser.NewPossiblyRun(refuser.ReasonOutcomeUnknown, "the kept answer can't be read")
	}
	return nil
}

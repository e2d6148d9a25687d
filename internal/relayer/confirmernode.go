package relayer

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/authenticator"
	"github.com/marigoldrelay/marigoldrelay/internal/confirmer"
	"github.com/marigoldrelay/marigoldrelay/internal/messenger"
	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
	"github.com/marigoldrelay/marigoldrelay/internal/settingsreader"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
	"github.com/marigoldrelay/marigoldrelay/internal/validator"
)

const (
	// requeryPause is the time between two queries of a read: a change that is just being made splits the replicas.
	requeryPause = 100 * time.Millisecond
	// readRoundInterval is the least time between two rounds of reads, since each one is a write on every replica.
	readRoundInterval = 2 * time.Second
)

// confirmerNode implements confirmer.Node.
type confirmerNode struct {
	*register
}

// buildConfirmer builds the confirmer and the authenticator, which depends on it.
func (n *Node) buildConfirmer() {
	for _, result := range confirmer.Results() {
		n.meter.EventCount(confirmationEvent(result))
	}
	random := newRandom()
	n.confirmer = confirmer.New(confirmer.Config{
		Clock:    n.clock,
		Node:     confirmerNode{n.register},
		OnResult: n.confirmationEnded,
		OnChange: n.confirmationChanged,
		Random:   random.Float64,
		Uptime:   n.uptime,
	})
	n.authenticator = authenticator.New(n.confirmer, []byte(settingsreader.NewSecret()))
}

func confirmationEvent(result confirmer.Result) string {
	return "confirmations_" + string(result)
}

// confirmationAgeSeconds returns the age of the confirmation in seconds, or -1 if there was none.
func (n *Node) confirmationAgeSeconds() float64 {
	age := n.confirmer.Age()
	if age == confirmer.Never {
		return -1
	}
	return age.Seconds()
}

// confirmationEnded counts the result of a round of questions.
func (n *Node) confirmationEnded(result confirmer.Result, err error) {
	n.meter.Event(confirmationEvent(result))
	if err != nil {
		n.events.write(false, "The document could not be confirmed.", "result", result, "error", err)
	}
}

// confirmationChanged logs that the node can't know any more whether its document is the newest, or knows it again.
func (n *Node) confirmationChanged(isConfirmed bool, age time.Duration) {
	if isConfirmed {
		n.log.Info("The document is confirmed to be the newest.", "revision", n.revision())
		return
	}
	n.meter.Event("confirmations_expired")
	n.log.Warn("The document is not confirmed any more: requests with a key are refused.", "revision", n.revision(), "age", age)
}

// Need implements confirmer.Node. A document that is not from the register can't be confirmed.
func (c confirmerNode) Need() confirmer.Need {
	current := c.node.active.Load()
	if current == nil || current.document == nil || current.value == nil {
		return confirmer.Need{}
	}
	document := current.document
	revocation := document.Credentials.RevocationTime.Std()
	hasQuota := func(w validator.Workspace) bool { return w.HasQuota() }
	if revocation == 0 && !slices.ContainsFunc(document.Workspaces, hasQuota) {
		return confirmer.Need{}
	}
	return confirmer.Need{Interval: confirmer.Interval(revocation), Lifetime: confirmer.Lifetime(revocation)}
}

// InForce implements confirmer.Node. It waits until the document that is being put in force decides on requests.
func (c confirmerNode) InForce() uint64 {
	c.node.activateMu.Lock()
	defer c.node.activateMu.Unlock()
	return c.node.revision()
}

// Replicas implements confirmer.Node.
func (c confirmerNode) Replicas() []string {
	value := c.Local()
	if value == nil {
		return nil
	}
	return c.node.replicasByDistance(value)
}

// Ask implements confirmer.Node.
func (c confirmerNode) Ask(ctx context.Context, replica string) (confirmer.Answer, error) {
	if replica == c.node.settings.Name && c.acceptor != nil {
		return c.answerer.Answer(ctx)
	}
	var answer confirmer.Answer
	m, ok := c.node.gossiper.Member(replica)
	if !ok {
		return answer, fmt.Errorf("%w: %s is no member", messenger.ErrUnreachable, replica)
	}
	return answer, c.node.messenger.CallIdempotent(ctx, m.Control, messenger.PurposeConfirmation, methodConfirm, emptyMessage{}, &answer)
}

// Fetch implements confirmer.Node.
func (c confirmerNode) Fetch(ctx context.Context, replica string) error {
	m, ok := c.node.gossiper.Member(replica)
	if !ok {
		return fmt.Errorf("%w: %s is no member", messenger.ErrUnreachable, replica)
	}
	return c.register.Fetch(ctx, m)
}

// readRevision reads the newest value from a majority of the replicas, puts it in force and returns its revision.
func (r *register) readRevision(ctx context.Context) (uint64, error) {
	value, err := r.queryTwice(ctx)
	if err != nil {
		if !r.beginReadRound() {
			return 0, err
		}
		if value, err = r.Read(ctx); err != nil {
			return 0, err
		}
	}
	return value.Revision, r.adopt(value)
}

// queryTwice asks the replicas once more if they don't agree at first.
func (r *register) queryTwice(ctx context.Context) (*replicator.Value, error) {
	value, err := r.proposer.Query(ctx)
	if err == nil {
		return value, nil
	}
	timekeeper.Sleep(ctx, r.node.clock, requeryPause)
	return r.proposer.Query(ctx)
}

// beginReadRound reports whether a read may run a round now.
func (r *register) beginReadRound() bool {
	now := r.node.clock.Now()
	next := r.nextReadRound.Load()
	return now.UnixNano() >= next && r.nextReadRound.CompareAndSwap(next, now.Add(readRoundInterval).UnixNano())
}

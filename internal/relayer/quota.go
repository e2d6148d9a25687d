package relayer

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
	"github.com/marigoldrelay/marigoldrelay/internal/messenger"
	"github.com/marigoldrelay/marigoldrelay/internal/meter"
	"github.com/marigoldrelay/marigoldrelay/internal/quotagranter"
	"github.com/marigoldrelay/marigoldrelay/internal/quotakeeper"
	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
	"github.com/marigoldrelay/marigoldrelay/internal/validator"
)

// methodGrant asks a replica for tokens of a workspace's quota.
const methodGrant = "grant"

// grantTimeout limits a question to a granter. The tokens of a later answer have expired.
const grantTimeout = 500 * time.Millisecond

// quotas connects the granter and the keeper of workspaces' quotas to the node.
type quotas struct {
	node    *Node
	granter *quotagranter.Granter
	keeper  *quotakeeper.Keeper

	mu sync.Mutex
	// document is the one that limits was made from.
	document *validator.Document
	limits   *quotagranter.Limits
	// value is the register's value that is applied.
	value *replicator.Value
	// record is nil until a document with quotas is in force, on a node without a data folder, and if the record can't be used.
	// Only recordReplicas writes it.
	record *quotagranter.Record
	// isRecordOpened is true once record has been opened, or could not be.
	isRecordOpened bool
	// recordFailed is true if the last write of the record has failed. Only recordReplicas uses it.
	recordFailed bool
}

func newQuotas(n *Node) *quotas {
	q := &quotas{node: n, granter: quotagranter.New(n.confirmer)}
	q.keeper = quotakeeper.New(quotakeeper.Config{
		Clock: n.clock, Counter: quotaCounter{n.meter}, Granters: q, Observer: q, Uptime: n.uptime,
	})
	return q
}

// addHandlers registers the handler of questions for tokens.
func (q *quotas) addHandlers(m *messenger.Messenger) {
	addHandler(m, methodGrant, func(_ context.Context, p quotagranter.Question) (quotagranter.Reply, error) {
		return q.granter.Grant(q.node.uptime(), p), nil
	})
}

// Ask implements quotakeeper.Granters.
func (q *quotas) Ask(ctx context.Context, granter string, question quotagranter.Question) (quotagranter.Reply, error) {
	if granter == q.node.settings.Name {
		return q.granter.Grant(q.node.uptime(), question), nil
	}
	m, ok := q.node.gossiper.Member(granter)
	if !ok {
		return quotagranter.Reply{}, fmt.Errorf("%w: %s is no member", messenger.ErrUnreachable, granter)
	}
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	var reply quotagranter.Reply
	err := q.node.messenger.Call(ctx, m.Control, messenger.PurposeQuota, methodGrant, question, &reply)
	return reply, err
}

// GrantersLost implements quotakeeper.Observer.
func (q *quotas) GrantersLost(workspace string) {
	q.node.meter.Event("quota_granters_lost")
	q.node.log.Warn("No node that keeps the quotas answers; requests of limited workspaces are refused.", "workspace", workspace)
}

// GrantersFound implements quotakeeper.Observer.
func (q *quotas) GrantersFound(after time.Duration) {
	q.node.log.Info("A node that keeps the quotas answers again.", "after", after)
}

// configure applies the document and the value of the register that are in force. It is called before the value is confirmed.
func (q *quotas) configure() {
	current := q.node.active.Load()
	if current == nil || current.document == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if current.document != q.document {
		q.document, q.limits = current.document, quotagranter.NewLimits(current.document)
	}
	if !q.limits.IsEmpty() && !q.isRecordOpened {
		q.isRecordOpened = true
		q.openRecord()
	}
	q.value = current.value
	config := quotagranter.Config{Limits: q.limits}
	if value := current.value; value == nil || len(value.Replicas) == 0 {
		config.Standalone = !q.node.expectsRegister()
	} else {
		config.Replicas = max(len(value.Replicas), len(value.Previous))
		config.ReplicasRevision = value.ReplicasRevision
		config.IsReplica = q.isReplica(value)
	}
	q.granter.Configure(q.node.uptime(), config)
	q.keeper.Configure(q.limits, q.order())
}

// isReplica reports whether this node with its present disk is a replica of the register.
func (q *quotas) isReplica(value *replicator.Value) bool {
	self := replicator.Replica{DiskID: q.node.register.diskID(), VM: q.node.settings.Name}
	return slices.Contains(value.Replicas, self)
}

// membersChanged adapts the order of the granters to a change of a member. While the node has no value of the register, the
// change can also show that there is one.
func (q *quotas) membersChanged(m gossiper.Member) {
	q.mu.Lock()
	value := q.value
	limited := q.limits != nil && !q.limits.IsEmpty()
	q.mu.Unlock()
	switch {
	case !limited:
	case value == nil:
		q.configure()
	case slices.ContainsFunc(value.Replicas, func(r replicator.Replica) bool { return r.VM == m.Name }):
		q.mu.Lock()
		defer q.mu.Unlock()
		q.keeper.SetGranters(q.order())
	}
}

// order returns the granters in the order in which this node asks them. It is called with mu held.
func (q *quotas) order() []string {
	if q.value == nil || len(q.value.Replicas) == 0 {
		return []string{q.node.settings.Name}
	}
	return q.node.replicasByDistance(q.value)
}

// quotaCounter counts in the node's metrics. It implements quotakeeper.Counter.
type quotaCounter struct {
	meter *meter.Meter
}

// AddTokens implements quotakeeper.Counter.
func (c quotaCounter) AddTokens(kind quotakeeper.TokenKind, count int) {
	c.meter.AddQuotaTokens(string(kind), count)
}

// CountQuestion implements quotakeeper.Counter.
func (c quotaCounter) CountQuestion(result string) {
	c.meter.CountQuotaQuestion(result)
}

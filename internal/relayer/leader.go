package relayer

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
	"github.com/marigoldrelay/marigoldrelay/internal/messenger"
	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
)

const (
	// forwardTime is how long the leader may take before the node makes the round itself.
	forwardTime = 400 * time.Millisecond
	// passOverTime is for how long a leader that has not answered is passed over.
	passOverTime = 2 * time.Second
)

// leader returns the replica that makes the rounds while it is well: the first by name that is alive.
// It only keeps rounds from outbidding each other. Any node can make one, and nodes may disagree on
// who leads.
func (r *register) leader() (gossiper.Member, bool) {
	local := r.Local()
	if local == nil {
		return gossiper.Member{}, false
	}
	var live []gossiper.Member
	for _, replica := range local.Replicas {
		m, ok := r.node.gossiper.Member(replica.VM)
		if ok && m.Status == gossiper.StatusAlive && m.DiskID == replica.DiskID && !r.isPassedOver(m.Name) {
			live = append(live, m)
		}
	}
	if len(live) == 0 {
		return gossiper.Member{}, false
	}
	return slices.MinFunc(live, func(a, b gossiper.Member) int { return strings.Compare(a.Name, b.Name) }), true
}

func (r *register) isPassedOver(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.node.clock.Now().Before(r.passedOver[name])
}

func (r *register) passOver(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.passedOver == nil {
		r.passedOver = make(map[string]time.Time)
	}
	r.passedOver[name] = r.node.clock.Now().Add(passOverTime)
}

// changeReply is the leader's answer to a change. Conflict and IsBelow tell why it is refused.
type changeReply struct {
	Conflict *replicator.ConflictError `json:"conflict,omitempty"`
	// Document is what is in force after the change: the leader may die before it has pushed it.
	Document *pulled `json:"document,omitempty"`
	IsBelow  bool    `json:"is-below,omitempty"`
	Version  uint64  `json:"version,omitempty"`
}

// replyOf returns the answer for the outcome of a change. An outcome that is not known stays an error.
func replyOf(version uint64, err error) (changeReply, error) {
	var conflict *replicator.ConflictError
	switch {
	case err == nil:
		return changeReply{Version: version}, nil
	case errors.As(err, &conflict):
		return changeReply{Conflict: conflict}, nil
	case errors.Is(err, replicator.ErrVersion):
		return changeReply{IsBelow: true}, nil
	default:
		return changeReply{}, wireError(err)
	}
}

// forward has the leader make the change. It reports false where the node has to do it itself, because
// it leads or the leader has not answered. Making it twice is harmless: the change has an id.
func (r *register) forward(ctx context.Context, change *replicator.Change) (reply changeReply, ok bool) {
	leader, found := r.leader()
	if !found || leader.Name == r.node.settings.Name {
		return changeReply{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTime)
	defer cancel()
	if err := r.node.messenger.Call(ctx, leader.Control, messenger.PurposeConfiguration, methodChange, change, &reply); err != nil {
		r.node.log.Warn("The leader has not made a change.", "leader", leader.Name, "id", change.ID, "error", err)
		r.passOver(leader.Name)
		return changeReply{}, false
	}
	if reply.Document != nil {
		if err := r.node.take(reply.Document); err != nil {
			r.node.log.Error("The document that the leader has made can't be followed.", "error", err)
		}
	}
	return reply, true
}

// outcome returns what the reply stands for.
func (c changeReply) outcome() (version uint64, err error) {
	switch {
	case c.Conflict != nil:
		return 0, c.Conflict
	case c.IsBelow:
		return 0, replicator.ErrVersion
	default:
		return c.Version, nil
	}
}

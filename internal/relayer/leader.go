package relayer

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/distributor"
	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
	"github.com/marigoldrelay/marigoldrelay/internal/maintainer"
	"github.com/marigoldrelay/marigoldrelay/internal/messenger"
	"github.com/marigoldrelay/marigoldrelay/internal/patcher"
	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
)

const (
	// forwardTimeout is how long the leader has to answer before the node runs the round itself.
	forwardTimeout = 400 * time.Millisecond
	// leaderSkipTime is how long a leader that did not answer is skipped.
	leaderSkipTime = 2 * time.Second
)

// leader returns the replica that normally runs the rounds: the first by name of those that are alive. It only keeps
// concurrent rounds from preempting each other. Any node can run a round, and nodes may disagree on the leader.
func (r *register) leader() (gossiper.Member, bool) {
	local := r.Local()
	if local == nil {
		return gossiper.Member{}, false
	}
	contacts := r.node.gossiper.Contacts()
	var live []gossiper.Member
	for _, replica := range local.Replicas {
		m, ok := r.node.gossiper.Member(replica.VM)
		if ok && !maintainer.IsSilent(contacts, m.Name) && m.Status == gossiper.StatusAlive && m.DiskID == replica.DiskID && !r.isSkipped(m.Name) {
			live = append(live, m)
		}
	}
	if len(live) == 0 {
		return gossiper.Member{}, false
	}
	return slices.MinFunc(live, func(a, b gossiper.Member) int { return strings.Compare(a.Name, b.Name) }), true
}

func (r *register) isSkipped(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.node.clock.Now().Before(r.skippedUntil[name])
}

func (r *register) skipLeader(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.skippedUntil == nil {
		r.skippedUntil = make(map[string]time.Time)
	}
	r.skippedUntil[name] = r.node.clock.Now().Add(leaderSkipTime)
}

// changeRequest asks the leader to make a change.
type changeRequest struct {
	replicator.Change
	// InForce is the revision that the sender has in force.
	InForce uint64 `json:"in-force,omitempty"`
}

// patchedChangeRequest asks the leader to make a change whose text is a patch.
type patchedChangeRequest struct {
	// Change has no text.
	replicator.Change
	// TextPatch leads to the text from that of FromVersion.
	replicator.TextPatch
	FromVersion uint64 `json:"from-version"`
	// InForce is the revision that the sender has in force.
	InForce uint64 `json:"in-force,omitempty"`
}

// newPatchedChange returns the request for a change as a patch on the text of a value, or nil if one of the texts is short.
func newPatchedChange(change *replicator.Change, local *replicator.Value) *patchedChangeRequest {
	if local == nil || min(len(local.Text), len(change.Text)) < replicator.MinPatchedBytes {
		return nil
	}
	request := &patchedChangeRequest{
		Change: *change, TextPatch: replicator.NewTextPatch(patcher.Sign(local.Text), change.Text), FromVersion: local.Version,
		InForce: local.Revision,
	}
	request.Text = ""
	return request
}

// whole returns the change with its text, made from that of a version in the value. The error wraps replicator.ErrOtherBase if the value
// doesn't have it.
func (p *patchedChangeRequest) whole(local *replicator.Value) (*replicator.Change, error) {
	from, err := local.TextOf(p.FromVersion)
	if err != nil {
		return nil, err
	}
	text, err := p.ApplyTo(from)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", replicator.ErrOtherBase, err)
	}
	change := p.Change
	change.Text = text
	return &change, nil
}

// changeReply is the leader's answer to a change. If the change was refused, Conflict or VersionTooLow is set.
type changeReply struct {
	Conflict *replicator.ConflictError `json:"conflict,omitempty"`
	// Document is the one in force after the change. The reply contains it because the leader may die before it has
	// pushed it.
	Document *distributor.Document `json:"document,omitempty"`
	// VersionTooLow is true if the requested version is not above the current one.
	VersionTooLow bool   `json:"is-below,omitempty"`
	Version       uint64 `json:"version,omitempty"`
}

// newChangeReply returns the reply for the outcome of a change. An unknown outcome stays an error.
func newChangeReply(version uint64, err error) (changeReply, error) {
	var conflict *replicator.ConflictError
	switch {
	case err == nil:
		return changeReply{Version: version}, nil
	case errors.As(err, &conflict):
		return changeReply{Conflict: conflict}, nil
	case errors.Is(err, replicator.ErrVersion):
		return changeReply{VersionTooLow: true}, nil
	default:
		return changeReply{}, rpcError(err)
	}
}

// forward sends the change to the leader. It returns false if the node has to make the change itself, because it is
// the leader, no leader is known, or the leader did not answer. Making a change twice is harmless, since the change
// has an ID.
func (r *register) forward(ctx context.Context, change *replicator.Change) (reply changeReply, ok bool) {
	leader, found := r.leader()
	if !found || leader.Name == r.node.settings.Name {
		return changeReply{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	if err := r.passOnChange(ctx, &leader, change, &reply); err != nil {
		r.node.log.Warn("The leader has not made a change.", "leader", leader.Name, "id", change.ID, "error", err)
		r.skipLeader(leader.Name)
		return changeReply{}, false
	}
	if reply.Document != nil {
		if err := r.node.activatePacked(reply.Document, sourceLeader); err != nil {
			r.node.log.Error("The document from the leader could not be activated.", "error", err)
		}
	}
	return reply, true
}

// passOnChange sends the leader a change: as a patch, or whole if the leader needs that.
func (r *register) passOnChange(ctx context.Context, leader *gossiper.Member, change *replicator.Change, reply *changeReply) error {
	call := func(method string, request any) error {
		return r.node.messenger.Call(ctx, leader.Control, messenger.PurposeConfiguration, method, request, reply)
	}
	if patched := newPatchedChange(change, r.Local()); patched != nil {
		err := call(methodPatchedChange, patched)
		if !needsWhole(err) {
			return err
		}
		r.node.meter.Event("patched_changes_refused")
		r.node.log.Info("The leader needs the whole change.", "leader", leader.Name, "id", change.ID, "error", err)
	}
	return call(methodChange, changeRequest{Change: *change, InForce: r.node.revision()})
}

// changeForOther makes a change for another node, which has the revision in force.
func (r *register) changeForOther(ctx context.Context, change *replicator.Change, inForce uint64) (changeReply, error) {
	version, err := r.applyChange(ctx, change)
	reply, err := newChangeReply(version, err)
	if err == nil && r.Local() != nil {
		document := r.history.Document(inForce)
		reply.Document = &document
	}
	return reply, err
}

// addChangeHandlers adds the handlers of changes that other nodes pass on.
func (r *register) addChangeHandlers(m *messenger.Messenger) {
	addHandler(m, methodChange, func(ctx context.Context, p changeRequest) (changeReply, error) {
		return r.changeForOther(ctx, &p.Change, p.InForce)
	})
	addHandler(m, methodPatchedChange, func(ctx context.Context, p patchedChangeRequest) (changeReply, error) {
		change, err := p.whole(r.Local())
		if err != nil {
			return changeReply{}, rpcError(err)
		}
		return r.changeForOther(ctx, change, p.InForce)
	})
}

// outcome returns the version or the error that the reply stands for.
func (c changeReply) outcome() (version uint64, err error) {
	switch {
	case c.Conflict != nil:
		return 0, c.Conflict
	case c.VersionTooLow:
		return 0, replicator.ErrVersion
	default:
		return c.Version, nil
	}
}

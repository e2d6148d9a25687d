package quotagranter

import (
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/validator"
)

// The precision of quotas where the document sets no window.
const (
	DefaultWindow  = 5 * time.Second
	DefaultOverage = 0.1
	DefaultSlack   = 20
)

const (
	// minLease leaves an entry node time to use a token although the document allows no overage.
	minLease = 50 * time.Millisecond
	// maxLease bounds how long a token that was granted under an older document or set of replicas can be used.
	maxLease = 500 * time.Millisecond
	// slackShare is the fraction of the slack that the buckets hold. The rest is for the bursts of granters that are restarted.
	slackShare = 0.8
)

// Limit is the quota of one workspace over all nodes.
type Limit struct {
	// Burst is the number of requests that can be made at once.
	Burst float64
	// Rate is in requests per second.
	Rate float64
}

// Limits holds the quotas of a document. It does not change after NewLimits.
type Limits struct {
	byWorkspace map[string]Limit
	lease       time.Duration
	overage     float64
	slack       float64
	window      time.Duration
}

// NewLimits returns the quotas of the document.
func NewLimits(document *validator.Document) *Limits {
	window, overage, slack := document.Quotas.Window.Std(), document.Quotas.Overage, document.Quotas.Slack
	if window == 0 {
		window, overage, slack = DefaultWindow, DefaultOverage, DefaultSlack
	}
	l := &Limits{
		byWorkspace: make(map[string]Limit),
		lease:       min(maxLease, max(minLease, time.Duration(overage*float64(window)))),
		overage:     overage,
		slack:       slack,
		window:      window,
	}
	for i := range document.Workspaces {
		if w := &document.Workspaces[i]; w.HasQuota() {
			l.byWorkspace[w.Name] = Limit{Burst: w.Burst, Rate: w.RatePerSecond}
		}
	}
	return l
}

// Of returns the quota of the workspace. It reports false if the workspace has none.
func (l *Limits) Of(workspace string) (Limit, bool) {
	limit, ok := l.byWorkspace[workspace]
	return limit, ok
}

// IsEmpty reports whether no workspace has a quota.
func (l *Limits) IsEmpty() bool {
	return len(l.byWorkspace) == 0
}

// Lease returns how long after the question a token can be used: the time for which the whole rate makes up the overage of
// one window.
func (l *Limits) Lease() time.Duration {
	return l.lease
}

// perGranter returns the share of one of n granters of a workspace. A quota counts in windows: rate x window + burst in each, so that
// the bucket is refilled with the burst once in a window. A granter can grant at least one token, or it could grant none at all.
//
// Tokens that are used in a window were granted in it or one lease before, so that the windows' limit on the tokens of all granters is
// the bound of the quota less the part of the slack that is kept. With R = rate + burst / window, a bucket that was full gives at most
// burst + slack share + R x (window + lease) in that time, which is the limit and one burst. A granter that begins with the burst as a
// debt, less the slack that is kept, and the one before it are therefore together within the bound.
func (l *Limits) perGranter(limit Limit, n int) quotaShare {
	granters, slack := float64(n), slackShare*l.slack
	bound := (limit.Rate*l.window.Seconds()+limit.Burst)*(1+l.overage) + slack
	return quotaShare{
		capacity: max(1, (limit.Burst+slack)/granters),
		debt:     max(0, limit.Burst-(1-slackShare)*l.slack) / granters,
		most:     max(1, int(bound/granters+rounding)),
		rate:     (limit.Rate + limit.Burst/l.window.Seconds()) / granters,
		span:     l.span(),
	}
}

// span returns the time in which the tokens are granted that can be used in one window.
func (l *Limits) span() time.Duration {
	return l.window + l.lease
}

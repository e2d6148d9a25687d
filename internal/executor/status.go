package executor

import (
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

// Status is a snapshot of the executor for the administration interface: the upstream's announcement, its
// smoothed failure rate from 0 to 1, the number of requests that it gets at once, its load and its rate limit.
type Status struct {
	Announcement announcer.Announcement `json:"upstream"`
	FailureRate  float64                `json:"failure-rate"`
	Limit        int                    `json:"limit"`
	Load         carrier.Load           `json:"load"`
	// RateLimit is the rate limit that the upstream has named, in requests per second; zero if there is none.
	RateLimit float64 `json:"rate-limit,omitempty"`
	// RateLimitUse is the fraction of what the upstream was promised that the present window uses; zero without a limit.
	RateLimitUse float64 `json:"rate-limit-use,omitempty"`
	// ColdRate is the number of requests per second that the upstream gets because it is cold; zero if it is not.
	ColdRate float64 `json:"cold-rate,omitempty"`
	// Evacuated is true while the node gives its upstream no requests because its data centre is evacuated.
	Evacuated bool `json:"evacuated,omitempty"`
	// Leaving is true if the upstream has named itself leaving.
	Leaving bool `json:"leaving,omitempty"`
}

// Status returns a snapshot of the executor.
func (e *Executor) Status() Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Status{
		Announcement: e.announcement, FailureRate: e.limit.FailureRate(), Limit: e.limit.Limit(), Load: e.currentLoad(),
		RateLimit: e.schedule.RateLimit(), RateLimitUse: e.schedule.RateLimitUse(e.Clock.Now()), Leaving: e.conditions.leaving,
		ColdRate: e.schedule.ColdRate(), Evacuated: e.evacuated,
	}
}

// AccountStatus is the slot-time that the requests of one rank and neighbour have used at the upstream.
type AccountStatus struct {
	Neighbour string        `json:"neighbour"`
	Rank      string        `json:"rank"`
	SlotTime  time.Duration `json:"taken"`
}

// Accounts returns the slot-time used by each rank and neighbour. The rank's name is empty where the
// document does not have the rank.
func (e *Executor) Accounts() []AccountStatus {
	document := e.document.Load()
	e.mu.Lock()
	defer e.mu.Unlock()
	var accounts []AccountStatus
	for _, account := range e.schedule.Accounts() {
		status := AccountStatus{Neighbour: account.Class.Neighbour, SlotTime: account.SlotTime}
		if document != nil && account.Class.Rank < len(document.Ranks) {
			status.Rank = document.Ranks[account.Class.Rank].Name
		}
		accounts = append(accounts, status)
	}
	return accounts
}

func (e *Executor) currentLoad() carrier.Load {
	return carrier.Load{
		BestSlotFraction: e.limit.BestFraction(),
		Latency:          e.limit.Latency(),
		Queued:           e.schedule.Queued(),
		Running:          e.schedule.Running(),
		Slots:            e.schedule.Slots(),
		Slowdown:         e.load.slowdown,
		StartDelay:       e.schedule.ReportedDelay(e.Clock.Now()),
	}
}

// UpstreamSnapshot is the state of the upstream, as known to the executor, when an attempt ended.
type UpstreamSnapshot struct {
	Instance string
	// LoadAge is the age of the upstream's last load report.
	LoadAge  time.Duration
	Queued   int
	Running  int
	Slowdown float64
	// Elapsed is the time since the attempt arrived.
	Elapsed time.Duration
}

func (e *Executor) notifyAttemptEnd(x *Execution, outcome *carrier.Outcome, started time.Time) {
	if e.OnAttemptEnd == nil {
		return
	}
	now := e.Clock.Now()
	e.mu.Lock()
	snapshot := UpstreamSnapshot{
		Instance: e.announcement.Instance, LoadAge: now.Sub(e.load.receivedAt), Queued: e.schedule.Queued(),
		Running: e.schedule.Running(), Slowdown: e.load.slowdown, Elapsed: now.Sub(started),
	}
	e.mu.Unlock()
	e.OnAttemptEnd(x, outcome, snapshot)
}

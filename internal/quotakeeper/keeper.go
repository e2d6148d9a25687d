package quotakeeper

import (
	"context"
	"sync"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/quotagranter"
	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

// SweepInterval is the interval at which the owner of a Keeper calls Sweep.
const SweepInterval = time.Second

// Granters sends questions to granters.
type Granters interface {
	// Ask returns the answer of a granter. An error means that there will be none. It is called in a goroutine of its own.
	Ask(ctx context.Context, granter string, question quotagranter.Question) (quotagranter.Reply, error)
}

// Observer is told when no granter can be reached, and when that ends.
type Observer interface {
	GrantersLost(workspace string)
	GrantersFound(after time.Duration)
}

// Config holds the dependencies of a Keeper.
type Config struct {
	Clock    timekeeper.Clock
	Counter  Counter
	Granters Granters
	Observer Observer
	// Uptime returns the time by a clock that counts suspension.
	Uptime func() time.Duration
}

// Keeper takes tokens for the requests of this entry node. It is safe for concurrent use.
type Keeper struct {
	Config

	mu   sync.Mutex
	book *Book
	// lostAt is when it was found that no granter can be reached; zero if one can.
	lostAt time.Duration
	timer  timekeeper.Timer
	// wakeAt is when the timer calls wake; zero if it does not.
	wakeAt time.Duration
}

// New returns a keeper that has no limits until Configure is called.
func New(config Config) *Keeper {
	return &Keeper{Config: config, book: NewBook(config.Counter)}
}

// Configure puts new limits in force, and granters in the order in which they are to be asked.
func (k *Keeper) Configure(limits *quotagranter.Limits, granters []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.book.Configure(limits, granters)
}

// SetGranters replaces the granters, in the order in which they are to be asked.
func (k *Keeper) SetGranters(granters []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.book.SetGranters(granters)
}

// Take takes a token for a request of the workspace. It waits for granters' answers for at most the given time, and returns a refusal
// if there is no token. Requests of a workspace without a quota need none: the token is then the zero Token.
func (k *Keeper) Take(ctx context.Context, workspace string, limit time.Duration) (Token, *refuser.Refusal) {
	k.mu.Lock()
	if !k.book.Limited(workspace) {
		k.mu.Unlock()
		return Token{}, nil
	}
	ticket := k.book.Request(k.Uptime(), workspace, limit)
	k.flush()
	k.mu.Unlock()
	select {
	case decision := <-ticket.Decided:
		k.observe(workspace, decision.Refusal)
		return decision.Token, decision.Refusal
	case <-ctx.Done():
		k.mu.Lock()
		defer k.mu.Unlock()
		k.book.Cancel(k.Uptime(), ticket)
		k.flush()
		return Token{}, refuser.New(refuser.ReasonCancelled, "the caller went away")
	}
}

// Return puts back a token whose request has reached no upstream.
func (k *Keeper) Return(workspace string, token Token) {
	if token == (Token{}) {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.book.Return(k.Uptime(), workspace, token)
	k.flush()
}

// Sweep drops what idle workspaces have left. The owner calls it every SweepInterval.
func (k *Keeper) Sweep() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.book.Sweep(k.Uptime())
}

// Accounts returns the number of workspaces that have had requests lately.
func (k *Keeper) Accounts() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.book.Accounts()
}

// flush sends the questions that are due and sets the timer for the next timeout. It is called with mu held.
func (k *Keeper) flush() {
	for _, q := range k.book.TakeUnsent() {
		go k.ask(q)
	}
	wake, ok := k.book.Wake()
	if !ok {
		return
	}
	now := k.Uptime()
	if k.wakeAt > now && k.wakeAt <= wake {
		return
	}
	k.wakeAt = wake
	after := max(0, wake-now)
	if k.timer == nil {
		k.timer = k.Clock.AfterFunc(after, k.wake)
		return
	}
	k.timer.Reset(after)
}

// wake handles the timeouts that have passed.
func (k *Keeper) wake() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.wakeAt = 0
	k.book.Tick(k.Uptime())
	k.flush()
}

// ask sends a question and handles its answer.
func (k *Keeper) ask(q Question) {
	reply, err := k.Granters.Ask(context.Background(), q.Granter, q.Question)
	if err == nil && reply.Unavailable == "" {
		k.observe(q.Workspace, nil)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		k.book.Fail(k.Uptime(), q.ID)
	} else {
		k.book.Reply(k.Uptime(), q.ID, reply)
	}
	k.flush()
}

// observe tells the observer if a refusal shows that no granter can be reached, or its absence that one can.
func (k *Keeper) observe(workspace string, refusal *refuser.Refusal) {
	k.mu.Lock()
	lostAt := k.lostAt
	isLost := refusal != nil && refusal.Reason == refuser.ReasonQuotaUnknown
	now := k.Uptime()
	switch {
	case isLost && lostAt == 0:
		k.lostAt = now
	case refusal == nil:
		k.lostAt = 0
	}
	k.mu.Unlock()
	switch {
	case isLost && lostAt == 0:
		k.Observer.GrantersLost(workspace)
	case refusal == nil && lostAt != 0:
		k.Observer.GrantersFound(now - lostAt)
	}
}

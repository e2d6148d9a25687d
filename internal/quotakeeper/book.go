// Package quotakeeper holds the tokens that an entry node has leased from the granters of the workspaces' quotas, and decides which
// granter to ask for more. Book has the decisions and uses no clock, lock or network; Keeper connects it to these.
package quotakeeper

import (
	"slices"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/quotagranter"
	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
)

const (
	// answerTimeout is how long a granter can take to answer before the next one is asked as well.
	answerTimeout = 50 * time.Millisecond
	// silentTime is how long a granter that did not answer is asked last, and unavailableTime one that can't grant.
	silentTime      = time.Second
	unavailableTime = 250 * time.Millisecond
	// requestTimeout is how long a request waits for the granters' answers.
	requestTimeout = 400 * time.Millisecond
	// againInterval is the time until granters that can't grant are asked once more; it doubles with each repetition, and
	// maxRepeats limits how often this is done in a round. After a loss of power of all nodes, granters can be confirmed a few
	// hundred milliseconds later than entry nodes.
	againInterval = 80 * time.Millisecond
	maxRepeats    = 2
	// unknownRetry is the time after which a request can be retried if no granter has answered.
	unknownRetry = 300 * time.Millisecond
	// demandTime is the time of the expected demand that a question asks for in advance.
	demandTime = 300 * time.Millisecond
	// minRetryAfter is the lower bound of the time that a refused caller is told.
	minRetryAfter = 10 * time.Millisecond
	// idleTime is how long the state of a workspace without requests is kept.
	idleTime = 10 * time.Second
)

// Question is a question that has to be sent to a granter.
type Question struct {
	quotagranter.Question
	Granter string
	// ID identifies the question at this entry node.
	ID uint64
}

// sentQuestion is a question without an answer whose tokens could still be used.
type sentQuestion struct {
	account *account
	at      time.Duration
	granter string
	lease   time.Duration
	wanted  int
}

// Ticket is a request that takes a token.
type Ticket struct {
	// Decided receives one Decision.
	Decided chan Decision

	account  *account
	deadline time.Duration
}

// Decision tells whether a request has got a token.
type Decision struct {
	// Refusal is nil if the request has got a token.
	Refusal *refuser.Refusal
	Token   Token
}

// Book holds the leased tokens of all workspaces of an entry node. It is not safe for concurrent use: the owner serialises the
// calls, passes the time of a clock that counts suspension, and sends the questions.
type Book struct {
	accounts map[string]*account
	counter  Counter
	// granters are the names of the granters in the order in which they are asked.
	granters []string
	lastID   uint64
	limits   *quotagranter.Limits
	sent     map[uint64]*sentQuestion
	// silentUntil holds the time until which a granter is asked last.
	silentUntil map[string]time.Duration
	unsent      []Question
	// waiting are the accounts on whose behalf granters are being asked.
	waiting map[*account]bool
}

// NewBook returns a book without limits or granters.
func NewBook(counter Counter) *Book {
	return &Book{
		accounts: make(map[string]*account), counter: counter, sent: make(map[uint64]*sentQuestion),
		silentUntil: make(map[string]time.Duration), waiting: make(map[*account]bool),
	}
}

// Configure puts new limits in force, and granters in the order in which they are to be asked. What granters have told about the
// time of their next tokens is forgotten.
func (b *Book) Configure(limits *quotagranter.Limits, granters []string) {
	b.limits = limits
	b.SetGranters(granters)
	for _, a := range b.accounts {
		clear(a.empty)
	}
}

// SetGranters replaces the granters.
func (b *Book) SetGranters(granters []string) {
	b.granters = slices.Clone(granters)
	for name := range b.silentUntil {
		if !slices.Contains(granters, name) {
			delete(b.silentUntil, name)
		}
	}
}

// Limited reports whether requests of the workspace take tokens.
func (b *Book) Limited(workspace string) bool {
	if b.limits == nil {
		return false
	}
	_, ok := b.limits.Of(workspace)
	return ok
}

// Request takes a token for a request of a limited workspace, or makes it wait for the granters' answers for at most the given
// time.
func (b *Book) Request(now time.Duration, workspace string, limit time.Duration) *Ticket {
	a := b.accountOf(workspace)
	expected := a.observe(now)
	t := &Ticket{account: a, deadline: now + min(limit, requestTimeout), Decided: make(chan Decision, 1)}
	if token, ok := a.take(now, b.counter); ok {
		t.Decided <- Decision{Token: token}
		return t
	}
	a.expected = expected
	a.tickets = append(a.tickets, t)
	b.advance(now, a)
	return t
}

// Return puts back a token whose request has reached no upstream.
func (b *Book) Return(now time.Duration, workspace string, token Token) {
	b.counter.AddTokens(TokensReturned, 1)
	if b.Limited(workspace) && token.expires > now {
		a := b.accountOf(workspace)
		a.tokens = append(a.tokens, token)
		b.serve(now, a)
		return
	}
	b.counter.AddTokens(TokensExpired, 1)
}

// Cancel withdraws a request. The token that it has got meanwhile is put back.
func (b *Book) Cancel(now time.Duration, t *Ticket) {
	if i := slices.Index(t.account.tickets, t); i >= 0 {
		t.account.tickets = slices.Delete(t.account.tickets, i, i+1)
		b.advance(now, t.account)
		return
	}
	if decision := <-t.Decided; decision.Refusal == nil {
		b.Return(now, t.account.workspace, decision.Token)
	}
}

// TakeUnsent returns the questions that have to be sent now.
func (b *Book) TakeUnsent() []Question {
	unsent := b.unsent
	b.unsent = nil
	return unsent
}

// Reply handles a granter's answer. Tokens of a late answer can be used until they expire.
func (b *Book) Reply(now time.Duration, id uint64, reply quotagranter.Reply) {
	q, ok := b.sent[id]
	if !ok {
		b.counter.AddTokens(TokensExpired, reply.Granted)
		return
	}
	b.forget(id, q)
	if reply.Unavailable != "" {
		b.counter.CountQuestion(string(reply.Unavailable))
		b.silentUntil[q.granter] = now + unavailableTime
	} else {
		b.counter.CountQuestion(resultOf(q.wanted, reply.Granted))
		delete(b.silentUntil, q.granter)
		q.account.granted(now, q, reply, b.counter)
		if r := q.account.round; r != nil && reply.Granted == q.wanted {
			// The granter may have tokens for the requests that have arrived since, too.
			delete(r.tried, q.granter)
		}
	}
	b.endQuestion(now, id, q.account)
}

// Fail handles a question that was not answered.
func (b *Book) Fail(now time.Duration, id uint64) {
	q, ok := b.sent[id]
	if !ok {
		return
	}
	b.forget(id, q)
	b.counter.CountQuestion(resultFailed)
	b.silentUntil[q.granter] = now + silentTime
	b.endQuestion(now, id, q.account)
}

// forget removes a question that is answered or can't be any more.
func (b *Book) forget(id uint64, q *sentQuestion) {
	delete(b.sent, id)
	if q.account.unanswered[q.granter] == q.at {
		delete(q.account.unanswered, q.granter)
	}
}

// endQuestion continues the round of the account if the question was its current one.
func (b *Book) endQuestion(now time.Duration, id uint64, a *account) {
	if a.round != nil && a.round.current == id {
		a.round.current = 0
	}
	b.serve(now, a)
}

// serve gives the tokens of the account to the waiting requests and asks for more if they are not enough.
func (b *Book) serve(now time.Duration, a *account) {
	for len(a.tickets) > 0 {
		token, ok := a.take(now, b.counter)
		if !ok {
			break
		}
		a.pop().Decided <- Decision{Token: token}
	}
	b.advance(now, a)
}

// Tick handles the timeouts that have passed.
func (b *Book) Tick(now time.Duration) {
	for a := range b.waiting {
		b.advance(now, a)
	}
}

// Sweep drops the questions whose answers can't be used any more, and the state of idle workspaces. The owner calls it about once
// a second.
func (b *Book) Sweep(now time.Duration) {
	for id, q := range b.sent {
		if now-q.at > q.lease {
			b.forget(id, q)
			b.counter.CountQuestion(resultLost)
		}
	}
	for workspace, a := range b.accounts {
		a.expire(now, b.counter)
		if a.isIdle(now) {
			delete(b.accounts, workspace)
		}
	}
}

// Wake returns the time of the next timeout of a waiting request. It reports false if none waits.
func (b *Book) Wake() (time.Duration, bool) {
	wake, found := time.Duration(0), false
	for a := range b.waiting {
		if at := a.wake(); !found || at < wake {
			wake, found = at, true
		}
	}
	return wake, found
}

// Accounts returns the number of workspaces that have had requests lately.
func (b *Book) Accounts() int {
	return len(b.accounts)
}

func (b *Book) accountOf(workspace string) *account {
	a, ok := b.accounts[workspace]
	if !ok {
		a = &account{workspace: workspace, empty: make(map[string]emptyGranter), unanswered: make(map[string]time.Duration)}
		b.accounts[workspace] = a
	}
	return a
}

// advance continues asking on behalf of the requests that wait, and refuses those that can't get a token.
func (b *Book) advance(now time.Duration, a *account) {
	b.refuseLate(now, a)
	if len(a.tickets) == 0 {
		a.round = nil
		delete(b.waiting, a)
		return
	}
	b.waiting[a] = true
	if a.round == nil || now-a.round.began >= requestTimeout {
		a.round = &round{began: now, tried: make(map[string]bool)}
	}
	r := a.round
	if r.current != 0 && now-r.askedAt < answerTimeout {
		return
	}
	b.endSilent(now, r)
	if r.again != 0 {
		if now < r.again {
			return
		}
		r.again = 0
		clear(r.tried)
	}
	if granter, ok := b.nextGranter(now, a); ok {
		b.ask(now, a, granter)
		return
	}
	switch {
	case a.knowsEmpty(now):
		b.refuseAll(now, a, refuser.ReasonQuota)
	case len(a.unanswered) > 0:
		// The answers that are late can still arrive.
	case len(b.granters) > 0 && r.repeats < maxRepeats:
		r.again = now + againInterval<<r.repeats
		r.repeats++
		b.counter.CountQuestion(resultRepeated)
	default:
		b.refuseAll(now, a, refuser.ReasonQuotaUnknown)
	}
}

// endSilent records that the question whose answer the round awaits was not answered in time.
func (b *Book) endSilent(now time.Duration, r *round) {
	if r.current == 0 {
		return
	}
	if q, ok := b.sent[r.current]; ok {
		b.counter.CountQuestion(resultSilent)
		b.silentUntil[q.granter] = now + silentTime
	}
	r.current = 0
}

// nextGranter returns the granter to ask next in the round. Those that were silent lately come last, and those of which an answer is
// still awaited are not asked again.
func (b *Book) nextGranter(now time.Duration, a *account) (string, bool) {
	silent := ""
	for _, name := range b.granters {
		if a.round.tried[name] || a.empty[name].until > now {
			continue
		}
		if b.silentUntil[name] <= now {
			return name, true
		}
		if silent == "" && !a.isUnanswered(now, name, b.limits.Lease()) {
			silent = name
		}
	}
	return silent, silent != ""
}

func (b *Book) ask(now time.Duration, a *account, granter string) {
	b.lastID++
	wanted := len(a.tickets) + a.expected
	a.round.tried[granter] = true
	a.unanswered[granter] = now
	a.round.current, a.round.askedAt = b.lastID, now
	b.sent[b.lastID] = &sentQuestion{account: a, at: now, granter: granter, lease: b.limits.Lease(), wanted: wanted}
	b.unsent = append(b.unsent, Question{
		Question: quotagranter.Question{Denied: a.denied, Wanted: wanted, Workspace: a.workspace}, Granter: granter, ID: b.lastID,
	})
	a.denied = 0
	b.counter.AddTokens(TokensAsked, wanted)
}

// refuseLate refuses the requests that have waited too long.
func (b *Book) refuseLate(now time.Duration, a *account) {
	for i := 0; i < len(a.tickets); {
		if a.tickets[i].deadline > now {
			i++
			continue
		}
		t := a.tickets[i]
		a.tickets = slices.Delete(a.tickets, i, i+1)
		reason := refuser.ReasonQuotaUnknown
		if a.knowsEmpty(now) {
			reason = refuser.ReasonQuota
		}
		b.refuse(now, a, t, reason)
	}
}

func (b *Book) refuseAll(now time.Duration, a *account, reason refuser.Reason) {
	for len(a.tickets) > 0 {
		b.refuse(now, a, a.pop(), reason)
	}
	a.round = nil
	delete(b.waiting, a)
}

func (b *Book) refuse(now time.Duration, a *account, t *Ticket, reason refuser.Reason) {
	if reason == refuser.ReasonQuota {
		b.counter.AddTokens(TokensDenied, 1)
		a.denied++
		t.Decided <- Decision{Refusal: refuser.NewWithRetryAfter(reason, b.retryAfter(now, a), "the workspace has used up its quota")}
		return
	}
	b.counter.AddTokens(TokensUnknown, 1)
	t.Decided <- Decision{Refusal: refuser.NewWithRetryAfter(reason, unknownRetry, "no node that keeps the quotas has answered")}
}

// retryAfter returns when a token will be there for the caller that is refused next: the earliest time that a granter has named,
// behind those that were refused here since.
func (b *Book) retryAfter(now time.Duration, a *account) time.Duration {
	wait := a.untilBack(now)
	if limit, ok := b.limits.Of(a.workspace); ok {
		wait += time.Duration(float64(a.denied-1) / limit.Rate * float64(time.Second))
	}
	return max(minRetryAfter, wait)
}

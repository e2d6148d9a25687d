package quotakeeper

import (
	"math"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/quotagranter"
)

// demandWindow is the time constant of the smoothed demand.
const demandWindow = time.Second

// Token is the right to send one request. It expires some time after it was asked for.
type Token struct {
	expires time.Duration
}

// emptyGranter is a granter that had no tokens left for a workspace.
type emptyGranter struct {
	// back is when a caller that was refused can expect to find a token, and until the time before which it is useless to ask
	// again.
	back, until time.Duration
}

// round is the asking of one granter after the other on behalf of the requests that wait.
type round struct {
	// askedAt is when the current question was asked.
	askedAt time.Duration
	began   time.Duration
	// current is the ID of the question whose answer is awaited; zero for none.
	current uint64
	// again is when the granters are asked once more, after all have told that they can't grant; zero if they are not. repeats
	// counts these repetitions.
	again   time.Duration
	repeats int
	tried   map[string]bool
}

// account is the stock of tokens of one workspace, with the requests that wait for some.
type account struct {
	// demand is the smoothed number of requests in demandWindow, as of demandAt.
	demand   float64
	demandAt time.Duration
	// denied is the number of requests that were refused since the last question.
	denied int
	empty  map[string]emptyGranter
	// expected is the demand for which the next question asks in advance.
	expected int
	round    *round
	tickets  []*Ticket
	tokens   []Token
	// unanswered holds when the last question was sent to a granter that has not answered it.
	unanswered map[string]time.Duration
	workspace  string
}

// observe records a request and returns the demand that is expected for demandTime after it, rounded down.
func (a *account) observe(now time.Duration) int {
	demand := a.demand * math.Exp(-(now-a.demandAt).Seconds()/demandWindow.Seconds())
	a.demand, a.demandAt = demand+1, now
	return int(demand * demandTime.Seconds() / demandWindow.Seconds())
}

// take removes the token that expires first.
func (a *account) take(now time.Duration, counter Counter) (Token, bool) {
	a.expire(now, counter)
	if len(a.tokens) == 0 {
		return Token{}, false
	}
	first := 0
	for i, token := range a.tokens {
		if token.expires < a.tokens[first].expires {
			first = i
		}
	}
	token := a.tokens[first]
	last := len(a.tokens) - 1
	a.tokens[first] = a.tokens[last]
	a.tokens = a.tokens[:last]
	counter.AddTokens(TokensUsed, 1)
	return token, true
}

// expire drops the tokens that can't be used any more.
func (a *account) expire(now time.Duration, counter Counter) {
	kept := a.tokens[:0]
	for _, token := range a.tokens {
		if token.expires > now {
			kept = append(kept, token)
		}
	}
	if expired := len(a.tokens) - len(kept); expired > 0 {
		counter.AddTokens(TokensExpired, expired)
	}
	a.tokens = kept
}

func (a *account) pop() *Ticket {
	t := a.tickets[0]
	a.tickets[0] = nil
	a.tickets = a.tickets[1:]
	return t
}

// granted adds the tokens of an answer and remembers when the granter has more.
func (a *account) granted(now time.Duration, q *sentQuestion, reply quotagranter.Reply, counter Counter) {
	counter.AddTokens(TokensGranted, reply.Granted)
	expires := q.at + q.lease
	if expires <= now {
		counter.AddTokens(TokensExpired, reply.Granted)
	} else {
		for range reply.Granted {
			a.tokens = append(a.tokens, Token{expires: expires})
		}
	}
	if reply.Granted < q.wanted {
		a.empty[q.granter] = emptyGranter{back: now + reply.Back(), until: now + reply.Next()}
	} else {
		delete(a.empty, q.granter)
	}
}

// isUnanswered reports whether a granter can still answer the last question with tokens that can be used.
func (a *account) isUnanswered(now time.Duration, granter string, lease time.Duration) bool {
	at, ok := a.unanswered[granter]
	return ok && now-at < lease
}

// knowsEmpty reports whether a granter has told that it has no tokens left.
func (a *account) knowsEmpty(now time.Duration) bool {
	for _, e := range a.empty {
		if e.until > now {
			return true
		}
	}
	return false
}

// untilBack returns the shortest time that a granter without tokens has named for callers.
func (a *account) untilBack(now time.Duration) time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for _, e := range a.empty {
		if e.until > now {
			shortest = min(shortest, max(0, e.back-now))
		}
	}
	if shortest == math.MaxInt64 {
		return 0
	}
	return shortest
}

// wake returns the time of the next timeout of the requests that wait.
func (a *account) wake() time.Duration {
	wake := time.Duration(math.MaxInt64)
	for _, t := range a.tickets {
		wake = min(wake, t.deadline)
	}
	if a.round != nil && a.round.current != 0 {
		wake = min(wake, a.round.askedAt+answerTimeout)
	}
	if a.round != nil && a.round.again != 0 {
		wake = min(wake, a.round.again)
	}
	return wake
}

// isIdle reports whether a new account would serve as well.
func (a *account) isIdle(now time.Duration) bool {
	return now-a.demandAt > idleTime && len(a.tickets) == 0 && len(a.tokens) == 0
}

package executor

import (
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
)

const (
	// endedTTL is how long an attempt that has ended is remembered. An upstream that goes on with a request whose caller has given
	// up makes calls for some time, and those calls need no key of their own.
	endedTTL = 5 * time.Second
	// maxEnded limits the attempts that are remembered: endedTTL at about 800 requests a second.
	maxEnded = 4096
)

// endedAttempt is what is remembered of an attempt that has ended.
type endedAttempt struct {
	call, request, workspace string
	at                       time.Time
}

// endedAttempts holds the attempts that have ended lately, the oldest first.
type endedAttempts struct {
	attempts []endedAttempt
}

func (e *endedAttempts) add(now time.Time, a *carrier.Attempt) {
	e.expire(now)
	if len(e.attempts) >= maxEnded {
		e.attempts = e.attempts[1:]
	}
	e.attempts = append(e.attempts, endedAttempt{call: a.Call, request: a.RequestID, workspace: a.ShareOwner(), at: now})
}

func (e *endedAttempts) expire(now time.Time) {
	for len(e.attempts) > 0 && now.Sub(e.attempts[0].at) > endedTTL {
		e.attempts = e.attempts[1:]
	}
}

// find returns the workspace of the attempt of a call, looked up by the call's id or by the request id that its caller gave it.
// Empty ids match nothing.
func (e *endedAttempts) find(now time.Time, call, request string) (workspace string, ok bool) {
	e.expire(now)
	for i := range e.attempts {
		a := &e.attempts[i]
		if (call != "" && a.call == call) || (request != "" && a.request == request) {
			return a.workspace, true
		}
	}
	return "", false
}

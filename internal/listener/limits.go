package listener

import (
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/bodyreader"
	"github.com/marigoldrelay/marigoldrelay/internal/budgeter"
)

const (
	// pipelinedBytes is what a request that is read before those in front of it are answered occupies at most besides a large
	// body: its header and a small body, as read and as parsed.
	pipelinedBytes = 64 << 10
	// hardLimitDivisor is the part of MaxConns by which connections that are being given up may exceed it.
	hardLimitDivisor = 8
	// candidates is how many connections are compared to find one to give up.
	candidates = 32
	// leaveTime is how long the next connection waits for one that was given up, looking leaveChecks times. An idle one closes
	// at once; one whose request is refused stays for lingerTimeout.
	leaveTime   = 10 * time.Millisecond
	leaveChecks = 20
	// minReceiving is how long a request must have been arriving before its connection is given up.
	minReceiving = time.Second
)

// holdBehind returns the memory of a request that is read while others in front of it are unanswered. If there is no room for it,
// it waits until those are answered. It returns nil where none are.
func (c *conn) holdBehind() *budgeter.Holding {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 {
		return nil
	}
	if h := c.listener.Memory.TryHold(c.listener.Class, pipelinedBytes); h != nil {
		return h
	}
	for len(c.queue) > 0 {
		c.dequeued.Wait()
	}
	_ = c.SetReadDeadline(time.Now().Add(c.listener.Limits().HeaderTimeout))
	return nil
}

// exchangeBytes is what an exchange occupies besides its header and its body.
const exchangeBytes = 4 << 10

// bytesBehind returns what a request that was read behind others occupies besides a large body. The library keeps two copies of the
// header.
func (x *exchange) bytesBehind() int {
	return exchangeBytes + 2*len(x.request.Header.RawHeaders()) + min(len(x.request.Body()), bodyreader.SmallBytes)
}

// makeRoom gives up a connection if MaxConns is reached. It reports false if there is none to give up, or if too many that are
// being given up stay open for leaveTime.
func (l *Listener) makeRoom() bool {
	if l.MaxConns == 0 || l.count() < l.MaxConns {
		return true
	}
	l.connGivenUp()
	if !giveUpOne(l.someConns()) {
		return false
	}
	hardLimit := l.MaxConns + l.MaxConns/hardLimitDivisor
	for deadline := time.Now().Add(leaveTime); l.count() >= hardLimit; time.Sleep(leaveTime / leaveChecks) {
		if time.Now().After(deadline) {
			return false
		}
	}
	return true
}

func (l *Listener) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// someConns returns a number of candidates, or all connections if there are fewer.
func (l *Listener) someConns() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	conns := make([]*conn, 0, candidates)
	for c := range l.conns {
		if conns = append(conns, c); len(conns) == candidates {
			break
		}
	}
	return conns
}

func (l *Listener) connGivenUp() {
	if l.OnConnGivenUp != nil {
		l.OnConnGivenUp()
	}
}

// giveUpOne gives up the connection that has been idle for longest, or else the one whose request has been arriving for longest.
// It reports false if there is neither.
func giveUpOne(conns []*conn) bool {
	var oldest *conn
	var longest time.Duration
	isIdle := false
	for _, c := range conns {
		idle, receiving := c.waitingTimes()
		switch {
		case idle > 0 && (!isIdle || idle > longest):
			oldest, longest, isIdle = c, idle, true
		case !isIdle && receiving >= minReceiving && receiving > longest:
			oldest, longest = c, receiving
		}
	}
	return oldest != nil && oldest.giveUp()
}

// waitingTimes returns how long the connection has been idle, and how long its only request has been arriving. Both are zero for
// a connection with unanswered requests, or that is closing.
func (c *conn) waitingTimes() (idle, receiving time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case len(c.queue) > 0 || c.closing || c.idleSince.IsZero():
		return 0, 0
	case c.receiving:
		return 0, time.Since(c.receivingSince)
	default:
		return time.Since(c.idleSince), 0
	}
}

// giveUp ends an idle connection, or refuses the request that is arriving. It reports false if a request has arrived meanwhile.
func (c *conn) giveUp() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) > 0 || c.closing {
		return false
	}
	c.givenUp = true
	c.interruptRead()
	return true
}

package cmd

import (
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	// lateCallers is how many callers keep an idle connection to a stopping node.
	lateCallers = 48
	// closeDelay is the time from SIGTERM until a node closes its port if nothing runs at its upstream.
	closeDelay = 800 * time.Millisecond
	// lateSpread is the time over which the callers send their requests after that.
	lateSpread = 30 * time.Millisecond
)

// sendLate opens connections to a node that has just been told to stop, and sends requests on them at about the time at
// which it closes idle ones.
func (s *soak) sendLate(i int) {
	var callers sync.WaitGroup
	defer callers.Wait()
	started := time.Now()
	for n := range lateCallers {
		name := fmt.Sprintf("late-%d", s.lateCount.Add(1))
		caller := plannedCaller{soak: s, name: name, batch: 1 + n%3, path: entriesPath, post: n%2 == 0}
		raw, err := net.Dial("tcp", s.nodes[i].caller.String())
		if err != nil {
			return
		}
		conn := newCallerConn(raw)
		wait := closeDelay + time.Duration(s.randomInt(int(lateSpread)))
		callers.Go(func() {
			time.Sleep(time.Until(started.Add(wait)))
			caller.exchange(conn)
			_ = conn.Close()
		})
	}
}

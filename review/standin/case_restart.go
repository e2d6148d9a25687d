package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	drainTime       = 2 * time.Second
	clientsEach     = 4
	clientPause     = 50 * time.Millisecond
	restartDuration = 4 * time.Second
	// killPause is the time from the first leave until the nodes are killed.
	killPause = 100 * time.Millisecond
	// leavePause is the time from the start of the new processes until the second leave.
	leavePause = 600 * time.Millisecond
)

// playRestart kills the nodes of two machines, whose instances leave. One instance leaves just before the kill, and a
// heartbeat that it has sent before that arrives late, at the new process. The other one leaves soon after the new process
// has found it by a health check, before its next heartbeat is due.
func playRestart(s *scene) (broken int, err error) {
	early, late := s.instances[0], s.instances[1]
	<-early.heartbeats
	early.tell(tellLeave)
	time.Sleep(killPause)
	inTouch := time.Now()
	if s.trouble {
		if err := s.restartNodes(margin, s.sidecar[0], s.sidecar[1]); err != nil {
			return 0, err
		}
		inTouch = time.Now().Add(stabilityWindow + margin)
	}
	time.Sleep(leavePause)
	late.tell(tellLeaveBorn)
	early.tell(tellLateHeartbeat)
	time.Sleep(margin)
	judged := time.Now().Add(drainTime)
	if inTouch.After(judged) {
		judged = inTouch
	}
	outcomes := s.sendFor(judged.Add(restartDuration))
	for _, one := range s.allRuns() {
		if (one.Instance == early.id || one.Instance == late.id) && one.At.After(judged) {
			broken++
			s.record.printf("BROKEN: %s runs %s at %.3f; it was to get nothing from %.3f on; the consumer gets %d",
				one.Instance, one.RequestID, s.record.seconds(one.At), s.record.seconds(judged), outcomes[one.RequestID].Status)
		}
	}
	return broken, nil
}

// sendFor lets consumers on all machines send requests until the end, and returns their outcomes by id.
func (s *scene) sendFor(end time.Time) map[string]outcome {
	var mu sync.Mutex
	outcomes := make(map[string]outcome)
	var clients sync.WaitGroup
	for client := range clientsEach * len(s.sidecar) {
		clients.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				path := fmt.Sprintf("/entries-write/%d/%d", client, i)
				o := s.send(s.sidecar[client%len(s.sidecar)], attempt{Method: http.MethodPost, Path: path, Body: "x"})
				mu.Lock()
				outcomes[o.ID] = o
				mu.Unlock()
				time.Sleep(clientPause)
			}
		})
	}
	clients.Wait()
	return outcomes
}

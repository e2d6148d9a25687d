package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const submissions = 12

// playKey lets two makers on different machines, each with an account of its own, send submissions with a header that the
// pages don't name. It bears each maker's own count of its submissions.
func playKey(s *scene) (broken int, err error) {
	var mu sync.Mutex
	var answered []outcome
	for number := range submissions {
		var consumers sync.WaitGroup
		for c, m := range s.sidecar[:2] {
			lines := []string{fmt.Sprintf("Authorization: Bearer maker-%d", c)}
			if s.trouble {
				lines = append(lines, fmt.Sprintf("Idempotency-Key: %d", number+1))
			}
			consumers.Go(func() {
				time.Sleep(time.Duration(c) * usualWork / 2)
				o := s.send(m, attempt{Method: http.MethodPost, Path: "/entries-write/stall-fee", Body: "fee=100", Lines: lines})
				mu.Lock()
				answered = append(answered, o)
				mu.Unlock()
			})
		}
		consumers.Wait()
	}
	time.Sleep(margin)
	for _, o := range answered {
		if o.Status == http.StatusOK && o.AnswerID != o.ID {
			broken++
			s.record.printf("BROKEN: %s is answered 200 with the answer to %s; it was run %d times", o.ID, o.AnswerID, s.countRunsOf(o.ID))
		}
	}
	return broken, nil
}

// countRunsOf counts the runs of a request.
func (s *scene) countRunsOf(id string) (count int) {
	for _, one := range s.allRuns() {
		if one.RequestID == id {
			count++
		}
	}
	return count
}

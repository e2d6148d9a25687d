package main

import (
	"net/http"
	"time"
)

const (
	poisonRounds = 14
	// allowedRetries is how often the request may reach instances after the third crash.
	allowedRetries = 3
	poisonPause    = time.Second
	// crashTime is how long an instance is down after a crash.
	crashTime = 2 * time.Second
)

// playPoison sends a request that crashes each instance that runs it again and again at one machine. The instances start
// again under the ids that they had.
func playPoison(s *scene) (broken int, err error) {
	path := "/archive-write/9"
	if s.trouble {
		path += "/crash"
	}
	var third time.Time
	late := 0
	for range poisonRounds {
		before := s.countRuns(path)
		s.send(s.sidecar[1], attempt{Method: http.MethodPost, Path: path, Body: "again"})
		time.Sleep(reportTime)
		reached := s.countRuns(path) - before
		if !third.IsZero() && time.Since(third) > stabilityWindow {
			late += reached
		}
		if s.trouble && third.IsZero() && before+reached >= 3 {
			third = time.Now()
			s.record.printf("the request has crashed the third instance")
		}
		if err := s.startEnded(); err != nil {
			return 0, err
		}
		time.Sleep(poisonPause)
	}
	s.record.printf("the request has reached instances %d times later than %s after the third crash", late, stabilityWindow)
	if s.trouble && late > allowedRetries {
		return late, nil
	}
	return 0, nil
}

// startEnded starts the instances again that have ended, under the ids that they had.
func (s *scene) startEnded() error {
	time.Sleep(crashTime)
	for machine, p := range s.instances {
		select {
		case <-p.exited:
			if err := s.startInstance(machine); err != nil {
				return err
			}
		default:
		}
	}
	return nil
}

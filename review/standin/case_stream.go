package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	streamRounds  = 6
	streamTimeout = 4 * time.Second
	// restartPause is how long an instance is down after a crash.
	restartPause = time.Second
)

// playStream crashes instances in the middle of answers without a length.
func playStream(s *scene) (broken int, err error) {
	for round := range streamRounds {
		path := fmt.Sprintf("/entries-read/%d/stream", round)
		answers := make(chan outcome, 1)
		go func() {
			answers <- s.send(s.sidecar[round%2], attempt{Method: http.MethodGet, Path: path, Timeout: streamTimeout})
		}()
		if s.trouble {
			if err := s.crashDuring(path); err != nil {
				return broken, err
			}
		}
		o := <-answers
		if o.Status == http.StatusOK && o.Whole && len(o.Body) != 2*halfBytes {
			s.record.printf("BROKEN: %s is answered 200 with %d of %d bytes and looks whole", o.ID, len(o.Body), 2*halfBytes)
			broken++
		}
		time.Sleep(time.Second)
	}
	return broken, nil
}

// crashDuring kills the instance that runs the request with the path while it answers, and starts it again.
func (s *scene) crashDuring(path string) error {
	machine := s.awaitRun(path, streamTimeout)
	if machine < 0 {
		return errNotServed
	}
	time.Sleep(streamPause / 2)
	s.record.printf("the instance %s crashes", s.instances[machine].id)
	s.instances[machine].kill()
	time.Sleep(restartPause)
	return s.startInstance(machine)
}

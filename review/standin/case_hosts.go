package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	configApplyTime = 2 * time.Second
	// otherSpelling is the usual host, spelt with a capital letter.
	otherSpelling = "Desk.example"
	otherHost     = "office.example"
)

// playHosts lets the operator send a desired state in which two routes with the same prefix have hosts that differ in the
// case of a letter alone, and then sends requests to both.
func playHosts(s *scene) (broken int, err error) {
	second := otherHost
	if s.trouble {
		second = otherSpelling
	}
	state := firstState([]string{serviceEntries, serviceArchive})
	state.Version += 2
	state.Hosts = append(state.Hosts, virtualHost{Name: second, Routes: []route{
		{Name: serviceEntries + "-read", Type: "safe", Service: serviceArchive, TimeoutSeconds: 4},
	}})
	err = s.put(firstVersion, state)
	if errors.Is(err, errRefused) {
		s.record.printf("the desired state is refused: %v", err)
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	time.Sleep(configApplyTime + margin)
	for i := range 10 {
		for _, m := range s.sidecar {
			path := fmt.Sprintf("/entries-read/%d", i)
			s.send(m, attempt{Method: http.MethodGet, Path: path, Host: host})
			o := s.send(m, attempt{Method: http.MethodGet, Path: path, Host: second})
			broken += s.countForeignRuns(o.ID, second)
		}
	}
	return broken, nil
}

// countForeignRuns counts the runs of a request to the second host by another service than its route names.
func (s *scene) countForeignRuns(id, second string) (foreign int) {
	time.Sleep(reportTime)
	for _, one := range s.allRuns() {
		if one.RequestID == id && one.Service != serviceArchive {
			foreign++
			s.record.printf("BROKEN: %s to %s is run by %s; the acknowledged route of that host goes to %s", id, second, one.Service, serviceArchive)
		}
	}
	return foreign
}

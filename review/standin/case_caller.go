package main

import (
	"fmt"
	"net/http"
	"time"
)

// playCaller lets consumers send the header with the caller's service in two lines instead of one.
func playCaller(s *scene) (broken int, err error) {
	lines := []string{wire.Caller + ": treasury"}
	if s.trouble {
		lines = append(lines, wire.Caller+": audit")
	}
	for i := range 10 {
		for _, m := range s.sidecar {
			o := s.send(m, attempt{Method: http.MethodPost, Path: fmt.Sprintf("/archive-write/%d", i), Body: "x", Lines: lines})
			broken += s.countWrongCallers(o.ID, m.Service)
		}
	}
	return broken, nil
}

// playWriter lets a heartbeat of another writer, which lacks fields, arrive at a node.
func playWriter(s *scene) (broken int, err error) {
	m := s.sidecar[0]
	if s.trouble {
		b := beat{Address: m.App, Service: serviceArchive, State: stateReady, Sequence: 1, Born: time.Now().UnixMilli()}
		status := callControl(http.MethodPut, m.Control, "i-other", b.encode())
		s.record.printf("a heartbeat without version and zone arrives at %s: answered %d: %s", m.Name, status, b.encode())
	}
	for i := range 60 {
		o := s.send(m, attempt{Method: http.MethodPost, Path: fmt.Sprintf("/archive-write/%d", i), Body: "x"})
		broken += s.countWrongCallers(o.ID, m.Service)
		o = s.send(s.sidecar[1], attempt{Method: http.MethodPost, Path: fmt.Sprintf("/entries-write/%d", i), Body: "x"})
		broken += s.countWrongCallers(o.ID, s.sidecar[1].Service)
		time.Sleep(100 * time.Millisecond)
	}
	return broken, nil
}

package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
)

// sent is one request of a consumer with its answer. The status is zero if there was none.
type sent struct {
	id     string
	status int
	header http.Header
	body   string
}

var lastRequest atomic.Int64

// newID returns an id that no other request has.
func newID() string {
	return fmt.Sprintf("%016x", 0x1c41d07be2a30000+lastRequest.Add(1))
}

// send sends one request from a consumer on the machine.
func (m *machine) send(method, path string, deadline int, body string) sent {
	s := sent{id: newID()}
	header := map[string]string{
		"Host": host, wire.RequestID: s.id, wire.Timeout: fmt.Sprint(deadline),
	}
	m.deployment.record.line("consumer on %s: sends %s %s %s", m.name, s.id, method, path)
	status, answered, text := call(method, "http://"+m.at(m.deployment.ports.outbound)+path, header, []byte(body))
	s.status, s.header, s.body = status, answered, string(text)
	m.deployment.record.line("consumer on %s: %s answered %d %.100q", m.name, s.id, status, text)
	return s
}

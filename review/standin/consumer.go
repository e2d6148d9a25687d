package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// attempt is one attempt of a consumer.
type attempt struct {
	Method, Path string
	// Host is the usual one where it is empty.
	Host string
	Body string
	// Lines are further header lines.
	Lines   []string
	Timeout time.Duration
}

// outcome is how an attempt ended for its consumer. The status is zero if no answer came.
type outcome struct {
	ID       string
	Status   int
	Body     string
	Seal     string
	AnswerID string
	// Whole is false if the answer ended early.
	Whole bool
}

var lastRequest atomic.Uint64

// send sends an attempt on a new channel of the machine and waits for its answer until the timeout.
func (d *deployment) send(m *machine, a attempt) outcome {
	id := fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, lastRequest.Add(1))
	result := outcome{ID: id}
	if a.Timeout == 0 {
		a.Timeout = 2 * time.Second
	}
	conn, err := dial(m.Outbound)
	if err != nil {
		d.record.printf("%s %s %s at %s: no channel", id, a.Method, a.Path, m.Name)
		return result
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(a.Timeout))
	lines := []string{
		a.Method + " " + a.Path + " HTTP/1.1", "Host: " + cmp.Or(a.Host, host), wire.RequestID + ": " + id,
		fmt.Sprintf("%s: %d", wire.Timeout, a.Timeout.Milliseconds()),
	}
	lines = append(lines, a.Lines...)
	if a.Method != http.MethodGet {
		lines = append(lines, fmt.Sprintf("Content-Length: %d", len(a.Body)))
	}
	text := strings.Join(lines, "\r\n") + "\r\n\r\n" + a.Body
	if _, err := io.WriteString(conn, text); err != nil {
		d.record.printf("%s %s %s at %s: not sent: %v", id, a.Method, a.Path, m.Name, err)
		return result
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: a.Method})
	if err != nil {
		d.record.printf("%s %s %s at %s: no answer: %v", id, a.Method, a.Path, m.Name, err)
		return result
	}
	body, err := io.ReadAll(response.Body)
	result.Status, result.Body, result.Whole = response.StatusCode, string(body), err == nil
	result.Seal, result.AnswerID = response.Header.Get(wire.Seal), response.Header.Get(wire.RequestID)
	d.record.printf("%s %s %s at %s: %d, %d bytes, whole %t, seal %q", id, a.Method, a.Path, m.Name, result.Status, len(body), result.Whole, result.Seal)
	return result
}

// Package conntracker keeps track of the open connections of an HTTP server, so that they can all be closed.
package conntracker

import (
	"net"
	"sync"

	"github.com/valyala/fasthttp"
)

// Tracker holds the open connections of one server. It is safe for concurrent use.
type Tracker struct {
	mu   sync.Mutex
	open map[net.Conn]struct{}
}

// New returns a tracker without connections.
func New() *Tracker {
	return &Tracker{open: make(map[net.Conn]struct{})}
}

// OnConnState is the ConnState callback of the server. It adds new connections and removes closed and hijacked ones.
func (t *Tracker) OnConnState(conn net.Conn, state fasthttp.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case fasthttp.StateNew:
		t.open[conn] = struct{}{}
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		delete(t.open, conn)
	}
}

// CloseAll closes all open connections at once, without waiting for their requests. Errors of closing are ignored.
func (t *Tracker) CloseAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn := range t.open {
		_ = conn.Close()
	}
}

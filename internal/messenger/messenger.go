// Package messenger carries control messages between nodes as JSON-RPC 2.0 over authenticated TCP.
package messenger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/marigoldrelay/marigoldrelay/internal/logger"
	"github.com/marigoldrelay/marigoldrelay/internal/signer"
)

// Purpose is what a connection's bytes are metered under.
type Purpose byte

// The purposes.
const (
	PurposeBinding Purpose = iota + 1
	PurposeConfiguration
	PurposeMembership
)

// String implements fmt.Stringer.
func (p Purpose) String() string {
	switch p {
	case PurposeBinding:
		return "binding"
	case PurposeConfiguration:
		return "configuration"
	case PurposeMembership:
		return "membership"
	default:
		return "other"
	}
}

// Errors of Messenger.Call.
var (
	ErrClosed      = merry.Sentinel("messenger closed")
	ErrUnreachable = merry.Sentinel("peer unreachable")
)

const (
	dialTimeout = time.Second
	callTimeout = 2 * time.Second
)

// Handler answers one method. Its result is encoded as JSON. An error of the type
// *jsonrpc2.Error reaches the caller with its code and data.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Meter counts the bytes of control traffic.
type Meter interface {
	// Count adds bytes that were sent for a purpose.
	Count(purpose string, bytes int)
}

// Messenger is both ends of control connections. It is safe for concurrent use.
type Messenger struct {
	handlers map[string]Handler
	key      *signer.Signer
	meter    Meter

	mu       sync.Mutex
	accepted map[*jsonrpc2.Conn]struct{}
	closed   bool
	conns    map[endpoint]*link
	listener net.Listener
}

type endpoint struct {
	address netip.AddrPort
	purpose Purpose
}

// link is one outgoing connection; ready is closed when it is open or has failed.
type link struct {
	conn  *jsonrpc2.Conn
	err   error
	ready chan struct{}
}

// New returns a messenger. Handle must be called before Serve.
func New(key *signer.Signer, meter Meter) *Messenger {
	return &Messenger{
		accepted: make(map[*jsonrpc2.Conn]struct{}),
		conns:    make(map[endpoint]*link),
		handlers: make(map[string]Handler),
		key:      key,
		meter:    meter,
	}
}

// Handle registers the handler of a method.
func (m *Messenger) Handle(method string, handler Handler) {
	m.handlers[method] = handler
}

// Serve accepts connections until Close.
func (m *Messenger) Serve(listener net.Listener) {
	m.mu.Lock()
	m.listener = listener
	m.mu.Unlock()
	for {
		raw, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		go m.accept(raw)
	}
}

func (m *Messenger) accept(raw net.Conn) {
	purpose, err := handshakeServer(raw, m.key)
	if err != nil {
		_ = raw.Close()
		return
	}
	conn := m.open(raw, purpose)
	m.mu.Lock()
	closed := m.closed
	m.accepted[conn] = struct{}{}
	m.mu.Unlock()
	if closed {
		_ = conn.Close()
	}
	<-conn.DisconnectNotify()
	m.mu.Lock()
	delete(m.accepted, conn)
	m.mu.Unlock()
}

func (m *Messenger) open(raw net.Conn, purpose Purpose) *jsonrpc2.Conn {
	metered := &meteredConn{Conn: raw, meter: m.meter, purpose: purpose.String()}
	stream := jsonrpc2.NewPlainObjectStream(metered)
	handler := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(m.dispatch).SuppressErrClosed())
	return jsonrpc2.NewConn(context.Background(), stream, handler, jsonrpc2.SetLogger(logger.Silent{}))
}

func (m *Messenger) dispatch(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	handler, ok := m.handlers[req.Method]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no method " + req.Method}
	}
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	return handler(ctx, params)
}

// Call sends a request and decodes the answer into result. The error wraps ErrUnreachable when no
// answer came; the peer may have run the method all the same.
func (m *Messenger) Call(ctx context.Context, to netip.AddrPort, purpose Purpose, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := m.connect(ctx, endpoint{to, purpose})
	if err != nil {
		return err
	}
	err = conn.Call(ctx, method, params, result)
	var answered *jsonrpc2.Error
	if err == nil || errors.As(err, &answered) {
		return err
	}
	// An overdue answer can mean a connection that went silent: the next call opens a new one.
	m.drop(endpoint{to, purpose}, conn)
	return fmt.Errorf("%w: %s: %s: %w", ErrUnreachable, to, method, err)
}

// Notify sends a message without an answer.
func (m *Messenger) Notify(ctx context.Context, to netip.AddrPort, purpose Purpose, method string, params any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := m.connect(ctx, endpoint{to, purpose})
	if err != nil {
		return err
	}
	if err := conn.Notify(ctx, method, params); err != nil {
		m.drop(endpoint{to, purpose}, conn)
		return fmt.Errorf("%w: %s: %s: %w", ErrUnreachable, to, method, err)
	}
	return nil
}

func (m *Messenger) connect(ctx context.Context, to endpoint) (*jsonrpc2.Conn, error) {
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		return nil, ErrClosed
	}
	l, ok := m.conns[to]
	if !ok {
		l = &link{ready: make(chan struct{})}
		m.conns[to] = l
		go m.dial(to, l)
	}
	m.mu.Unlock()
	select {
	case <-l.ready:
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %s: %w", ErrUnreachable, to.address, ctx.Err())
	}
	if l.err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, l.err)
	}
	return l.conn, nil
}

func (m *Messenger) dial(to endpoint, l *link) {
	defer close(l.ready)
	raw, err := net.DialTimeout("tcp", to.address.String(), dialTimeout)
	if err == nil {
		err = handshakeClient(raw, m.key, to.purpose)
		if err != nil {
			_ = raw.Close()
		}
	}
	if err != nil {
		l.err = err
		m.forget(to, l)
		return
	}
	l.conn = m.open(raw, to.purpose)
	go func() {
		<-l.conn.DisconnectNotify()
		m.forget(to, l)
	}()
}

func (m *Messenger) forget(to endpoint, l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.conns[to] == l {
		delete(m.conns, to)
	}
}

func (m *Messenger) drop(to endpoint, conn *jsonrpc2.Conn) {
	m.mu.Lock()
	if l := m.conns[to]; l != nil && l.conn == conn {
		delete(m.conns, to)
	}
	m.mu.Unlock()
	_ = conn.Close()
}

// Close ends the listener and every connection.
func (m *Messenger) Close() {
	m.mu.Lock()
	m.closed = true
	listener := m.listener
	var open []*jsonrpc2.Conn
	for conn := range m.accepted {
		open = append(open, conn)
	}
	for _, l := range m.conns {
		select {
		case <-l.ready:
			if l.conn != nil {
				open = append(open, l.conn)
			}
		default:
		}
	}
	m.mu.Unlock()
	if listener != nil {
		_ = listener.Close()
	}
	for _, conn := range open {
		_ = conn.Close()
	}
}

// segmentHeaderBytes is the size of the IP and TCP headers that a message's segment adds.
const segmentHeaderBytes = 40

type meteredConn struct {
	net.Conn
	meter   Meter
	purpose string
}

// Write implements net.Conn. The bytes sent are metered with their headers.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.Count(c.purpose, n+segmentHeaderBytes)
	return n, err
}

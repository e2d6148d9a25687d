// Package messenger sends control messages between nodes, as JSON-RPC 2.0 over authenticated TCP connections.
package messenger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/marigoldrelay/marigoldrelay/internal/dialer"
	"github.com/marigoldrelay/marigoldrelay/internal/logger"
	"github.com/marigoldrelay/marigoldrelay/internal/signer"
)

// Purpose is the kind of control traffic under which a connection's bytes are counted. There is a separate connection
// for each purpose.
type Purpose byte

// The purposes, as handshakes encode them.
const (
	// PurposeBinding is for late binding and for claims of idempotency keys.
	PurposeBinding Purpose = iota + 1
	// PurposeConfiguration is for the register and its documents.
	PurposeConfiguration
	// PurposeMembership is for member lists and crash reports.
	PurposeMembership
	// PurposeConfirmation is for questions whether a document is the newest, which must not wait behind documents.
	PurposeConfirmation
	// PurposeQuota is for tokens of workspaces' quotas.
	PurposeQuota
)

// String implements fmt.Stringer. The text is the purpose that ByteCounter.AddControlBytes is called with.
func (p Purpose) String() string {
	switch p {
	case PurposeBinding:
		return "binding"
	case PurposeConfiguration:
		return "configuration"
	case PurposeMembership:
		return "membership"
	case PurposeConfirmation:
		return "confirmation"
	case PurposeQuota:
		return "quota"
	default:
		return "other"
	}
}

// Errors of Messenger.Call and Messenger.Notify.
var (
	// ErrClosed is returned after Close or Abort.
	ErrClosed = merry.Sentinel("messenger closed")
	// ErrUnreachable is wrapped by the error when the message could not be sent or no response came.
	ErrUnreachable = merry.Sentinel("peer unreachable")
)

const (
	dialTimeout = time.Second
	// callTimeout limits a call or notification, including the time for connecting.
	callTimeout = 2 * time.Second
	// writeTimeout limits the time for which each writeChunkBytes of a message wait for room on the connection.
	writeTimeout    = time.Second
	writeChunkBytes = 16 << 10
)

// Handler handles the calls of one method. The result is encoded as JSON. An error of type *jsonrpc2.Error is sent to
// the caller with its code and data.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// ByteCounter counts the bytes of control traffic.
type ByteCounter interface {
	// AddControlBytes adds the number of bytes sent for a purpose.
	AddControlBytes(purpose string, bytes int)
}

// Messenger accepts control connections, and opens one for each peer address and purpose. It is safe for concurrent use.
type Messenger struct {
	handlers map[string]Handler
	key      *signer.Signer
	counter  ByteCounter
	dial     dialer.DialFunc
	onSent   func(purpose Purpose, conn net.Conn, bytes int)

	// running counts the calls of peers that are being handled or replied to.
	running sync.WaitGroup

	mu sync.Mutex
	// accepted holds the connections of peers, with the connection below each.
	accepted map[*jsonrpc2.Conn]net.Conn
	// closing is set when no further call of a peer is handled.
	closing  bool
	closed   bool
	outgoing map[endpoint]*outgoingConn
	listener net.Listener
}

// endpoint identifies an outgoing connection.
type endpoint struct {
	address netip.AddrPort
	purpose Purpose
}

// outgoingConn is one outgoing connection. When ready is closed, either conn or err is set.
type outgoingConn struct {
	conn  *jsonrpc2.Conn
	err   error
	ready chan struct{}
}

// isReady reports whether conn and err can be read.
func (o *outgoingConn) isReady() bool {
	select {
	case <-o.ready:
		return true
	default:
		return false
	}
}

// New returns a messenger that signs with key and counts the sent bytes with counter. Handle must be called before
// Serve.
func New(key *signer.Signer, counter ByteCounter, options ...Option) *Messenger {
	m := &Messenger{
		accepted: make(map[*jsonrpc2.Conn]net.Conn),
		outgoing: make(map[endpoint]*outgoingConn),
		handlers: make(map[string]Handler),
		key:      key,
		counter:  counter,
		dial:     dialer.Dial,
	}
	m.Handle(methodPing, func(context.Context, json.RawMessage) (any, error) { return struct{}{}, nil })
	for _, option := range options {
		option(m)
	}
	return m
}

// Option configures a Messenger that New returns.
type Option func(*Messenger)

// WithDialer replaces the TCP dialer. The function gets the peer's address and the dial timeout.
func WithDialer(dial dialer.DialFunc) Option {
	return func(m *Messenger) { m.dial = dial }
}

// WithSentCounter makes the messenger call onSent with the bytes of each message, beside its ByteCounter. The function must not
// block.
func WithSentCounter(onSent func(purpose Purpose, conn net.Conn, bytes int)) Option {
	return func(m *Messenger) { m.onSent = onSent }
}

// Handle registers the handler of a method. It must not be called after Serve, Call or Notify.
func (m *Messenger) Handle(method string, handler Handler) {
	m.handlers[method] = handler
}

// Serve accepts connections and serves their calls until Close. It closes the listener at once if Close was called before.
func (m *Messenger) Serve(listener net.Listener) {
	m.mu.Lock()
	m.listener = listener
	closed := m.closed
	m.mu.Unlock()
	if closed {
		_ = listener.Close()
		return
	}
	for {
		raw, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		go m.serveConn(raw)
	}
}

// serveConn authenticates an accepted connection and serves its calls until it is closed.
func (m *Messenger) serveConn(raw net.Conn) {
	purpose, err := handshakeServer(raw, m.key)
	if err != nil {
		_ = raw.Close()
		return
	}
	conn := m.newConn(raw, purpose)
	m.mu.Lock()
	closed := m.closed
	m.accepted[conn] = raw
	m.mu.Unlock()
	if closed {
		_ = conn.Close()
	}
	<-conn.DisconnectNotify()
	m.mu.Lock()
	delete(m.accepted, conn)
	m.mu.Unlock()
}

// newConn returns a JSON-RPC connection over raw. Its calls are handled concurrently.
func (m *Messenger) newConn(raw net.Conn, purpose Purpose) *jsonrpc2.Conn {
	counting := &countingConn{Conn: raw, counter: m.counter, purpose: purpose.String()}
	if m.onSent != nil {
		counting.onSent = func(bytes int) { m.onSent(purpose, raw, bytes) }
	}
	stream := jsonrpc2.NewPlainObjectStream(counting)
	handler := &concurrentHandler{messenger: m, next: jsonrpc2.HandlerWithError(m.dispatch).SuppressErrClosed()}
	return jsonrpc2.NewConn(context.Background(), stream, handler, jsonrpc2.SetLogger(logger.Silent{}))
}

// concurrentHandler handles each call in its own goroutine. Next also writes the reply.
type concurrentHandler struct {
	messenger *Messenger
	next      jsonrpc2.Handler
}

// Handle implements jsonrpc2.Handler.
func (h *concurrentHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if h.messenger.beginCall() {
		go func() {
			defer h.messenger.running.Done()
			h.next.Handle(ctx, conn, req)
		}()
	}
}

// beginCall counts a call as running. It returns false if the call is not to be handled because of Close; the peer then
// learns from the end of the connection that there is no reply.
func (m *Messenger) beginCall() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closing {
		return false
	}
	m.running.Add(1)
	return true
}

// dispatch calls the handler of the requested method.
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

// Call calls a method of the peer and decodes the response into result. The error wraps ErrUnreachable if no response
// came; the peer may have run the method all the same. An error of the peer's handler is returned as *jsonrpc2.Error.
func (m *Messenger) Call(ctx context.Context, to netip.AddrPort, purpose Purpose, method string, params, result any) error {
	return m.callWithin(ctx, callTimeout, endpoint{to, purpose}, method, params, result)
}

// CallForLarge is like Call for a response of about the size in bytes, which gets the time that it takes on a thin link.
func (m *Messenger) CallForLarge(
	ctx context.Context, to netip.AddrPort, purpose Purpose, method string, params, result any, responseBytes int,
) error {
	return m.callWithin(ctx, callTimeout+transferTime(responseBytes), endpoint{to, purpose}, method, params, result)
}

// callWithin does what Call does, with a timeout.
func (m *Messenger) callWithin(ctx context.Context, timeout time.Duration, peer endpoint, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	out, err := m.outgoingTo(peer)
	if err != nil {
		return err
	}
	return m.callOver(ctx, peer, out, method, params, result)
}

// Notify sends a message to which the peer does not respond. The error wraps ErrUnreachable if it could not be sent.
func (m *Messenger) Notify(ctx context.Context, to netip.AddrPort, purpose Purpose, method string, params any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	peer := endpoint{to, purpose}
	out, err := m.outgoingTo(peer)
	if err != nil {
		return err
	}
	conn, err := out.await(ctx, peer)
	if err != nil {
		return err
	}
	if err := conn.Notify(ctx, method, params); err != nil {
		m.closeOutgoing(peer, conn)
		return fmt.Errorf("%w: %s: %s: %w", ErrUnreachable, to, method, err)
	}
	return nil
}

// outgoingTo returns the connection to an endpoint and dials it if there is none. Concurrent callers share one dial.
func (m *Messenger) outgoingTo(to endpoint) (*outgoingConn, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return nil, ErrClosed
	}
	out, ok := m.outgoing[to]
	if !ok {
		out = &outgoingConn{ready: make(chan struct{})}
		m.outgoing[to] = out
		go m.open(to, out)
	}
	return out, nil
}

// await waits until the connection is open. The error wraps ErrUnreachable.
func (o *outgoingConn) await(ctx context.Context, to endpoint) (*jsonrpc2.Conn, error) {
	select {
	case <-o.ready:
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %s: %w", ErrUnreachable, to.address, ctx.Err())
	}
	if o.err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, o.err)
	}
	return o.conn, nil
}

// open dials and authenticates the connection out, which is removed when it fails or disconnects.
func (m *Messenger) open(to endpoint, out *outgoingConn) {
	raw, err := m.dial(to.address, dialTimeout)
	if err == nil {
		err = handshakeClient(raw, m.key, to.purpose)
	}
	if !m.becomeReady(to, out, raw, err) {
		if raw != nil {
			_ = raw.Close()
		}
		return
	}
	go func() {
		<-out.conn.DisconnectNotify()
		m.removeOutgoing(to, out)
	}()
}

// becomeReady makes the connection out ready and reports whether it is open. If it couldn't be opened, or the messenger was closed
// meanwhile, it gets the error and is removed. Abort, which holds the same lock, closes the connections that are ready.
func (m *Messenger) becomeReady(to endpoint, out *outgoingConn, raw net.Conn, err error) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	defer close(out.ready)
	if err == nil && m.closed {
		err = ErrClosed
	}
	if err != nil {
		out.err = err
		m.forget(to, out)
		return false
	}
	out.conn = m.newConn(raw, to.purpose)
	return true
}

// removeOutgoing removes out, unless another connection has replaced it.
func (m *Messenger) removeOutgoing(to endpoint, out *outgoingConn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.forget(to, out)
}

// forget does what removeOutgoing does. It is called with mu held.
func (m *Messenger) forget(to endpoint, out *outgoingConn) {
	if m.outgoing[to] == out {
		delete(m.outgoing, to)
	}
}

// closeOutgoing closes conn and removes it, unless another connection has replaced it.
func (m *Messenger) closeOutgoing(to endpoint, conn *jsonrpc2.Conn) {
	m.mu.Lock()
	if out := m.outgoing[to]; out != nil && out.isReady() && out.conn == conn {
		delete(m.outgoing, to)
	}
	m.mu.Unlock()
	_ = conn.Close()
}

// Close stops handling further calls of peers, waits until the replies to those that run have arrived, at most until ctx
// is done, and closes the messenger as Abort does.
func (m *Messenger) Close(ctx context.Context) {
	m.mu.Lock()
	m.closing = true
	m.mu.Unlock()
	done := make(chan struct{})
	go func() {
		m.running.Wait()
		m.finishAccepted()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
	m.Abort()
}

// finishAccepted closes the accepted connections for writing and waits until the peers have closed them: closing one with
// unread calls at once would reset it before the peer has read the last reply.
func (m *Messenger) finishAccepted() {
	m.mu.Lock()
	accepted := maps.Clone(m.accepted)
	m.mu.Unlock()
	for conn, raw := range accepted {
		halfCloser, ok := raw.(interface{ CloseWrite() error })
		if !ok || halfCloser.CloseWrite() != nil {
			_ = conn.Close()
		}
	}
	for conn := range accepted {
		<-conn.DisconnectNotify()
	}
}

// Abort closes the listener and every connection; those that are still being dialled are closed once they are open. Further calls
// return ErrClosed.
func (m *Messenger) Abort() {
	m.mu.Lock()
	m.closing = true
	m.closed = true
	listener := m.listener
	var openConns []*jsonrpc2.Conn
	for conn := range m.accepted {
		openConns = append(openConns, conn)
	}
	for _, out := range m.outgoing {
		if out.isReady() && out.conn != nil {
			openConns = append(openConns, out.conn)
		}
	}
	m.mu.Unlock()
	if listener != nil {
		_ = listener.Close()
	}
	for _, conn := range openConns {
		_ = conn.Close()
	}
}

// segmentHeaderBytes is the size of the IP and TCP headers of the segment that carries a message.
const segmentHeaderBytes = 40

// countingConn counts the bytes that are written to a connection, and limits the time that a write takes.
type countingConn struct {
	net.Conn
	counter ByteCounter
	// onSent is called with the counted bytes; it can be nil.
	onSent  func(bytes int)
	purpose string
}

// Write implements net.Conn. It counts the sent bytes and the headers of one segment. A connection with a message that is cut
// short can't be used any more, so it is closed.
func (c *countingConn) Write(p []byte) (int, error) {
	written := 0
	for rest := range slices.Chunk(p, writeChunkBytes) {
		// If the deadline can't be set, the connection is closed and the write fails.
		_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
		n, err := c.Conn.Write(rest)
		written += n
		if err != nil {
			_ = c.Close()
			return written, err
		}
	}
	c.counter.AddControlBytes(c.purpose, written+segmentHeaderBytes)
	if c.onSent != nil {
		c.onSent(written + segmentHeaderBytes)
	}
	return written, nil
}

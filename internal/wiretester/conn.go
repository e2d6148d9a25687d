package wiretester

import (
	"bytes"
	"io"
	"net"
	"time"
)

// conn is a connection on which a peer has sent some bytes before it has closed its side. What is written is dropped.
type conn struct {
	// Conn is nil: the methods below are all that a reader of messages calls.
	net.Conn
	received io.Reader
}

// NewConn returns a connection on which the wire's bytes arrive, and then the end of the stream.
func NewConn(wire []byte) net.Conn {
	return &conn{received: bytes.NewReader(wire)}
}

// Read implements net.Conn.
func (c *conn) Read(buffer []byte) (int, error) { return c.received.Read(buffer) }

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) { return len(data), nil }

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

package forwarder

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

// bufferBytes is the size of a connection's read buffer and of its write buffer.
const bufferBytes = 2048

// conn is a connection with its buffers and the times that decide whether it is reused.
type conn struct {
	net.Conn
	// failedIDs are the ids of the requests whose responses were failures.
	failedIDs map[string]struct{}
	// isUsed is true if an exchange on the connection has ended.
	isUsed bool
	// keepAlive limits the idle time by the server's Keep-Alive header; zero if there was none.
	keepAlive time.Duration
	opened    time.Time
	// limited is the source of reader.
	limited  *limitedReader
	reader   *bufio.Reader
	lastUsed time.Time
	writer   *bufio.Writer
}

// sentCounter counts the bytes that are written to a connection.
type sentCounter struct {
	io.Writer
	onSent func(bytes int)
}

// Write implements io.Writer.
func (w sentCounter) Write(data []byte) (int, error) {
	n, err := w.Writer.Write(data)
	w.onSent(n)
	return n, err
}

// countSent makes onSent be called with the bytes of each write. It must be called before the first one.
func (c *conn) countSent(onSent func(bytes int)) {
	c.writer.Reset(sentCounter{Writer: c.Conn, onSent: onSent})
}

func newConn(raw net.Conn, now time.Time) *conn {
	limited := &limitedReader{source: raw}
	return &conn{
		Conn:     raw,
		limited:  limited,
		opened:   now,
		reader:   bufio.NewReaderSize(limited, bufferBytes),
		lastUsed: now,
		writer:   bufio.NewWriterSize(raw, bufferBytes),
	}
}

// limitedReader limits the bytes that are read for one exchange. It counts all of them, including those that the HTTP
// parser skips.
type limitedReader struct {
	// err is the error of the exchange's last read; nil if it has succeeded.
	err       error
	remaining int
	source    io.Reader
}

// Read implements io.Reader. It returns ErrTooLong when no bytes remain.
func (r *limitedReader) Read(buffer []byte) (int, error) {
	if r.remaining <= 0 {
		r.err = ErrTooLong
		return 0, r.err
	}
	var n int
	n, r.err = r.source.Read(buffer[:min(len(buffer), r.remaining)])
	r.remaining -= n
	return n, r.err
}

// isClean reports whether an idle connection can be used for a request: the peer has not closed it and there is no
// unread input.
func (c *conn) isClean() bool {
	return c.reader.Buffered() == 0 && !HasInput(c.Conn)
}

// HasInput reports whether a read from c would return at once, with data, the end of the stream or an error. It does
// not consume input. It returns false for connections that do not implement syscall.Conn.
func HasInput(c net.Conn) bool {
	n, err := peek(c)
	return n >= 0 || !isNoInput(err)
}

// IsClosed reports whether the peer has closed its side of c or reset the connection. It does not consume input.
func IsClosed(c net.Conn) bool {
	n, err := peek(c)
	return n == 0 || (n < 0 && !isNoInput(err))
}

// isNoInput reports whether a peek failed only because nothing can be read yet or peeking is not supported.
func isNoInput(err error) bool {
	return errors.Is(err, syscall.EAGAIN) || errors.Is(err, errors.ErrUnsupported)
}

// peek returns 1 if input is available, 0 at the end of the stream, and -1 with an error otherwise. It does not block.
func peek(c net.Conn) (int, error) {
	source, ok := c.(syscall.Conn)
	if !ok {
		return -1, errors.ErrUnsupported
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return -1, err
	}
	n := -1
	var recvErr error
	controlErr := raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, recvErr = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if controlErr != nil {
		return -1, controlErr
	}
	return n, recvErr
}

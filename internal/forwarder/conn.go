package forwarder

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

const bufferBytes = 2048

// conn is one connection with its buffers.
type conn struct {
	net.Conn
	// keepAlive is how long the connection may be idle as the other end says; zero where it does not.
	keepAlive time.Duration
	opened    time.Time
	// limit is what reader reads from.
	limit  *limitedReader
	reader *bufio.Reader
	used   time.Time
	writer *bufio.Writer
}

func newConn(raw net.Conn, now time.Time) *conn {
	limit := &limitedReader{source: raw}
	return &conn{
		Conn:   raw,
		limit:  limit,
		opened: now,
		reader: bufio.NewReaderSize(limit, bufferBytes),
		used:   now,
		writer: bufio.NewWriterSize(raw, bufferBytes),
	}
}

// limitedReader reads up to a number of bytes. It bounds all of an answer, also what its reader skips.
type limitedReader struct {
	left   int
	source io.Reader
}

// Read implements io.Reader. It returns ErrTooLong when the bytes are used up.
func (r *limitedReader) Read(buffer []byte) (int, error) {
	if r.left <= 0 {
		return 0, ErrTooLong
	}
	n, err := r.source.Read(buffer[:min(len(buffer), r.left)])
	r.left -= n
	return n, err
}

// isClean reports whether an idle connection can carry a request: the peer has not closed it and
// nothing unread is left on it.
func (c *conn) isClean() bool {
	return c.reader.Buffered() == 0 && !HasInput(c.Conn)
}

// HasInput reports whether a read from c would return at once, be it with data, the end of the
// stream or an error. It takes nothing from the stream. Connections other than TCP report false.
func HasInput(c net.Conn) bool {
	n, err := peek(c)
	return n >= 0 || !isEmpty(err)
}

// IsClosed reports whether the other end of c has closed its side or reset the connection.
func IsClosed(c net.Conn) bool {
	n, err := peek(c)
	return n == 0 || (n < 0 && !isEmpty(err))
}

func isEmpty(err error) bool {
	return errors.Is(err, syscall.EAGAIN) || errors.Is(err, errors.ErrUnsupported)
}

// peek returns the number of bytes that are ready, zero at the end of the stream and -1 with an
// error otherwise.
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
	var failure error
	control := raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, failure = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if control != nil {
		return -1, control
	}
	return n, failure
}

package forwarder

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

const (
	endlessMaxBody = 64 << 10
	// endlessAllowance is what a system's socket buffers can hold beside what the pool reads.
	endlessAllowance = 16 << 20
	// endlessBytes is where the other end gives up, so that a failing test ends.
	endlessBytes = 64 << 20
)

// serveEndless answers each request with start and then with unit again and again until the connection is closed.
// It returns its address and the number of bytes that it has sent; done is closed with the first connection.
func serveEndless(t *testing.T, start, unit string) (address netip.AddrPort, sent *atomic.Int64, done chan struct{}) {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	sent, done = &atomic.Int64{}, make(chan struct{})
	block := []byte(strings.Repeat(unit, 1+(16<<10)/len(unit)))
	go func() {
		defer close(done)
		c, err := socket.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		if _, err := c.Read(make([]byte, 4096)); err != nil {
			return
		}
		n, err := c.Write([]byte(start))
		for sent.Add(int64(n)); err == nil && sent.Load() < endlessBytes; sent.Add(int64(n)) {
			n, err = c.Write(block)
		}
	}()
	return socket.Addr().(*net.TCPAddr).AddrPort(), sent, done
}

// TestAnswerWithoutEnd guards against an upstream that sends bytes without end, in a head, in a body or after it:
// the caller must get an error and the connection be closed, long before the deadline and with bounded memory.
func TestAnswerWithoutEnd(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	tests := []struct{ name, start, unit string }{
		{"a head of one field", "HTTP/1.1 200 OK\r\nA: ", "a"},
		{"a head of many fields", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		{"a head of fields that go on", "HTTP/1.1 200 OK\r\nA: b\r\n", " b\r\n"},
		{"a status line", "HTTP/1.1 200 ", "a"},
		{"empty lines", "", "\r\n"},
		{"no line", "", "\x00\xff"},
		{"lines that are no head", "", "x\n"},
		{"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"interim answers with fields", "", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
		{"answers to others", "", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nx"},
		{"a body to the end of the stream", "HTTP/1.1 200 OK\r\nId: own\r\nConnection: close\r\n\r\n", "x"},
		{"a body of a great length", "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 1099511627776\r\n\r\n", "x"},
		{"chunks", chunked, "1\r\nx\r\n"},
		{"one great chunk", chunked + "7fffffff\r\n", "x"},
		{"a length of a chunk", chunked, "0"},
		{"an extension of a chunk", chunked + "1;", "a"},
		{"a trailer of one field", chunked + "0\r\nA: ", "a"},
		{"a trailer of many fields", chunked + "0\r\n", "A: b\r\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address, sent, done := serveEndless(t, test.start, test.unit)
			p := New(address, timekeeper.System{}, WithMaxBody(endlessMaxBody), WithUnframed())
			body, err := askWithin(p, time.Minute)
			if !errors.Is(err, ErrTooLong) && !errors.Is(err, ErrForeign) && !errors.Is(err, ErrLost) {
				t.Errorf("got %v, body of %d bytes", err, len(body))
			}
			<-done
			if got := sent.Load(); got > endlessAllowance {
				t.Errorf("%d bytes were taken", got)
			}
		})
	}
}

// TestBytesWithoutEndAfterAnAnswer guards against an upstream that goes on after a whole answer: the answer counts,
// and the connection is closed.
func TestBytesWithoutEndAfterAnAnswer(t *testing.T) {
	address, sent, done := serveEndless(t, "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 3\r\n\r\nown", "x")
	p := New(address, timekeeper.System{}, WithMaxBody(endlessMaxBody))
	if body, err := askWithin(p, time.Minute); err != nil || body != "own" {
		t.Errorf("got %q, %v", body, err)
	}
	// What comes after the connection was put back is found when the next request would take it.
	_, _ = askWithin(p, 100*time.Millisecond)
	<-done
	if got := sent.Load(); got > endlessAllowance {
		t.Errorf("%d bytes were taken", got)
	}
}

func askWithin(p *Pool, limit time.Duration) (string, error) {
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI("/")
	req.Header.SetHost("test")
	err := p.Do(context.Background(), &Exchange{
		Accept:   func(header *fasthttp.ResponseHeader) bool { return string(header.Peek("Id")) != "other" },
		Deadline: time.Now().Add(limit),
		Request:  req,
		Response: resp,
	})
	return string(resp.Body()), err
}

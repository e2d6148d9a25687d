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
	// endlessAllowance is how many bytes the server can send at most: those that the pool reads, and those that the
	// socket buffers of the operating system hold.
	endlessAllowance = 16 << 20
	// endlessBytes is where the server stops sending, so that a failing test ends.
	endlessBytes = 64 << 20
)

// serveEndless accepts one connection and answers its first request with prefix and then with repeated, over and over,
// until the connection is closed or endlessBytes are sent. It returns its address and the number of bytes sent; done
// is closed when it stops sending.
func serveEndless(t *testing.T, prefix, repeated string) (address netip.AddrPort, sent *atomic.Int64, done chan struct{}) {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	sent, done = &atomic.Int64{}, make(chan struct{})
	block := []byte(strings.Repeat(repeated, 1+(16<<10)/len(repeated)))
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
		n, err := c.Write([]byte(prefix))
		for sent.Add(int64(n)); err == nil && sent.Load() < endlessBytes; sent.Add(int64(n)) {
			n, err = c.Write(block)
		}
	}()
	return socket.Addr().(*net.TCPAddr).AddrPort(), sent, done
}

// TestEndlessResponse guards against an upstream that never stops sending, in a header, in a body or in a trailer. The
// caller must get an error and the connection must be closed, long before the deadline and with bounded memory.
func TestEndlessResponse(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	tests := []struct{ name, prefix, repeated string }{
		{"header with one endless field", "HTTP/1.1 200 OK\r\nA: ", "a"},
		{"header with endless fields", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		{"header field with endless continuation lines", "HTTP/1.1 200 OK\r\nA: b\r\n", " b\r\n"},
		{"endless status line", "HTTP/1.1 200 ", "a"},
		{"endless empty lines", "", "\r\n"},
		{"bytes without a line end", "", "\x00\xff"},
		{"lines that are not a header", "", "x\n"},
		{"endless interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"endless interim responses with fields", "", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
		{"endless responses to other requests", "", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nx"},
		{"endless body without a length", "HTTP/1.1 200 OK\r\nId: own\r\nConnection: close\r\n\r\n", "x"},
		{"body with a huge length", "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 1099511627776\r\n\r\n", "x"},
		{"endless chunks", chunked, "1\r\nx\r\n"},
		{"huge chunk", chunked + "7fffffff\r\n", "x"},
		{"endless chunk length", chunked, "0"},
		{"endless chunk extension", chunked + "1;", "a"},
		{"trailer with one endless field", chunked + "0\r\nA: ", "a"},
		{"trailer with endless fields", chunked + "0\r\n", "A: b\r\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address, sent, done := serveEndless(t, test.prefix, test.repeated)
			p := New(address, timekeeper.System{}, WithMaxBody(endlessMaxBody), AcceptNoLength())
			body, err := doRejectingOther(p, time.Minute)
			if !errors.Is(err, ErrTooLong) && !errors.Is(err, ErrForeign) && !errors.Is(err, ErrLost) && !errors.Is(err, ErrMalformed) {
				t.Errorf("got %v, body of %d bytes", err, len(body))
			}
			<-done
			if got := sent.Load(); got > endlessAllowance {
				t.Errorf("the server sent %d bytes before the connection was closed", got)
			}
		})
	}
}

// TestEndlessBytesAfterResponse guards against an upstream that goes on sending after a whole response: the response is
// returned, and the connection is closed.
func TestEndlessBytesAfterResponse(t *testing.T) {
	address, sent, done := serveEndless(t, "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 3\r\n\r\nown", "x")
	p := New(address, timekeeper.System{}, WithMaxBody(endlessMaxBody))
	if body, err := doRejectingOther(p, time.Minute); err != nil || body != "own" {
		t.Errorf("got %q, %v", body, err)
	}
	// Bytes that arrive after the connection was released are found when the next request checks it for reuse.
	_, _ = doRejectingOther(p, 100*time.Millisecond)
	<-done
	if got := sent.Load(); got > endlessAllowance {
		t.Errorf("the server sent %d bytes before the connection was closed", got)
	}
}

// doRejectingOther sends one request and skips responses with the id "other".
func doRejectingOther(p *Pool, timeout time.Duration) (string, error) {
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI("/")
	req.Header.SetHost("test")
	err := p.Do(context.Background(), &Exchange{
		Accept:   func(header *fasthttp.ResponseHeader) bool { return string(header.Peek("Id")) != "other" },
		Deadline: time.Now().Add(timeout),
		Request:  req,
		Response: resp,
	})
	return string(resp.Body()), err
}

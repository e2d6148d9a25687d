package listener

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// testTimeout limits how long a test waits for a broken listener. No check depends on a shorter time.
const testTimeout = 20 * time.Second

// startListener starts a listener on loopback and returns it with its address.
func startListener(t *testing.T, handle Handler) (*Listener, string) {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return serveListener(t, socket, handle), socket.Addr().String()
}

// serveListener starts a listener that accepts connections from socket.
func serveListener(t *testing.T, socket net.Listener, handle Handler) *Listener {
	t.Helper()
	l := New(Config{
		Handle: handle,
		Limits: func() Limits {
			return Limits{HeaderTimeout: 200 * time.Millisecond, IdleTimeout: testTimeout, MaxBodyBytes: 100, MaxHeaderBytes: 4096}
		},
		Refuse: func(resp *fasthttp.Response, cause error) {
			var netErr net.Error
			var small *fasthttp.ErrSmallBuffer
			switch {
			case errors.Is(cause, fasthttp.ErrBodyTooLarge):
				resp.SetStatusCode(fasthttp.StatusRequestEntityTooLarge)
			case errors.As(cause, &netErr) && netErr.Timeout():
				resp.SetStatusCode(fasthttp.StatusRequestTimeout)
			case errors.As(cause, &small):
				resp.SetStatusCode(fasthttp.StatusRequestHeaderFieldsTooLarge)
			default:
				resp.SetStatusCode(fasthttp.StatusBadRequest)
			}
		},
	})
	go l.Serve(socket)
	t.Cleanup(l.Abort)
	return l
}

// dialAndSend opens a connection and sends text on it.
func dialAndSend(t *testing.T, address, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn, bufio.NewReader(conn)
}

func readResponse(t *testing.T, r *bufio.Reader) *fasthttp.Response {
	t.Helper()
	resp := &fasthttp.Response{}
	if err := resp.Read(r); err != nil {
		t.Fatalf("reading a response: %v", err)
	}
	return resp
}

func getRequest(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: test\r\n\r\n"
}

func echoHandler(_ context.Context, req *fasthttp.Request, resp *fasthttp.Response) {
	resp.SetBodyString(string(req.Header.Method()) + " " + string(req.Header.RequestURI()) + " " + string(req.Body()))
}

// TestPipelinedGetsRunConcurrently blocks the first request until the second one has started.
func TestPipelinedGetsRunConcurrently(t *testing.T) {
	second := make(chan struct{})
	_, address := startListener(t, func(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) {
		if string(req.Header.RequestURI()) == "/1" {
			<-second
		} else {
			close(second)
		}
		echoHandler(ctx, req, resp)
	})
	_, reader := dialAndSend(t, address, getRequest("/1")+getRequest("/2"))
	for _, want := range []string{"GET /1 ", "GET /2 "} {
		if got := string(readResponse(t, reader).Body()); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}

// TestPipelinedPostsRunSequentially sends two POST requests at once, which must not run at the same time.
func TestPipelinedPostsRunSequentially(t *testing.T) {
	var running, maxRunning atomic.Int64
	_, address := startListener(t, func(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) {
		maxRunning.Store(max(maxRunning.Load(), running.Add(1)))
		time.Sleep(20 * time.Millisecond)
		echoHandler(ctx, req, resp)
		running.Add(-1)
	})
	post := func(body string) string {
		return fmt.Sprintf("POST / HTTP/1.1\r\nHost: test\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	_, reader := dialAndSend(t, address, post("a")+post("b"))
	for _, want := range []string{"POST / a", "POST / b"} {
		if got := string(readResponse(t, reader).Body()); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	if maxRunning.Load() != 1 {
		t.Errorf("%d requests ran at once", maxRunning.Load())
	}
}

// TestClosedConnectionCancelsRequest closes the caller's connection while its request runs.
func TestClosedConnectionCancelsRequest(t *testing.T) {
	started, cancelled := make(chan struct{}), make(chan struct{})
	_, address := startListener(t, func(ctx context.Context, _ *fasthttp.Request, _ *fasthttp.Response) {
		close(started)
		<-ctx.Done()
		close(cancelled)
	})
	conn, _ := dialAndSend(t, address, getRequest("/"))
	<-started
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	select {
	case <-cancelled:
	case <-time.After(testTimeout):
		t.Error("the request was not cancelled")
	}
}

func TestInvalidRequestsAreRefused(t *testing.T) {
	_, address := startListener(t, echoHandler)
	tests := []struct {
		name, text string
		status     int
	}{
		{"long header", "GET / HTTP/1.1\r\nHost: test\r\nLong: " + strings.Repeat("x", 8000) + "\r\n\r\n", 431},
		{"large body", "POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 101\r\n\r\n" + strings.Repeat("x", 101), 413},
		{"not HTTP", "what is this\r\n\r\n", 400},
		{"incomplete header", "GET / HTTP/1.1\r\nHost: te", 408},
	}
	for _, test := range tests {
		_, reader := dialAndSend(t, address, test.text)
		resp := readResponse(t, reader)
		if resp.StatusCode() != test.status || !resp.ConnectionClose() {
			t.Errorf("%s: status %d, closes the connection: %t, want status %d", test.name, resp.StatusCode(), resp.ConnectionClose(), test.status)
		}
		if _, err := reader.ReadByte(); !errors.Is(err, io.EOF) {
			t.Errorf("%s: reading after the response returned %v, want EOF", test.name, err)
		}
	}
}

// TestLongHeaderWithinLimit sends a header that is longer than the initial read buffer.
func TestLongHeaderWithinLimit(t *testing.T) {
	_, address := startListener(t, echoHandler)
	_, reader := dialAndSend(t, address, "GET /long HTTP/1.1\r\nHost: test\r\nLong: "+strings.Repeat("x", 3500)+"\r\n\r\n"+getRequest("/next"))
	for _, want := range []string{"GET /long ", "GET /next "} {
		if got := string(readResponse(t, reader).Body()); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}

func TestChunkedBody(t *testing.T) {
	_, address := startListener(t, echoHandler)
	_, reader := dialAndSend(t, address, "POST / HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"+getRequest("/next"))
	for _, want := range []string{"POST / abcde", "GET /next "} {
		if got := string(readResponse(t, reader).Body()); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}

// TestDrainClosesConnections checks that requests on open and on new connections are answered during a drain, and that
// each response closes its connection.
func TestDrainClosesConnections(t *testing.T) {
	l, address := startListener(t, echoHandler)
	conn, reader := dialAndSend(t, address, getRequest("/before"))
	if resp := readResponse(t, reader); resp.ConnectionClose() {
		t.Error("the connection was closed before the drain")
	}
	l.Drain()
	if _, err := io.WriteString(conn, getRequest("/after")); err != nil {
		t.Fatal(err)
	}
	if resp := readResponse(t, reader); !resp.ConnectionClose() || string(resp.Body()) != "GET /after " {
		t.Errorf("after the drain: body %q, closes the connection: %t", resp.Body(), resp.ConnectionClose())
	}
	_, reader = dialAndSend(t, address, getRequest("/new"))
	if resp := readResponse(t, reader); !resp.ConnectionClose() {
		t.Error("a new connection was kept open")
	}
}

// TestCloseWaitsForRequestsInFlight closes the listener while one connection is idle and a request runs on another.
func TestCloseWaitsForRequestsInFlight(t *testing.T) {
	started, proceed := make(chan struct{}), make(chan struct{})
	l, address := startListener(t, func(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) {
		close(started)
		<-proceed
		echoHandler(ctx, req, resp)
	})
	idle, _ := dialAndSend(t, address, "")
	_, reader := dialAndSend(t, address, getRequest("/slow"))
	<-started
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		l.Close(ctx)
	}()
	if _, err := idle.Read(make([]byte, 1)); err == nil {
		t.Error("an idle connection was not closed")
	}
	close(proceed)
	if got := string(readResponse(t, reader).Body()); got != "GET /slow " {
		t.Errorf("got %q", got)
	}
	<-closed
}

package listener

import (
	"bufio"
	"context"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/forwarder"
)

// largeBodyBytes is more than the buffers of a connection on loopback hold.
const largeBodyBytes = 16 << 20

// TestCallerThatDoesNotReadDoesNotDelayClose guards against a shutdown that waits for a caller to read its response.
func TestCallerThatDoesNotReadDoesNotDelayClose(t *testing.T) {
	const limit, tolerance = 200 * time.Millisecond, 2 * time.Second
	l, address := startListener(t, func(_ context.Context, _ *fasthttp.Request, resp *fasthttp.Response) {
		resp.SetBody(make([]byte, largeBodyBytes))
	})
	_, reader := dialAndSend(t, address, getRequest("/unread"))
	// The first byte shows that the response is being written.
	if _, err := reader.ReadByte(); err != nil {
		t.Fatal(err)
	}
	started := time.Now()
	if got := l.InFlight(); got != 1 {
		t.Errorf("%d requests are in flight, want 1", got)
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	l.Close(ctx)
	if took := time.Since(started); took > limit+tolerance {
		t.Errorf("Close took %s with a limit of %s", took, limit)
	}
}

// TestLateWriterLeavesLingeringAlone guards against a connection that stays open for the idle timeout after its last
// response, or is closed at once, because the goroutine of another request finds only then that its response is written.
func TestLateWriterLeavesLingeringAlone(t *testing.T) {
	const tolerance = 5 * time.Second
	l, address := startListener(t, echoHandler)
	_, reader := dialAndSend(t, address, "GET /last HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n")
	readResponse(t, reader)
	answered := time.Now()
	for _, c := range l.openConns() {
		for c.inFlight() > 0 {
			time.Sleep(time.Millisecond)
		}
		c.writeReady()
	}
	for len(l.openConns()) > 0 && time.Since(answered) < lingerTimeout+tolerance {
		time.Sleep(time.Millisecond)
	}
	if took := time.Since(answered); took >= lingerTimeout+tolerance {
		t.Errorf("the connection is open %s after its last response", took)
	}
}

// TestQueuedRequestIsAnsweredDuringDrain guards against a drain that discards a request that was read in full and waits
// for the one before it.
func TestQueuedRequestIsAnsweredDuringDrain(t *testing.T) {
	started, proceed := make(chan struct{}), make(chan struct{})
	l, address := startListener(t, func(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) {
		if req.Header.IsGet() {
			close(started)
			<-proceed
		}
		echoHandler(ctx, req, resp)
	})
	_, reader := dialAndSend(t, address, getRequest("/first")+aroundRequest+aroundRequest)
	<-started
	for l.InFlight() < 3 {
		time.Sleep(time.Millisecond)
	}
	l.StartShutdown()
	close(proceed)
	for _, want := range []string{"GET /first ", "POST /around body", "POST /around body"} {
		resp := &fasthttp.Response{}
		if err := resp.Read(reader); err != nil {
			t.Fatalf("reading the response %q: %v", want, err)
		}
		if got := string(resp.Body()); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}

// TestPipeliningCallerDoesNotDelayClose guards against a shutdown that goes on for as long as a caller has another request
// on its way.
func TestPipeliningCallerDoesNotDelayClose(t *testing.T) {
	const depth = 4
	for _, request := range []string{getRequest("/around"), aroundRequest} {
		l, address := startListener(t, func(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) {
			time.Sleep(time.Millisecond)
			echoHandler(ctx, req, resp)
		})
		conn, reader := dialAndSend(t, address, strings.Repeat(request, depth))
		isClosed := make(chan struct{})
		go func() {
			defer close(isClosed)
			var resp fasthttp.Response
			for resp.Read(reader) == nil && !resp.ConnectionClose() {
				if _, err := io.WriteString(conn, request); err != nil {
					return
				}
			}
			_ = conn.Close()
		}()
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout/4)
		l.Close(ctx)
		if ctx.Err() != nil {
			t.Errorf("Close waited for its limit while a caller sent %q", request)
		}
		cancel()
		<-isClosed
	}
}

// expiringConn reports in its first Read that the deadline has passed, once a request can be read, and calls
// beforeRead before the second one, when the new deadline has been set.
type expiringConn struct {
	*net.TCPConn
	expired    bool
	beforeRead func()
}

func (c *expiringConn) Read(buffer []byte) (int, error) {
	if c.expired {
		c.beforeRead()
		return c.TCPConn.Read(buffer)
	}
	c.expired = true
	for !forwarder.HasInput(c.TCPConn) {
		time.Sleep(time.Millisecond)
	}
	return 0, os.ErrDeadlineExceeded
}

type expiringListener struct {
	net.Listener
	beforeRead func()
}

func (l *expiringListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &expiringConn{TCPConn: conn.(*net.TCPConn), beforeRead: l.beforeRead}, nil
}

// TestShutdownAfterIdleTimeoutLeavesNoRequestUnread guards against a request that arrives when the idle timeout ends,
// is seen, and is then not read because the shutdown starts.
func TestShutdownAfterIdleTimeoutLeavesNoRequestUnread(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var l *Listener
	expiring := &expiringListener{Listener: socket, beforeRead: func() { l.StartShutdown() }}
	l = New(Config{Handle: echoHandler, Limits: func() Limits {
		return Limits{HeaderTimeout: testTimeout, IdleTimeout: testTimeout, MaxBodyBytes: 100, MaxHeaderBytes: 4096}
	}})
	go l.Serve(expiring)
	t.Cleanup(l.Abort)
	_, reader := dialAndSend(t, socket.Addr().String(), aroundRequest)
	if got := string(readResponse(t, reader).Body()); got != "POST /around body" {
		t.Errorf("got %q", got)
	}
}

// pipeListener accepts the connections that are sent to it.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	close  func()
}

// newPipeListener returns a listener for tests with a virtual clock.
func newPipeListener() *pipeListener {
	closed := make(chan struct{})
	return &pipeListener{conns: make(chan net.Conn), closed: closed, close: sync.OnceFunc(func() { close(closed) })}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Addr() net.Addr { return nil }

func (l *pipeListener) Close() error {
	l.close()
	return nil
}

// TestContinueAfterPause guards against a request with a body that waits for the interim response and is refused,
// because the time for writing the response before it has passed.
func TestContinueAfterPause(t *testing.T) {
	startDateClock(t)
	synctest.Test(t, func(t *testing.T) {
		socket := newPipeListener()
		l := serveListener(t, socket, echoHandler)
		defer l.Abort()
		caller, served := net.Pipe()
		socket.conns <- served
		reader := bufio.NewReader(caller)
		send(t, caller, getRequest("/first"))
		readResponse(t, reader)
		time.Sleep(writeTimeout + time.Second)
		send(t, caller, "POST /next HTTP/1.1\r\nHost: test\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n")
		status, err := reader.ReadString('\n')
		if err != nil || !strings.Contains(status, "100") {
			t.Fatalf("the interim response is %q: %v", status, err)
		}
	})
}

// TestContinueBehindRunningRequest guards against an interim response that arrives within or before the response to an
// earlier request.
func TestContinueBehindRunningRequest(t *testing.T) {
	startDateClock(t)
	synctest.Test(t, func(t *testing.T) {
		proceed := make(chan struct{})
		socket := newPipeListener()
		l := serveListener(t, socket, func(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) {
			<-proceed
			echoHandler(ctx, req, resp)
		})
		defer l.Abort()
		caller, served := net.Pipe()
		socket.conns <- served
		reader := bufio.NewReader(caller)
		send(t, caller, getRequest("/first"))
		// The pipe has no buffer: the write ends when the request is read.
		go func() {
			_, _ = io.WriteString(caller, "POST /next HTTP/1.1\r\nHost: test\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n")
		}()
		lines := make(chan string)
		go func() {
			line, _ := reader.ReadString('\n')
			lines <- line
		}()
		synctest.Wait()
		close(proceed)
		if status := <-lines; !strings.Contains(status, "200") {
			t.Errorf("the first response is %q", status)
		}
	})
}

// startDateClock makes the HTTP library start its clock for the Date header outside of the test's virtual time.
func startDateClock(t *testing.T) {
	t.Helper()
	if err := (&fasthttp.Response{}).Write(bufio.NewWriter(io.Discard)); err != nil {
		t.Fatal(err)
	}
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

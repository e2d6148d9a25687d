package listener

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	shutdownRounds = 40
	shutdownConns  = 64
	// shutdownSpread is the time before and after the start of the shutdown within which the requests are sent.
	shutdownSpread = 600 * time.Microsecond
)

// aroundRequest is the request that a connection sends around the start of a shutdown.
const aroundRequest = "POST /around HTTP/1.1\r\nHost: test\r\nContent-Length: 4\r\n\r\nbody"

// recordingListener counts the bytes that are read from each connection that it accepts.
type recordingListener struct {
	net.Listener
	// counts holds a counter for each connection, by the caller's address.
	counts sync.Map
}

func (l *recordingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &recordingConn{TCPConn: conn.(*net.TCPConn), count: l.count(conn.RemoteAddr())}, nil
}

// count returns the number of bytes that were read from the connection of a caller.
func (l *recordingListener) count(caller net.Addr) *atomic.Int64 {
	count, _ := l.counts.LoadOrStore(caller.String(), &atomic.Int64{})
	return count.(*atomic.Int64)
}

type recordingConn struct {
	*net.TCPConn
	count *atomic.Int64
}

func (c *recordingConn) Read(buffer []byte) (int, error) {
	n, err := c.TCPConn.Read(buffer)
	c.count.Add(int64(n))
	return n, err
}

// TestRequestReadAroundShutdownIsAnswered guards against requests that are read from connections which are being closed
// as idle, and then get no response.
func TestRequestReadAroundShutdownIsAnswered(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	answered, lost := 0, 0
	for range shutdownRounds {
		roundAnswered, roundLost := runShutdown(t, random)
		answered, lost = answered+roundAnswered, lost+roundLost
	}
	const total = shutdownRounds * shutdownConns
	t.Logf("%d of %d requests were answered, %d were not read", answered, total, total-answered-lost)
	if lost > 0 {
		t.Errorf("%d of %d requests were read and got no whole response", lost, total)
	}
}

// runShutdown shuts a listener down while each of many connections sends a request. It returns the number of requests
// that were answered and of those that were read in full and not answered.
func runShutdown(t *testing.T, random *rand.Rand) (answered, lost int) {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	recording := &recordingListener{Listener: socket}
	l := serveListener(t, recording, echoHandler)
	var conns []net.Conn
	var readers []*bufio.Reader
	// The first exchange of each connection shows that the listener has accepted it.
	for range shutdownConns {
		conn, reader := dialAndSend(t, socket.Addr().String(), getRequest("/first"))
		readResponse(t, reader)
		conns, readers = append(conns, conn), append(readers, reader)
	}
	isAnswered := make([]bool, shutdownConns)
	start := time.Now().Add(2 * shutdownSpread)
	var sending sync.WaitGroup
	for i, conn := range conns {
		at := start.Add(time.Duration(random.Int64N(int64(2*shutdownSpread))) - shutdownSpread)
		sending.Go(func() {
			time.Sleep(time.Until(at))
			isAnswered[i] = sendAround(conn, readers[i])
		})
	}
	time.Sleep(time.Until(start))
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	l.Close(ctx)
	sending.Wait()
	for i, conn := range conns {
		read := recording.count(conn.LocalAddr()).Load() == int64(len(getRequest("/first"))+len(aroundRequest))
		switch {
		case isAnswered[i]:
			answered++
		case read:
			lost++
		}
	}
	return answered, lost
}

// sendAround sends a request, reports whether its whole response arrives, and closes the connection.
func sendAround(conn net.Conn, reader *bufio.Reader) bool {
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, aroundRequest); err != nil {
		return false
	}
	var resp fasthttp.Response
	return resp.Read(reader) == nil && string(resp.Body()) == "POST /around body"
}

// TestLastResponseIsWholeBesideUnreadInput guards against a response that the caller has not received yet and that is
// discarded during a shutdown, because the connection is closed while it holds requests that were never read.
func TestLastResponseIsWholeBesideUnreadInput(t *testing.T) {
	const rounds = 20
	for range rounds {
		checkLastResponse(t)
	}
}

// checkLastResponse shuts a listener down while a request runs with more requests behind it than are read ahead.
func checkLastResponse(t *testing.T) {
	t.Helper()
	const bodyBytes = 16 << 20
	started, proceed := make(chan struct{}), make(chan struct{})
	l, address := startListener(t, func(_ context.Context, _ *fasthttp.Request, resp *fasthttp.Response) {
		close(started)
		<-proceed
		resp.SetBody(make([]byte, bodyBytes))
	})
	conn, reader := dialAndSend(t, address, getRequest("/first")+strings.Repeat(aroundRequest, 4*maxPipelined))
	<-started
	l.StartShutdown()
	close(proceed)
	resp := readResponse(t, reader)
	if got := len(resp.Body()); got != bodyBytes {
		t.Errorf("got %d bytes of a body of %d", got, bodyBytes)
	}
	_ = conn.Close()
}

// TestRequestIsAnsweredAtEndOfClose guards against requests that get no response because they are still running when
// the time for closing has passed.
func TestRequestIsAnsweredAtEndOfClose(t *testing.T) {
	started := make(chan struct{})
	l, address := startListener(t, func(ctx context.Context, _ *fasthttp.Request, resp *fasthttp.Response) {
		close(started)
		<-ctx.Done()
		resp.SetStatusCode(fasthttp.StatusBadGateway)
	})
	_, reader := dialAndSend(t, address, getRequest("/slow"))
	<-started
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		l.Close(ctx)
	}()
	if got := readResponse(t, reader).StatusCode(); got != fasthttp.StatusBadGateway {
		t.Errorf("got status %d", got)
	}
	<-closed
}

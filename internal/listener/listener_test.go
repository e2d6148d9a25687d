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

// patience bounds what a broken listener makes a test wait; no verdict depends on less.
const patience = 20 * time.Second

// serve starts a listener on loopback and returns its address.
func serve(t *testing.T, handle Handler) (*Listener, string) {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := New(Config{
		Handle: handle,
		Limits: func() Limits {
			return Limits{HeaderTimeout: 200 * time.Millisecond, IdleTimeout: patience, MaxBodyBytes: 100, MaxHeaderBytes: 4096}
		},
		Refuse: func(resp *fasthttp.Response, cause error) {
			var network net.Error
			var small *fasthttp.ErrSmallBuffer
			switch {
			case errors.Is(cause, fasthttp.ErrBodyTooLarge):
				resp.SetStatusCode(fasthttp.StatusRequestEntityTooLarge)
			case errors.As(cause, &network) && network.Timeout():
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
	return l, socket.Addr().String()
}

// dial sends text on a new connection.
func dial(t *testing.T, address, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn, bufio.NewReader(conn)
}

func read(t *testing.T, r *bufio.Reader) *fasthttp.Response {
	t.Helper()
	resp := &fasthttp.Response{}
	if err := resp.Read(r); err != nil {
		t.Fatalf("reading an answer: %v", err)
	}
	return resp
}

func get(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: test\r\n\r\n"
}

func echo(_ context.Context, req *fasthttp.Request, resp *fasthttp.Response) {
	resp.SetBodyString(string(req.Header.Method()) + " " + string(req.Header.RequestURI()) + " " + string(req.Body()))
}

// TestPipelinedRequestsRunSideBySide holds the first request until the second has run.
func TestPipelinedRequestsRunSideBySide(t *testing.T) {
	second := make(chan struct{})
	_, address := serve(t, func(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) {
		if string(req.Header.RequestURI()) == "/1" {
			<-second
		} else {
			close(second)
		}
		echo(ctx, req, resp)
	})
	_, reader := dial(t, address, get("/1")+get("/2"))
	for _, want := range []string{"GET /1 ", "GET /2 "} {
		if got := string(read(t, reader).Body()); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}

// TestRequestsWithEffectsRunInTurn sends two POST requests at once.
func TestRequestsWithEffectsRunInTurn(t *testing.T) {
	var running, most atomic.Int64
	_, address := serve(t, func(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) {
		most.Store(max(most.Load(), running.Add(1)))
		time.Sleep(20 * time.Millisecond)
		echo(ctx, req, resp)
		running.Add(-1)
	})
	post := func(body string) string {
		return fmt.Sprintf("POST / HTTP/1.1\r\nHost: test\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	_, reader := dial(t, address, post("a")+post("b"))
	for _, want := range []string{"POST / a", "POST / b"} {
		if got := string(read(t, reader).Body()); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	if most.Load() != 1 {
		t.Errorf("%d requests ran at once", most.Load())
	}
}

// TestClosedConnectionCancels closes the caller's end while its request is worked on.
func TestClosedConnectionCancels(t *testing.T) {
	begun, cancelled := make(chan struct{}), make(chan struct{})
	_, address := serve(t, func(ctx context.Context, _ *fasthttp.Request, _ *fasthttp.Response) {
		close(begun)
		<-ctx.Done()
		close(cancelled)
	})
	conn, _ := dial(t, address, get("/"))
	<-begun
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	select {
	case <-cancelled:
	case <-time.After(patience):
		t.Error("the request was not cancelled")
	}
}

func TestUnreadableRequestsAreRefused(t *testing.T) {
	_, address := serve(t, echo)
	tests := []struct {
		name, text string
		status     int
	}{
		{"long header", "GET / HTTP/1.1\r\nHost: test\r\nLong: " + strings.Repeat("x", 8000) + "\r\n\r\n", 431},
		{"large body", "POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 101\r\n\r\n" + strings.Repeat("x", 101), 413},
		{"no request", "what is this\r\n\r\n", 400},
		{"half a header", "GET / HTTP/1.1\r\nHost: te", 408},
	}
	for _, test := range tests {
		_, reader := dial(t, address, test.text)
		resp := read(t, reader)
		if resp.StatusCode() != test.status || !resp.ConnectionClose() {
			t.Errorf("%s: status %d, closes %t, want %d", test.name, resp.StatusCode(), resp.ConnectionClose(), test.status)
		}
		if _, err := reader.ReadByte(); !errors.Is(err, io.EOF) {
			t.Errorf("%s: the connection ends with %v", test.name, err)
		}
	}
}

// TestLongHeaderWithinTheLimit sends more than the first buffer holds.
func TestLongHeaderWithinTheLimit(t *testing.T) {
	_, address := serve(t, echo)
	_, reader := dial(t, address, "GET /long HTTP/1.1\r\nHost: test\r\nLong: "+strings.Repeat("x", 3500)+"\r\n\r\n"+get("/next"))
	for _, want := range []string{"GET /long ", "GET /next "} {
		if got := string(read(t, reader).Body()); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}

func TestChunkedBody(t *testing.T) {
	_, address := serve(t, echo)
	_, reader := dial(t, address, "POST / HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"+get("/next"))
	for _, want := range []string{"POST / abcde", "GET /next "} {
		if got := string(read(t, reader).Body()); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}

// TestDrainEndsConnections answers what is sent on open and new connections, and ends each.
func TestDrainEndsConnections(t *testing.T) {
	l, address := serve(t, echo)
	conn, reader := dial(t, address, get("/before"))
	if resp := read(t, reader); resp.ConnectionClose() {
		t.Error("a connection was ended before the drain")
	}
	l.Drain()
	if _, err := io.WriteString(conn, get("/after")); err != nil {
		t.Fatal(err)
	}
	if resp := read(t, reader); !resp.ConnectionClose() || string(resp.Body()) != "GET /after " {
		t.Errorf("after the drain: %q, closes %t", resp.Body(), resp.ConnectionClose())
	}
	_, reader = dial(t, address, get("/new"))
	if resp := read(t, reader); !resp.ConnectionClose() {
		t.Error("a new connection is kept open")
	}
}

// TestCloseFinishesWhatIsInFlight closes the listener while a request is worked on.
func TestCloseFinishesWhatIsInFlight(t *testing.T) {
	begun, goOn := make(chan struct{}), make(chan struct{})
	l, address := serve(t, func(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) {
		close(begun)
		<-goOn
		echo(ctx, req, resp)
	})
	idle, _ := dial(t, address, "")
	_, reader := dial(t, address, get("/slow"))
	<-begun
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		l.Close(ctx)
	}()
	if _, err := idle.Read(make([]byte, 1)); err == nil {
		t.Error("an idle connection got an answer")
	}
	close(goOn)
	if got := string(read(t, reader).Body()); got != "GET /slow " {
		t.Errorf("got %q", got)
	}
	<-closed
}

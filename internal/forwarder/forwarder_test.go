package forwarder

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
	"github.com/marigoldrelay/marigoldrelay/internal/wiretester"
)

// serveRaw answers each request with the given bytes and then calls afterResponse. It returns the address and a
// function that returns the number of accepted connections.
func serveRaw(t *testing.T, response string, afterResponse func(net.Conn)) (netip.AddrPort, func() int) {
	t.Helper()
	connections := make(chan struct{}, 100)
	address := wiretester.ServeConns(t, func(conn net.Conn) {
		connections <- struct{}{}
		var req fasthttp.Request
		reader := bufio.NewReader(conn)
		for req.Read(reader) == nil {
			_, _ = conn.Write([]byte(response))
			afterResponse(conn)
		}
	})
	return address, func() int { return len(connections) }
}

// doRequest sends one request and accepts any response.
func doRequest(p *Pool, timeout time.Duration) (*fasthttp.Response, error) {
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI("/")
	req.Header.SetHost("test")
	return resp, p.Do(context.Background(), &Exchange{Deadline: time.Now().Add(timeout), Request: req, Response: resp})
}

func TestResponseIsWholeOrError(t *testing.T) {
	tests := []struct {
		name, response string
		want           error
	}{
		{"whole", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", nil},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", nil},
		{"truncated chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", ErrLost},
		{"short body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", ErrLost},
		{"no length", "HTTP/1.1 200 OK\r\n\r\nok", ErrNoLength},
		{"truncated header", "HTTP/1.1 200 O", ErrLost},
		{"no response", "", ErrLost},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address, _ := serveRaw(t, test.response, func(c net.Conn) { _ = c.Close() })
			resp, err := doRequest(New(address, timekeeper.System{}), 5*time.Second)
			if !errors.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
			if err == nil && string(resp.Body()) != "ok" {
				t.Errorf("got %q", resp.Body())
			}
		})
	}
}

// TestTimedOutConnectionIsNotReused guards against a late response that is taken for the response to the next request.
func TestTimedOutConnectionIsNotReused(t *testing.T) {
	address, connections := serveRaw(t, "", func(c net.Conn) {
		time.Sleep(100 * time.Millisecond)
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate"))
	})
	p := New(address, timekeeper.System{})
	if _, err := doRequest(p, 50*time.Millisecond); !errors.Is(err, ErrTimeout) {
		t.Fatalf("got %v, want a timeout", err)
	}
	if _, err := doRequest(p, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	if got := connections(); got != 2 {
		t.Errorf("%d connections were opened, want 2", got)
	}
}

// TestUnsolicitedResponseClosesConnection guards against reusing a connection on which the server sent two responses to
// one request.
func TestUnsolicitedResponseClosesConnection(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	address, connections := serveRaw(t, response+response, func(net.Conn) {})
	p := New(address, timekeeper.System{})
	for range 3 {
		if _, err := doRequest(p, 5*time.Second); err != nil {
			t.Fatal(err)
		}
	}
	if got := connections(); got != 3 {
		t.Errorf("%d connections were opened, want 3", got)
	}
}

func TestRefusedDialReturnsErrNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := netip.MustParseAddrPort(listener.Addr().String())
	_ = listener.Close()
	if _, err := doRequest(New(address, timekeeper.System{}), time.Second); !errors.Is(err, ErrNotSent) {
		t.Errorf("got %v, want ErrNotSent", err)
	}
}

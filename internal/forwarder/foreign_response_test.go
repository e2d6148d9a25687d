package forwarder

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

// doAcceptingOwn sends one request and skips responses without the id "own".
func doAcceptingOwn(p *Pool) (string, error) {
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI("/")
	req.Header.SetHost("test")
	err := p.Do(context.Background(), &Exchange{
		Accept:   func(header *fasthttp.ResponseHeader) bool { return string(header.Peek("Id")) == "own" },
		Deadline: time.Now().Add(5 * time.Second),
		Request:  req,
		Response: resp,
	})
	return string(resp.Body()), err
}

// TestForeignResponsesAreSkipped guards against returning a response to another request, which the server sends before
// the own one or instead of it.
func TestForeignResponsesAreSkipped(t *testing.T) {
	own := "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 3\r\n\r\nown"
	foreign := "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nother"
	foreignAndClose := "HTTP/1.1 200 OK\r\nId: other\r\nConnection: close\r\nContent-Length: 5\r\n\r\nother"
	interim := "HTTP/1.1 100 Continue\r\n\r\n"
	tests := []struct {
		name, response, body string
		want                 error
	}{
		{"own", own, "own", nil},
		{"late response to another request first", foreign + own, "own", nil},
		{"interim response first", interim + own, "own", nil},
		{"only foreign", foreign + foreign + foreign, "", ErrForeign},
		{"foreign and closed", foreignAndClose, "", ErrForeign},
		{"extra bytes afterwards", own + "HTTP/1.1 200 OK\r\nId: oth", "own", nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address, _ := serveRaw(t, test.response, func(c net.Conn) { _ = c.Close() })
			body, err := doAcceptingOwn(New(address, timekeeper.System{}))
			if !errors.Is(err, test.want) || (err == nil && body != test.body) {
				t.Errorf("got %q, %v; want %q, %v", body, err, test.body, test.want)
			}
		})
	}
}

// TestBytesAfterOwnResponseCloseConnection guards against reading bytes that follow a response as the response to the
// next request: each such connection must be closed.
func TestBytesAfterOwnResponseCloseConnection(t *testing.T) {
	own := "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 3\r\n\r\nown"
	address, connections := serveRaw(t, own+own, func(net.Conn) {})
	pool := New(address, timekeeper.System{})
	for range 3 {
		if body, err := doAcceptingOwn(pool); err != nil || body != "own" {
			t.Fatalf("got %q, %v", body, err)
		}
	}
	if got := connections(); got != 3 {
		t.Errorf("%d connections for 3 requests, want one each", got)
	}
}

// TestResponseWithoutLength reads responses whose body ends with the stream, with a pool that accepts them. If the
// connection is reset, the body must be reported as incomplete.
func TestResponseWithoutLength(t *testing.T) {
	response := "HTTP/1.1 200 OK\r\nId: own\r\n\r\nwhole"
	tests := []struct {
		name          string
		afterResponse func(net.Conn)
		want          error
	}{
		{"stream ends", func(c net.Conn) { _ = c.Close() }, nil},
		{"connection is reset", func(c net.Conn) {
			time.Sleep(50 * time.Millisecond)
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}, ErrLost},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address, _ := serveRaw(t, response, test.afterResponse)
			body, err := doAcceptingOwn(New(address, timekeeper.System{}, AcceptNoLength()))
			if !errors.Is(err, test.want) || (err == nil && body != "whole") {
				t.Errorf("got %q, %v; want %v", body, err, test.want)
			}
		})
	}
}

// TestKeepAliveLimitsIdleTime checks that a connection is only reused within the server's Keep-Alive timeout.
func TestKeepAliveLimitsIdleTime(t *testing.T) {
	address, connections := serveRaw(t, "HTTP/1.1 200 OK\r\nId: own\r\nKeep-Alive: timeout=1, max=9\r\nContent-Length: 0\r\n\r\n", func(net.Conn) {})
	pool := New(address, timekeeper.System{})
	for _, pause := range []time.Duration{0, 0, time.Second} {
		time.Sleep(pause)
		if _, err := doAcceptingOwn(pool); err != nil {
			t.Fatal(err)
		}
	}
	if got := connections(); got != 2 {
		t.Errorf("%d connections, want 2: the second request reuses the first connection, the third is too late", got)
	}
}

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

// ask sends one request whose answers must carry the id "own".
func ask(p *Pool) (string, error) {
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

// TestForeignAnswersAreSkipped puts answers to other requests before the own one, and in its place.
func TestForeignAnswersAreSkipped(t *testing.T) {
	own := "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 3\r\n\r\nown"
	foreign := "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nother"
	last := "HTTP/1.1 200 OK\r\nId: other\r\nConnection: close\r\nContent-Length: 5\r\n\r\nother"
	early := "HTTP/1.1 100 Continue\r\n\r\n"
	tests := []struct {
		name, answer, body string
		want               error
	}{
		{"own", own, "own", nil},
		{"late one before", foreign + own, "own", nil},
		{"after an interim one", early + own, "own", nil},
		{"only foreign", foreign + foreign + foreign, "", ErrForeign},
		{"foreign and the end", last, "", ErrForeign},
		{"extra bytes after", own + "HTTP/1.1 200 OK\r\nId: oth", "own", nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address, _ := serveRaw(t, test.answer, func(c net.Conn) { _ = c.Close() })
			body, err := ask(New(address, timekeeper.System{}))
			if !errors.Is(err, test.want) || (err == nil && body != test.body) {
				t.Errorf("got %q, %v; want %q, %v", body, err, test.body, test.want)
			}
		})
	}
}

// TestExtraBytesEndAConnection sends a second request after an answer with bytes behind it: they must not
// be read as its answer.
func TestExtraBytesEndAConnection(t *testing.T) {
	own := "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 3\r\n\r\nown"
	address, connections := serveRaw(t, own+own, func(net.Conn) {})
	pool := New(address, timekeeper.System{})
	for range 3 {
		if body, err := ask(pool); err != nil || body != "own" {
			t.Fatalf("got %q, %v", body, err)
		}
	}
	if got := connections(); got != 3 {
		t.Errorf("%d connections for 3 requests, want one each", got)
	}
}

// TestUnframedAnswers reads answers that only the end of the stream bounds, where the pool takes them. One
// whose connection is reset is not whole.
func TestUnframedAnswers(t *testing.T) {
	answer := "HTTP/1.1 200 OK\r\nId: own\r\n\r\nwhole"
	tests := []struct {
		name  string
		after func(net.Conn)
		want  error
	}{
		{"ends in order", func(c net.Conn) { _ = c.Close() }, nil},
		{"is reset", func(c net.Conn) {
			time.Sleep(50 * time.Millisecond)
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}, ErrLost},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address, _ := serveRaw(t, answer, test.after)
			body, err := ask(New(address, timekeeper.System{}, WithUnframed()))
			if !errors.Is(err, test.want) || (err == nil && body != "whole") {
				t.Errorf("got %q, %v; want %v", body, err, test.want)
			}
		})
	}
}

// TestKeepAliveBoundsIdleTime reuses a connection only within the time that the other end has named.
func TestKeepAliveBoundsIdleTime(t *testing.T) {
	address, connections := serveRaw(t, "HTTP/1.1 200 OK\r\nId: own\r\nKeep-Alive: timeout=1, max=9\r\nContent-Length: 0\r\n\r\n", func(net.Conn) {})
	pool := New(address, timekeeper.System{})
	for _, pause := range []time.Duration{0, 0, time.Second} {
		time.Sleep(pause)
		if _, err := ask(pool); err != nil {
			t.Fatal(err)
		}
	}
	if got := connections(); got != 2 {
		t.Errorf("%d connections, want 2: the second request reuses the first one's, the third comes too late", got)
	}
}

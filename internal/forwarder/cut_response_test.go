package forwarder

import (
	"bufio"
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
	"github.com/marigoldrelay/marigoldrelay/internal/wiretester"
)

// cutServer answers each request with the bytes that its body asks for and ends the connection.
type cutServer struct {
	// end closes or resets the connection.
	end func(net.Conn)
	// bytewise is true if each byte is written on its own.
	bytewise bool
}

func (s *cutServer) serveConn(conn net.Conn) {
	defer s.end(conn)
	var req fasthttp.Request
	if err := req.Read(bufio.NewReader(conn)); err != nil {
		return
	}
	step := len(req.Body())
	if s.bytewise {
		step = 1
	}
	for rest := req.Body(); len(rest) > 0; rest = rest[step:] {
		if _, err := conn.Write(rest[:step]); err != nil {
			return
		}
	}
}

func closeConn(c net.Conn) { _ = c.Close() }

func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// TestCutResponseIsNoAnswer guards against a response whose head or body was cut and that is taken for a whole one with an
// empty or a short body. Only a body without a length can end anywhere, where such bodies are accepted and the stream ends
// without an error.
func TestCutResponseIsNoAnswer(t *testing.T) {
	responses := map[string]string{
		"framed":       "HTTP/1.1 200 OK\r\nSeal: abc\r\nContent-Length: 10\r\nId: own\r\n\r\n0123456789",
		"length last":  "HTTP/1.1 200 OK\r\nSeal: abc\r\nContent-Length: 10\r\n\r\n0123456789",
		"empty":        "HTTP/1.1 200 OK\r\nSeal: abc\r\nContent-Length: 0\r\n\r\n",
		"chunked":      "HTTP/1.1 200 OK\r\nSeal: abc\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n5\r\n56789\r\n0\r\n\r\n",
		"trailer":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\na\r\n0123456789\r\n0\r\nSum: 7\r\n\r\n",
		"after a 1xx":  "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n0123456789",
		"no length":    "HTTP/1.1 200 OK\r\nSeal: abc\r\nConnection: close\r\n\r\n0123456789",
		"bare newline": "HTTP/1.1 200 OK\nSeal: abc\nContent-Length: 10\n\n0123456789",
		"like a head":  "HTTP/1.1 200 OK\r\nSeal: abc\r\nConnection: close\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	}
	servers := map[string]*cutServer{
		"closed":           {end: closeConn},
		"closed, bytewise": {end: closeConn, bytewise: true},
		"reset":            {end: resetConn},
		"reset, bytewise":  {end: resetConn, bytewise: true},
	}
	for how, server := range servers {
		address := wiretester.ServeConns(t, server.serveConn)
		for _, accepts := range []bool{false, true} {
			var options []Option
			if accepts {
				options = append(options, AcceptNoLength())
			}
			pool := New(address, timekeeper.System{}, options...)
			for name, response := range responses {
				for cut := range len(response) {
					head := headLength(response)
					hasLength := strings.Contains(response, "Content-Length: 10") || strings.Contains(response, "chunked") || name == "empty"
					if accepts && !hasLength && cut >= head {
						continue
					}
					if resp, err := sendCut(pool, response[:cut]); err == nil {
						t.Fatalf("%s, %s, cut after %d bytes, accepts no length: %t: taken as %d with %q", name, how, cut, accepts, resp.StatusCode(), resp.Body())
					}
				}
			}
		}
	}
}

// headLength returns the number of bytes up to the end of the final response's head.
func headLength(response string) int {
	if _, rest, ok := strings.Cut(response, "Link: x\r\n\r\n"); ok {
		return len(response) - len(rest) + headLength(rest)
	}
	for _, end := range []string{"\r\n\r\n", "\n\n"} {
		if at := strings.Index(response, end); at >= 0 {
			return at + len(end)
		}
	}
	return len(response)
}

// sendCut sends a request that asks for the given response, on a new connection, since the server closes each unannounced.
func sendCut(pool *Pool, response string) (*fasthttp.Response, error) {
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI("/")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetHost("test")
	req.SetBodyString(response)
	return resp, pool.Do(context.Background(), &Exchange{
		Deadline: time.Now().Add(30 * time.Second), NewConnection: true, Request: req, Response: resp,
	})
}

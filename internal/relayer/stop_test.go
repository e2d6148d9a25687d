package relayer_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/administrator"
	"github.com/marigoldrelay/marigoldrelay/internal/demonstrator"
	"github.com/marigoldrelay/marigoldrelay/internal/skipper"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

// stopAnswerTimeout limits how long a test waits for a broken node. No check depends on a shorter time.
const stopAnswerTimeout = 10 * time.Second

// keptConn is a connection that a client keeps between requests.
type keptConn struct {
	net.Conn
	reader *bufio.Reader
}

func newKeptConn(t *testing.T, address netip.AddrPort) *keptConn {
	t.Helper()
	conn, err := net.Dial("tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(stopAnswerTimeout))
	return &keptConn{Conn: conn, reader: bufio.NewReader(conn)}
}

// receive returns the status of a whole answer.
func (c *keptConn) receive() (int, error) {
	var resp fasthttp.Response
	err := resp.Read(c.reader)
	return resp.StatusCode(), err
}

// requestText returns the text of a request with the given lines of its header.
func requestText(method, path, headers, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: test\r\n%sContent-Length: %d\r\n\r\n%s", method, path, headers, len(body), body)
}

// TestCloseAnswersAdministration sends requests to the administration and announce addresses on kept connections within
// a millisecond around Close. Each that had arrived before Close gets a whole answer before the process ends.
func TestCloseAnswersAdministration(t *testing.T) {
	const rounds = 20
	random := rand.New(rand.NewPCG(28, 28))
	sent, late, unanswered := 0, 0, 0
	for range rounds {
		roundSent, roundLate, roundUnanswered := closeAmongAdministration(t, random)
		sent, late, unanswered = sent+roundSent, late+roundLate, unanswered+roundUnanswered
	}
	t.Logf("of %d requests, %d came after Close was called and got no answer", sent, late)
	if unanswered > 0 {
		t.Errorf("%d of %d requests that had arrived before Close got no answer", unanswered, sent)
	}
}

// closeAmongAdministration ends a node while each client sends one request. It returns the number of requests, of those
// sent after the call of Close without an answer, and of those sent before it without one.
func closeAmongAdministration(t *testing.T, random *rand.Rand) (sent, late, unanswered int) {
	t.Helper()
	const (
		clients = 48
		spread  = time.Millisecond
	)
	d, err := demonstrator.NewDeployment(nil)
	if err != nil {
		t.Fatal(err)
	}
	deployed, err := d.Add(demonstrator.NodeSpec{DataCentre: "flacq", Name: "only"})
	if err != nil {
		t.Fatal(err)
	}
	announcement, err := json.Marshal(announcer.Announcement{
		Address: "127.0.0.1:9", Instance: "i-1", Service: "entries", Slots: 1, State: announcer.StateReady,
	})
	if err != nil {
		t.Fatal(err)
	}
	targets := []struct {
		address netip.AddrPort
		request string
	}{
		{deployed.Settings.AdminAddress, requestText(fasthttp.MethodGet, administrator.PathHealth, "", "")},
		{deployed.Settings.AdminAddress, requestText(fasthttp.MethodGet, administrator.PathStatus, "Authorization: Bearer "+d.Token()+"\r\n", "")},
		{deployed.Settings.AnnounceAddress, requestText(fasthttp.MethodPost, announcer.Path, "", string(announcement))},
	}
	var closing atomic.Bool
	var lateCount, unansweredCount atomic.Int64
	var ends sync.WaitGroup
	start := make(chan struct{})
	for i := range clients {
		target := targets[i%len(targets)]
		c := newKeptConn(t, target.address)
		_, _ = io.WriteString(c, target.request)
		if _, err := c.receive(); err != nil {
			t.Fatal(err)
		}
		delay := time.Duration(random.Int64N(int64(spread)))
		ends.Go(func() {
			defer func() { _ = c.Close() }()
			<-start
			time.Sleep(delay)
			_, err := io.WriteString(c, target.request)
			early := err == nil && !closing.Load()
			if _, err := c.receive(); err == nil {
				return
			}
			if early {
				unansweredCount.Add(1)
			} else {
				lateCount.Add(1)
			}
		})
	}
	close(start)
	time.Sleep(spread / 2)
	closing.Store(true)
	deployed.Node.Close()
	// The end of the process cuts what is still open.
	deployed.Node.Abort()
	ends.Wait()
	return clients, int(lateCount.Load()), int(unansweredCount.Load())
}

// TestCloseAnswersRunningChange ends the only node that is left of the replicas while it makes a change, to which
// no other replica answers. The operator gets an answer before the process ends.
func TestCloseAnswersRunningChange(t *testing.T) {
	skipper.KnownRed(t)
	c := newFormingCluster(t, 5)
	c.changeDocument(c.nodes[0], 0, 1)
	c.awaitVersionEverywhere(1)
	for _, node := range c.nodes[1:] {
		node.Abort()
		socket, err := net.Listen("tcp", node.settings.ControlAddress.String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = socket.Close() })
		go acceptSilently(socket, func() {})
	}
	node := c.nodes[0]
	c.nodes = c.nodes[:0]
	document, err := os.ReadFile("../demonstrator/document.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	headers := fmt.Sprintf("Authorization: Bearer %s\r\n%s: 2\r\nIf-Match: \"1\"\r\n", c.secrets.AdminToken, administrator.HeaderChangeID)
	operator := newKeptConn(t, node.settings.AdminAddress)
	if _, err := io.WriteString(operator, requestText(fasthttp.MethodPut, administrator.PathDocument, headers, string(document))); err != nil {
		t.Fatal(err)
	}
	type answer struct {
		status int
		err    error
	}
	answers := make(chan answer, 1)
	go func() {
		status, err := operator.receive()
		answers <- answer{status, err}
	}()
	select {
	case a := <-answers:
		t.Fatalf("answered before the end: status %d, error %v", a.status, a.err)
	case <-time.After(200 * time.Millisecond):
	}
	node.Close()
	node.Abort()
	if a := <-answers; a.status != fasthttp.StatusServiceUnavailable {
		t.Errorf("status %d, error %v, want an answer that the change may still come into force", a.status, a.err)
	}
}

package forwarder

import (
	"errors"
	"testing"

	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
	"github.com/marigoldrelay/marigoldrelay/internal/wiretester"
)

// TestMalformedResponseIsNoAnswer guards against bytes that are no response in the protocol and that are taken for one, with
// the status, the fields or the body that the HTTP library makes of them.
func TestMalformedResponseIsNoAnswer(t *testing.T) {
	server := &cutServer{end: closeConn}
	pool := New(wiretester.ServeConns(t, server.serveConn), timekeeper.System{}, AcceptNoLength())
	for _, c := range wiretester.Responses(t) {
		t.Run(c.Name, func(t *testing.T) {
			resp, err := sendCut(pool, c.Wire)
			switch {
			case c.IsMalformed() && !errors.Is(err, ErrMalformed):
				t.Errorf("got %v, status %d with %q; want a malformed response", err, resp.StatusCode(), resp.Body())
			case !c.IsMalformed() && (err != nil || resp.StatusCode() != c.Status || string(resp.Body()) != c.Body):
				t.Errorf("got %v, status %d with %q; want %d with %q", err, resp.StatusCode(), resp.Body(), c.Status, c.Body)
			}
		})
	}
}

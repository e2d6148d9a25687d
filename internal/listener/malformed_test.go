package listener

import (
	"context"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/wiretester"
)

// TestMalformedRequestIsRefused guards against a request that is taken and passed on although the next reader can read it in
// another way.
func TestMalformedRequestIsRefused(t *testing.T) {
	_, address := startListener(t, func(_ context.Context, req *fasthttp.Request, resp *fasthttp.Response) {
		resp.SetBodyRaw(req.Body())
	})
	for _, c := range wiretester.Requests(t) {
		t.Run(c.Name, func(t *testing.T) {
			want := c.Status
			if c.IsMalformed() {
				want = fasthttp.StatusBadRequest
			}
			_, reader := dialAndSend(t, address, c.Wire)
			resp := readResponse(t, reader)
			if resp.StatusCode() != want || !c.IsMalformed() && string(resp.Body()) != c.Body {
				t.Errorf("got status %d with %q, want %d with %q", resp.StatusCode(), resp.Body(), want, c.Body)
			}
			if isClosed := resp.ConnectionClose(); c.IsMalformed() && !isClosed {
				t.Error("the connection stays open")
			}
		})
	}
}

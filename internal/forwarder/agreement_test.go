package forwarder

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
	"github.com/marigoldrelay/marigoldrelay/internal/wiretester"
)

// agreementMutations is the number of mutated responses that TestSecondReaderAgrees reads.
const agreementMutations = 50_000

// readWire reads a response from the bytes, which end with the stream.
func readWire(wire []byte) (*fasthttp.Response, error) {
	p := New(netip.AddrPort{}, timekeeper.System{}, WithMaxBody(endlessMaxBody), AcceptNoLength())
	c := newConn(wiretester.NewConn(wire), time.Time{})
	c.limited.remaining = endlessAllowance
	x := &Exchange{Request: &fasthttp.Request{}, Response: &fasthttp.Response{}}
	_, err := p.readResponse(c, x)
	return x.Response, err
}

// FuzzSecondReaderAgrees checks that another HTTP implementation reads each response that is taken, and what is passed on of
// it, in the same way.
func FuzzSecondReaderAgrees(f *testing.F) {
	for _, c := range wiretester.Responses(f) {
		f.Add([]byte(c.Wire))
	}
	f.Fuzz(checkAgreement)
}

// TestSecondReaderAgrees does the same with mutations of the cases from a fixed seed.
func TestSecondReaderAgrees(t *testing.T) {
	wiretester.Mutate(wiretester.Responses(t), 1, agreementMutations, func(wire []byte) { checkAgreement(t, wire) })
}

func checkAgreement(t *testing.T, wire []byte) {
	resp, err := readWire(wire)
	if err != nil {
		return
	}
	compareResponse(t, wire, "as the upstream wrote it", wire, resp)
	var passedOn bytes.Buffer
	if _, err := resp.WriteTo(&passedOn); err != nil {
		t.Errorf("%q: %v", wire, err)
	}
	compareResponse(t, wire, "as it is passed on", passedOn.Bytes(), resp)
}

// compareResponse reads a response with the second reader and compares it with the one that was taken from wire.
func compareResponse(t *testing.T, wire []byte, form string, text []byte, taken *fasthttp.Response) {
	t.Helper()
	second, body, err := readSecond(text)
	switch {
	case err != nil:
		t.Errorf("%s: the second reader takes no response from %q, taken from %q: %v", form, text, wire, err)
	case second.StatusCode != taken.StatusCode():
		t.Errorf("%s: the second reader takes status %d, not %d, from %q", form, second.StatusCode, taken.StatusCode(), wire)
	case !bytes.Equal(body, taken.Body()):
		t.Errorf("%s: the second reader takes body %q, not %q, from %q", form, body, taken.Body(), wire)
	default:
		wiretester.CompareNames(t, fmt.Sprintf("%s: %q", form, wire), second.Header, taken.Header.All())
	}
}

// readSecond reads the final response in text with net/http.
func readSecond(text []byte) (*http.Response, []byte, error) {
	reader := bufio.NewReader(bytes.NewReader(text))
	for {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return nil, nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			defer func() { _ = resp.Body.Close() }()
			body, err := io.ReadAll(resp.Body)
			return resp, body, err
		}
	}
}

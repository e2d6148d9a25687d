package listener

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/wiretester"
)

// agreementMutations is the number of mutated requests that TestSecondReaderAgrees reads.
const agreementMutations = 50_000

// readWire reads a request from the bytes, which end with the stream. It returns the bytes behind it as well.
func readWire(wire []byte) (req *fasthttp.Request, rest []byte, err error) {
	l := New(Config{Limits: func() Limits { return Limits{MaxBodyBytes: 1024, MaxHeaderBytes: 4096} }})
	c := newConn(l, wiretester.NewConn(wire))
	x, err := c.readRequest()
	if err != nil {
		return nil, nil, err
	}
	rest, err = io.ReadAll(c.reader)
	return x.request, rest, err
}

// FuzzSecondReaderAgrees checks that another HTTP implementation reads each request that is taken, and what is passed on of
// it, in the same way, so that no upstream finds another request in it.
func FuzzSecondReaderAgrees(f *testing.F) {
	for _, c := range wiretester.Requests(f) {
		f.Add([]byte(c.Wire))
	}
	f.Fuzz(checkAgreement)
}

// TestSecondReaderAgrees does the same with mutations of the cases from a fixed seed.
func TestSecondReaderAgrees(t *testing.T) {
	wiretester.Mutate(wiretester.Requests(t), 1, agreementMutations, func(wire []byte) { checkAgreement(t, wire) })
}

func checkAgreement(t *testing.T, wire []byte) {
	req, rest, err := readWire(wire)
	if err != nil {
		return
	}
	// Empty lines before a request are skipped here and refused by the second reader.
	compareRequest(t, wire, "as the caller wrote it", bytes.TrimLeft(wire, "\r\n"), req, rest)
	var passedOn bytes.Buffer
	if _, err := req.WriteTo(&passedOn); err != nil {
		// A request without a host goes to no upstream.
		return
	}
	compareRequest(t, wire, "as it is passed on", passedOn.Bytes(), req, nil)
}

// compareRequest reads a request with the second reader and compares it, and what is behind it, with the one that was taken
// from wire.
func compareRequest(t *testing.T, wire []byte, form string, text []byte, taken *fasthttp.Request, rest []byte) {
	t.Helper()
	reader := bufio.NewReader(bytes.NewReader(text))
	second, err := http.ReadRequest(reader)
	var target *url.Error
	if errors.As(err, &target) {
		// A target is passed on unchanged, and whether its escapes are valid is for the upstream to say.
		return
	}
	if err != nil {
		t.Errorf("%s: the second reader takes no request from %q, taken from %q: %v", form, text, wire, err)
		return
	}
	body, err := io.ReadAll(second.Body)
	secondRest, _ := io.ReadAll(reader)
	switch {
	case err != nil || !bytes.Equal(body, taken.Body()):
		t.Errorf("%s: the second reader takes body %q, %v, not %q, from %q", form, body, err, taken.Body(), wire)
	case second.Method != string(taken.Header.Method()):
		t.Errorf("%s: the second reader takes method %q, not %q, from %q", form, second.Method, taken.Header.Method(), wire)
	case second.RequestURI != string(taken.Header.RequestURI()):
		t.Errorf("%s: the second reader takes target %q, not %q, from %q", form, second.RequestURI, taken.Header.RequestURI(), wire)
	case !bytes.Equal(secondRest, rest):
		t.Errorf("%s: the second reader leaves %q, not %q, from %q", form, secondRest, rest, wire)
	default:
		wiretester.CompareNames(t, fmt.Sprintf("%s: %q", form, wire), second.Header, taken.Header.All())
	}
}

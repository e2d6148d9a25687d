package listener

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

// TestFromRequestHandler checks that nothing of a request or response is lost or left over from an earlier one on the
// way through a handler of the HTTP library.
func TestFromRequestHandler(t *testing.T) {
	_, address := startListener(t, FromRequestHandler(func(ctx *fasthttp.RequestCtx) {
		if cookie := ctx.Request.Header.Cookie("session"); len(cookie) > 0 {
			ctx.Response.Header.Set("Session", string(cookie))
		}
		switch string(ctx.Path()) {
		case "/form":
			ctx.SetContentType("text/html")
			ctx.SetStatusCode(fasthttp.StatusAccepted)
			_, _ = fmt.Fprintf(ctx, "%s of %s", ctx.PostArgs().Peek("name"), ctx.QueryArgs().Peek("of"))
		case "/raw":
			ctx.Response.SetBodyRaw(ctx.PostBody())
		case "/empty":
		default:
			ctx.Error("no such page", fasthttp.StatusNotFound)
		}
	}))
	post := func(path, headers, body string) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: test\r\n%sContent-Length: %d\r\n\r\n%s", path, headers, len(body), body)
	}
	form := "Content-Type: application/x-www-form-urlencoded\r\n"
	tests := []struct {
		request           string
		status            int
		contentType, body string
		session           string
	}{
		{post("/form?of=two", form+"Cookie: session=s1\r\n", "name=one"), 202, "text/html", "one of two", "s1"},
		{post("/raw", "", "three"), 200, "", "three", ""},
		{post("/form", form, ""), 202, "text/html", " of ", ""},
		{post("/raw", "", ""), 200, "", "", ""},
		{getRequest("/nothing"), 404, "text/plain; charset=utf-8", "no such page", ""},
		{getRequest("/empty"), 200, "", "", ""},
	}
	var requests strings.Builder
	for _, test := range tests {
		requests.WriteString(test.request)
	}
	_, reader := dialAndSend(t, address, requests.String())
	for i, test := range tests {
		resp := &fasthttp.Response{}
		resp.Header.SetNoDefaultContentType(true)
		if err := resp.Header.Read(reader); err != nil {
			t.Fatal(err)
		}
		if err := resp.ReadBody(reader, 0); err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode() != test.status || string(resp.Body()) != test.body || string(resp.Header.ContentType()) != test.contentType ||
			string(resp.Header.Peek("Session")) != test.session {
			t.Errorf("request %d: got\n%s%q, want %+v", i, resp.Header.String(), resp.Body(), test)
		}
	}
}

// TestFromRequestHandlerMovesBodies checks that bodies in use at the same time are not shared.
func TestFromRequestHandlerMovesBodies(t *testing.T) {
	handle := FromRequestHandler(func(ctx *fasthttp.RequestCtx) { ctx.SetBody(ctx.PostBody()) })
	var responses []*fasthttp.Response
	for i := range 10 {
		req, resp := &fasthttp.Request{}, &fasthttp.Response{}
		req.SetBody(bytes.Repeat([]byte{byte(i)}, 1000))
		handle(t.Context(), req, resp)
		responses = append(responses, resp)
	}
	for i, resp := range responses {
		if !bytes.Equal(resp.Body(), bytes.Repeat([]byte{byte(i)}, 1000)) {
			t.Errorf("response %d has the body of another", i)
		}
	}
}

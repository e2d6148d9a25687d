package listener

import (
	"context"
	"sync"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/logger"
)

var requestCtxPool = sync.Pool{New: func() any { return &fasthttp.RequestCtx{} }}

// FromRequestHandler returns a Handler that calls a handler of the HTTP library. The handler runs to its end even if the
// caller closes the connection, and a response has no content type unless the handler sets one. As with the library's
// server, the handler must not use its argument after it has returned.
func FromRequestHandler(handle fasthttp.RequestHandler) Handler {
	return func(_ context.Context, req *fasthttp.Request, resp *fasthttp.Response) {
		ctx := requestCtxPool.Get().(*fasthttp.RequestCtx)
		defer requestCtxPool.Put(ctx)
		// Init copies the request. The bodies, which may be large, are moved.
		body := req.SwapBody(nil)
		ctx.Init(req, nil, logger.Silent{})
		ctx.Request.SetBodyRaw(body)
		ctx.Response.Reset()
		ctx.Response.Header.SetNoDefaultContentType(true)
		handle(ctx)
		ctx.Response.Header.CopyTo(&resp.Header)
		resp.SetBodyRaw(ctx.Response.Body())
		ctx.Response.SwapBody(nil)
		ctx.Request.ResetBody()
	}
}

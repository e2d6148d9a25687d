package administrator

import (
	"fmt"
	"strings"

	"github.com/valyala/fasthttp"
)

// DecisionQuery is a request of which a node says where it would go.
type DecisionQuery struct {
	Host   string
	Method string
	Path   string
	// Workspace is the name of the workspace whose API key the request would carry, or empty. The key itself is not needed.
	Workspace string
}

// validate returns an error that names the parameter and its value.
func (q *DecisionQuery) validate() error {
	switch {
	case !strings.HasPrefix(q.Path, "/"):
		return fmt.Errorf("path: %q: want a path that starts with /", q.Path)
	case q.Method == "" || strings.ContainsAny(q.Method, " \t\r\n"):
		return fmt.Errorf("method: %q: want an HTTP method", q.Method)
	default:
		return nil
	}
}

// getDecision answers where a request would go now.
func (a *Administrator) getDecision(ctx *fasthttp.RequestCtx) {
	parameters := ctx.QueryArgs()
	query := DecisionQuery{
		Host: string(parameters.Peek("host")), Method: string(parameters.Peek("method")), Path: string(parameters.Peek("path")),
		Workspace: string(parameters.Peek("workspace")),
	}
	if err := query.validate(); err != nil {
		writeProblem(ctx, Problem{Status: fasthttp.StatusBadRequest, Title: err.Error()})
		return
	}
	WriteJSON(ctx, a.reporter.Decide(query))
}

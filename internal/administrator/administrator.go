// Package administrator serves the administration API of a node.
package administrator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/headereditor"
	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
	"github.com/marigoldrelay/marigoldrelay/internal/validator"
)

// Paths of the API.
const (
	PathAccounts = "/v1/accounts"
	PathCheck    = "/v1/check"
	// PathDecision takes the parameters of a DecisionQuery: host, method, path and workspace.
	PathDecision = "/v1/decision"
	PathDocument = "/v1/document"
	// PathEvacuations is followed by a slash and the name of a data centre.
	PathEvacuations = "/v1/evacuations"
	PathHealth      = "/healthz"
	PathHistory     = "/v1/history"
	PathMembers     = "/v1/members"
	PathMetrics     = "/metrics"
	PathStatus      = "/v1/status"
)

// Headers of the API.
const (
	// HeaderAuthor names the operator who makes a change.
	HeaderAuthor = "Author"
	// HeaderChangeID identifies a change, so that a resent change is distinguished from a new one.
	HeaderChangeID = "Change-Id"
	// HeaderStale is "true" on a document that could not be read from a majority of the replicas; there may be a
	// newer version.
	HeaderStale = "Document-Stale"
)

const (
	// consolePrefix starts the paths of the web console.
	consolePrefix         = "/console"
	registerReadTimeout   = 2 * time.Second
	registerChangeTimeout = 6 * time.Second
)

// Register is the replicated register that holds the configuration of all nodes.
type Register interface {
	// Bootstrap creates the first version.
	Bootstrap(ctx context.Context, change *replicator.Change) (*replicator.Value, error)
	// Change creates a version and returns its number.
	Change(ctx context.Context, change *replicator.Change) (uint64, error)
	// Local returns the newest value that this node knows, without asking the replicas, or nil if it knows none.
	Local() *replicator.Value
	// Read returns the newest value that a majority of the replicas knows.
	Read(ctx context.Context) (*replicator.Value, error)
}

// Reporter reports the state of the node. The values of Accounts, Members and Status are encoded as JSON.
type Reporter interface {
	Accounts() any
	// Decide returns where a request would go now, without sending it.
	Decide(query DecisionQuery) any
	Members() any
	Status() any
	// WriteMetrics writes the metrics as the response body of PathMetrics.
	WriteMetrics(w io.Writer)
}

// Evacuator carries out orders to evacuate data centres, or to end that.
type Evacuator interface {
	// Evacuate returns nil once the order is stored by a majority of the replicas. The order's field Known can be empty.
	Evacuate(ctx context.Context, order *replicator.Evacuation) error
}

// Administrator handles the requests of the administration API.
type Administrator struct {
	// console handles the paths that start with consolePrefix. It has its own authentication.
	console   fasthttp.RequestHandler
	evacuator Evacuator
	register  Register
	reporter  Reporter
	token     []byte
}

// New returns an administrator that requires the token as a bearer token on every path except PathHealth,
// PathMetrics and those of the console.
func New(register Register, evacuator Evacuator, reporter Reporter, token []byte, console fasthttp.RequestHandler) *Administrator {
	return &Administrator{console: console, evacuator: evacuator, register: register, reporter: reporter, token: token}
}

// Serve handles one request, after checking its token where one is required.
func (a *Administrator) Serve(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); {
	case path == PathMetrics:
		a.reporter.WriteMetrics(ctx)
		return
	case path == PathHealth:
		ctx.SetBodyString("ok\n")
		return
	case strings.HasPrefix(path, consolePrefix):
		a.console(ctx)
		return
	case !a.isAuthorized(ctx):
		writeProblem(ctx, Problem{Status: fasthttp.StatusUnauthorized, Title: "want the administration token as a bearer token"})
		return
	}
	a.route(ctx)
}

// isAuthorized reports whether the request has the administration token. The comparison takes constant time.
func (a *Administrator) isAuthorized(ctx *fasthttp.RequestCtx) bool {
	token, found := strings.CutPrefix(headereditor.OnlyOrNone(&ctx.Request.Header, fasthttp.HeaderAuthorization), "Bearer ")
	return found && subtle.ConstantTimeCompare([]byte(token), a.token) == 1
}

// route routes an authorized request by its method and path.
func (a *Administrator) route(ctx *fasthttp.RequestCtx) {
	path, method := string(ctx.Path()), string(ctx.Method())
	switch {
	case method == fasthttp.MethodGet && path == PathStatus:
		WriteJSON(ctx, a.reporter.Status())
	case method == fasthttp.MethodGet && path == PathMembers:
		WriteJSON(ctx, a.reporter.Members())
	case method == fasthttp.MethodGet && path == PathAccounts:
		WriteJSON(ctx, a.reporter.Accounts())
	case method == fasthttp.MethodGet && path == PathDecision:
		a.getDecision(ctx)
	case method == fasthttp.MethodGet && path == PathDocument:
		a.getDocument(ctx)
	case method == fasthttp.MethodPut && path == PathDocument:
		a.putDocument(ctx)
	case method == fasthttp.MethodPost && path == PathCheck:
		a.checkDocument(ctx)
	case method == fasthttp.MethodGet && path == PathHistory:
		a.getHistory(ctx)
	case strings.HasPrefix(path, PathEvacuations+"/"):
		a.evacuate(ctx, strings.TrimPrefix(path, PathEvacuations+"/"), method)
	case method == fasthttp.MethodGet && strings.HasPrefix(path, PathHistory+"/"):
		a.getVersion(ctx, strings.TrimPrefix(path, PathHistory+"/"))
	default:
		writeProblem(ctx, Problem{Status: fasthttp.StatusNotFound, Title: "no such path or method"})
	}
}

// readNewest returns the newest value of the register. If the register can't be read, it returns the value that
// this node knows, or nil, and reports it as stale.
func (a *Administrator) readNewest() (*replicator.Value, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), registerReadTimeout)
	defer cancel()
	value, err := a.register.Read(ctx)
	if err == nil {
		return value, false
	}
	return a.register.Local(), true
}

// getDocument answers with the text of the newest document and its version as an entity tag.
func (a *Administrator) getDocument(ctx *fasthttp.RequestCtx) {
	value, stale := a.readNewest()
	if value == nil {
		writeProblem(ctx, Problem{Status: fasthttp.StatusNotFound, Title: replicator.ErrNotBootstrapped.Error()})
		return
	}
	ctx.Response.Header.Set(fasthttp.HeaderETag, etag(value.Version))
	ctx.Response.Header.Set(HeaderStale, strconv.FormatBool(stale))
	ctx.Response.Header.SetContentType("application/json")
	ctx.SetBodyString(value.Text)
}

// etag returns the entity tag of a version.
func etag(version uint64) string {
	return strconv.Quote(strconv.FormatUint(version, 10))
}

// ParseETag returns the version in an entity tag, which is a quoted decimal number.
func ParseETag(tag string) (uint64, error) {
	text, err := strconv.Unquote(tag)
	if err != nil {
		return 0, fmt.Errorf("entity tag %q: want a quoted version", tag)
	}
	return strconv.ParseUint(text, 10, 64)
}

// checkDocument validates the document in the body without changing anything.
func (a *Administrator) checkDocument(ctx *fasthttp.RequestCtx) {
	if _, err := validator.Parse(ctx.PostBody()); err != nil {
		writeError(ctx, err)
		return
	}
	WriteJSON(ctx, ChangeReply{})
}

// ChangeReply is the answer to a successful change or check of a document.
type ChangeReply struct {
	// Version is the version that the change created; zero for a check.
	Version uint64 `json:"version"`
}

// putDocument makes the document in the body the next version, or the first one.
func (a *Administrator) putDocument(ctx *fasthttp.RequestCtx) {
	change, first, err := parseChange(ctx)
	if err != nil {
		writeError(ctx, err)
		return
	}
	timeoutCtx, cancel := context.WithTimeout(context.Background(), registerChangeTimeout)
	defer cancel()
	var version uint64
	if first {
		var value *replicator.Value
		if value, err = a.register.Bootstrap(timeoutCtx, change); err == nil {
			version = value.Version
		}
	} else {
		version, err = a.register.Change(timeoutCtx, change)
	}
	if err != nil {
		writeError(ctx, err)
		return
	}
	ctx.Response.Header.Set(fasthttp.HeaderETag, etag(version))
	WriteJSON(ctx, ChangeReply{Version: version})
}

var errPrecondition = merry.Sentinel("want If-Match with the version that the change was made from, or If-None-Match: * for the first one")

// parseChange returns the change that a request asks for. First is true if If-None-Match is "*", which asks for
// the first version; otherwise If-Match holds the version that the change is based on.
func parseChange(ctx *fasthttp.RequestCtx) (change *replicator.Change, first bool, err error) {
	text := string(ctx.PostBody())
	document, err := validator.Parse([]byte(text))
	if err != nil {
		return nil, false, err
	}
	change = &replicator.Change{
		Author:   headereditor.Joined(&ctx.Request.Header, HeaderAuthor),
		ID:       headereditor.OnlyOrNone(&ctx.Request.Header, HeaderChangeID),
		Replicas: Replicas(document),
		Text:     text,
		Time:     time.Now().UTC(),
	}
	if change.ID == "" {
		return nil, false, fmt.Errorf("%w: want one %s header", errPrecondition, HeaderChangeID)
	}
	if headereditor.OnlyOrNone(&ctx.Request.Header, fasthttp.HeaderIfNoneMatch) == "*" {
		return change, true, nil
	}
	change.Base, err = ParseETag(headereditor.OnlyOrNone(&ctx.Request.Header, fasthttp.HeaderIfMatch))
	if err != nil {
		return nil, false, errPrecondition
	}
	return change, false, nil
}

// Replicas returns the control replicas that a document names.
func Replicas(document *validator.Document) []replicator.Replica {
	var replicas []replicator.Replica
	for _, replica := range document.ControlReplicas {
		replicas = append(replicas, replicator.Replica{DiskID: replica.DiskID, VM: replica.VM})
	}
	return replicas
}

// HistoryReply is the answer to a request for the history.
type HistoryReply struct {
	// Entries lists the latest versions, the newest last.
	Entries []HistoryEntry `json:"entries"`
	// Stale is true if the history could not be read from a majority of the replicas.
	Stale bool `json:"stale"`
}

// HistoryEntry describes one version, without its text.
type HistoryEntry struct {
	Author   string    `json:"author,omitempty"`
	ChangeID string    `json:"change-id"`
	Time     time.Time `json:"time"`
	Version  uint64    `json:"version"`
}

func (a *Administrator) getHistory(ctx *fasthttp.RequestCtx) {
	value, stale := a.readNewest()
	reply := HistoryReply{Stale: stale}
	if value != nil {
		for _, entry := range value.History {
			reply.Entries = append(reply.Entries, HistoryEntry{entry.Author, entry.ChangeID, entry.Time, entry.Version})
		}
	}
	WriteJSON(ctx, reply)
}

// getVersion answers with the text of a version, which is a decimal number.
func (a *Administrator) getVersion(ctx *fasthttp.RequestCtx, version string) {
	if text, ok := a.versionText(version); ok {
		ctx.SetBodyString(text)
		return
	}
	writeProblem(ctx, Problem{Status: fasthttp.StatusNotFound, Title: "the text of this version is not kept"})
}

// versionText returns the document text of a version, and whether the text is still kept.
func (a *Administrator) versionText(version string) (string, bool) {
	value, _ := a.readNewest()
	if value == nil {
		return "", false
	}
	for _, entry := range value.History {
		if strconv.FormatUint(entry.Version, 10) != version || len(entry.Packed) == 0 {
			continue
		}
		text, err := replicator.Unpack(entry.Packed)
		return text, err == nil
	}
	return "", false
}

// Problem is the body of the answer to a refused request (RFC 9457).
type Problem struct {
	// Current is the version in force if the request conflicts with it, otherwise zero.
	Current uint64                 `json:"current,omitempty"`
	Detail  string                 `json:"detail,omitempty"`
	Errors  []validator.FieldError `json:"errors,omitempty"`
	Status  int                    `json:"status"`
	Title   string                 `json:"title"`
}

// writeError answers with the problem for a failed change or check.
func writeError(ctx *fasthttp.RequestCtx, err error) {
	var fields validator.FieldErrors
	var conflict *replicator.ConflictError
	problem := Problem{Status: fasthttp.StatusServiceUnavailable, Title: "the change is not in force", Detail: err.Error()}
	switch {
	case errors.As(err, &fields):
		problem = Problem{Status: fasthttp.StatusUnprocessableEntity, Title: "the document is not valid", Errors: fields}
	case errors.As(err, &conflict):
		problem.Status = fasthttp.StatusPreconditionFailed
		problem.Title = replicator.ErrConflict.Error()
		problem.Current = conflict.Current
	case errors.Is(err, replicator.ErrBootstrapped), errors.Is(err, replicator.ErrNotBootstrapped):
		problem.Status = fasthttp.StatusConflict
	case errors.Is(err, errPrecondition):
		problem.Status = fasthttp.StatusPreconditionRequired
	case errors.Is(err, replicator.ErrNoMajority):
		problem.Title = replicator.ErrNoMajority.Error() + "; the change may still come into force: send it again with the same id"
	}
	writeProblem(ctx, problem)
}

// writeProblem answers with the problem and its status, and discards what was written before.
func writeProblem(ctx *fasthttp.RequestCtx, problem Problem) {
	ctx.Response.Reset()
	WriteJSON(ctx, problem)
	ctx.SetStatusCode(problem.Status)
	ctx.Response.Header.SetContentType(refuser.ContentType)
}

// WriteJSON answers with the value as indented JSON, or with status 500 if it can't be encoded.
func WriteJSON(ctx *fasthttp.RequestCtx, value any) {
	body, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.Response.Header.SetContentType("application/json")
	ctx.Response.SetBody(append(body, '\n'))
}

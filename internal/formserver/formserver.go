package formserver

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/subtle"
	"embed"
	"encoding/json"
	"errors"
	"fmt"
	"html/template"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tailscale/hujson"
	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/administrator"
	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
	"github.com/marigoldrelay/marigoldrelay/internal/validator"
)

// The paths of the console.
const (
	PathDocument = "/console/document"
	PathLogin    = "/console/login"
	PathRoot     = "/console"
)

const (
	changeTimeout   = 6 * time.Second
	cookieName      = "marigoldrelay-session"
	maxSessions     = 1000
	readTimeout     = 2 * time.Second
	sessionLifetime = 8 * time.Hour
	contentPolicy   = "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; frame-ancestors 'none'"
)

//go:embed templates/*.html
var templateFiles embed.FS

var templates = template.Must(template.ParseFS(templateFiles, "templates/*.html"))

// session is the session of an operator who has signed in with the administration token.
type session struct {
	// csrf is the token against cross-site request forgery that the forms of the session carry.
	csrf    string
	expires time.Time
}

// Server serves the console. It is safe for concurrent use.
type Server struct {
	clock    timekeeper.Clock
	register administrator.Register
	token    []byte

	mu sync.Mutex
	// sessions holds the sessions by id, which is the value of the session cookie.
	sessions map[string]session
}

// New returns a console for the document in the register. Operators sign in with the token.
func New(clock timekeeper.Clock, register administrator.Register, token []byte) *Server {
	return &Server{clock: clock, register: register, sessions: make(map[string]session), token: token}
}

// Serve handles a request whose path starts with PathRoot. Without a valid session it shows the sign-in form.
func (s *Server) Serve(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.Set("Content-Security-Policy", contentPolicy)
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-store")
	if string(ctx.Path()) == PathLogin && ctx.IsPost() {
		s.login(ctx)
		return
	}
	current, ok := s.findSession(ctx)
	if !ok {
		render(ctx, "login.html", fasthttp.StatusOK, "")
		return
	}
	switch {
	case string(ctx.Path()) == PathDocument && ctx.IsPost():
		s.submit(ctx, current)
	case string(ctx.Path()) == PathDocument, string(ctx.Path()) == PathRoot:
		s.show(ctx, current)
	default:
		ctx.Error("no such page", fasthttp.StatusNotFound)
	}
}

// login checks the token, starts a session and redirects to the document.
func (s *Server) login(ctx *fasthttp.RequestCtx) {
	token := bytes.TrimSpace(ctx.PostArgs().Peek("token"))
	if subtle.ConstantTimeCompare(token, s.token) != 1 {
		render(ctx, "login.html", fasthttp.StatusUnauthorized, "This is not the administration token.")
		return
	}
	id := rand.Text()
	s.mu.Lock()
	s.pruneSessions()
	s.sessions[id] = session{csrf: rand.Text(), expires: s.clock.Now().Add(sessionLifetime)}
	s.mu.Unlock()
	cookie := fasthttp.AcquireCookie()
	defer fasthttp.ReleaseCookie(cookie)
	cookie.SetKey(cookieName)
	cookie.SetValue(id)
	cookie.SetPath(PathRoot)
	cookie.SetHTTPOnly(true)
	cookie.SetSameSite(fasthttp.CookieSameSiteStrictMode)
	cookie.SetMaxAge(int(sessionLifetime.Seconds()))
	ctx.Response.Header.SetCookie(cookie)
	redirect(ctx, PathDocument)
}

func redirect(ctx *fasthttp.RequestCtx, path string) {
	ctx.Response.Header.Set(fasthttp.HeaderLocation, path)
	ctx.SetStatusCode(fasthttp.StatusSeeOther)
}

// pruneSessions removes the sessions that have expired, and others in no particular order until
// fewer than maxSessions are left. The caller holds mu.
func (s *Server) pruneSessions() {
	now := s.clock.Now()
	for id, known := range s.sessions {
		if now.After(known.expires) || len(s.sessions) >= maxSessions {
			delete(s.sessions, id)
		}
	}
}

// findSession returns the session of the request's cookie and whether it is valid.
func (s *Server) findSession(ctx *fasthttp.RequestCtx) (session, bool) {
	id := ctx.Request.Header.Cookie(cookieName)
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok := s.sessions[string(id)]
	return current, ok && s.clock.Now().Before(current.expires)
}

// page holds the data of the template document.html.
type page struct {
	Budget fieldView
	// Base is the version that the form was made from; zero if there was none.
	Base uint64
	// ChangeID identifies the change, so that a form that is sent twice changes the document once.
	ChangeID string
	CSRF     string
	Message  string
	// Problem is an error message that belongs to no field of the form.
	Problem  string
	Sections []sectionView
	// Stale is set if the register could not be read, so that there may be a newer version.
	Stale bool
}

type sectionView struct {
	section
	Rows []rowView
}

type rowView struct {
	Fields []fieldView
	Index  int
}

type fieldView struct {
	Error string
	Kind  inputKind
	Label string
	Name  string
	Value string
}

// show renders the form for the newest document. If the register can't be read within readTimeout, it
// falls back to the version that this node knows and marks the page as stale.
func (s *Server) show(ctx *fasthttp.RequestCtx, current session) {
	readCtx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	value, err := s.register.Read(readCtx)
	stale := err != nil
	if stale {
		value = s.register.Local()
	}
	p := page{ChangeID: strings.ToLower(rand.Text()), CSRF: current.csrf, Stale: stale}
	document := &validator.Document{}
	if value != nil {
		p.Base = value.Version
		if parsed, err := validator.Parse([]byte(value.Text)); err == nil {
			document = parsed
		}
	}
	if done := ctx.QueryArgs().Peek("done"); len(done) > 0 {
		p.Message = fmt.Sprintf("Version %s is in force.", done)
	}
	f, err := newForm(document)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	p.fillFields(f, nil)
	render(ctx, "document.html", fasthttp.StatusOK, p)
}

// submit handles a submitted form according to the button that was pressed: add or remove a row, check
// the document or put it in force.
func (s *Server) submit(ctx *fasthttp.RequestCtx, current session) {
	get := func(name string) string { return string(ctx.PostArgs().Peek(name)) }
	if subtle.ConstantTimeCompare([]byte(get("csrf")), []byte(current.csrf)) != 1 {
		ctx.Error("the form is not of this session", fasthttp.StatusForbidden)
		return
	}
	f := parseForm(get)
	base, err := strconv.ParseUint(get("base"), 10, 64)
	if err != nil {
		ctx.Error("the form has no version", fasthttp.StatusBadRequest)
		return
	}
	p := page{Base: base, ChangeID: get("change-id"), CSRF: current.csrf}
	action, rest, _ := strings.Cut(get("action"), ":")
	switch action {
	case "add":
		f.addRow(rest)
	case "remove":
		name, row, _ := strings.Cut(rest, ":")
		if i, err := strconv.Atoi(row); err == nil {
			f.removeRow(name, i)
		}
	case "check", "set":
		if f.base, err = s.baseDocument(base); err != nil {
			p.Problem = fmt.Sprintf("Version %d can't be read: %s.", base, err)
			p.fillFields(f, nil)
			render(ctx, "document.html", fasthttp.StatusServiceUnavailable, p)
			return
		}
	}
	if action == "set" {
		s.putInForce(ctx, f, &p)
		return
	}
	status, failure := fasthttp.StatusOK, error(nil)
	if action == "check" {
		status, failure = checkDocument(f, &p)
	}
	p.fillFields(f, failure)
	render(ctx, "document.html", status, p)
}

// baseDocument returns the fields of the version that a form was made from, or nil if there was none or if a newer one is in force,
// with which the form's change conflicts.
func (s *Server) baseDocument(base uint64) (map[string]any, error) {
	if base == 0 {
		return nil, nil
	}
	value := s.register.Local()
	if value == nil || value.Version < base {
		ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
		defer cancel()
		var err error
		if value, err = s.register.Read(ctx); err != nil {
			return nil, err
		}
	}
	if value.Version != base {
		return nil, nil
	}
	standard, err := hujson.Standardize([]byte(value.Text))
	if err != nil {
		return nil, err
	}
	var document map[string]any
	err = json.Unmarshal(standard, &document)
	return document, err
}

// checkDocument validates the form's document and sets the page's message or problem. It returns the HTTP
// status and the validation error.
func checkDocument(f *form, p *page) (int, error) {
	text, err := f.documentText()
	if err == nil {
		_, err = validator.Parse([]byte(text))
	}
	if err != nil {
		p.Problem = "The document is not valid."
		return fasthttp.StatusUnprocessableEntity, err
	}
	p.Message = "The document is valid. It is not in force yet."
	return fasthttp.StatusOK, nil
}

// putInForce validates the form's document and puts it in force. A form that is sent again has the same
// change id and gets the same result.
func (s *Server) putInForce(ctx *fasthttp.RequestCtx, f *form, p *page) {
	if status, failure := checkDocument(f, p); failure != nil {
		p.fillFields(f, failure)
		render(ctx, "document.html", status, p)
		return
	}
	p.Message = ""
	version, err := s.changeDocument(f, p)
	if err == nil {
		redirect(ctx, fmt.Sprintf("%s?done=%d", PathDocument, version))
		return
	}
	status := fasthttp.StatusServiceUnavailable
	p.Problem = err.Error() + ". The change may still come into force; send the form again."
	var conflict *replicator.ConflictError
	if errors.As(err, &conflict) {
		status = fasthttp.StatusPreconditionFailed
		p.Problem = fmt.Sprintf("Another change came first: version %d is in force, and this form was made from version %d. "+
			"Open the newest version and make the change there.", conflict.Current, conflict.Base)
	}
	p.fillFields(f, nil)
	render(ctx, "document.html", status, p)
}

// changeDocument writes the form's document to the register, as the first version if the form was made
// from none, and returns the version that the change made.
func (s *Server) changeDocument(f *form, p *page) (uint64, error) {
	text, err := f.documentText()
	if err != nil {
		return 0, err
	}
	document, err := validator.Parse([]byte(text))
	if err != nil {
		return 0, err
	}
	change := &replicator.Change{
		Author: "console", Base: p.Base, ID: p.ChangeID, Replicas: administrator.Replicas(document),
		Text: text, Time: s.clock.Now().UTC(),
	}
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	if p.Base > 0 {
		return s.register.Change(ctx, change)
	}
	value, err := s.register.Bootstrap(ctx, change)
	if err != nil {
		return 0, err
	}
	return value.Version, nil
}

// fillFields adds the form's fields to the page, each with its validation error. Errors that belong to no
// field of the form are appended to Problem.
func (p *page) fillFields(f *form, failure error) {
	var fields validator.FieldErrors
	errors.As(failure, &fields)
	reasons := make(map[string]string)
	for _, field := range fields {
		reasons[field.Field] = field.Reason
	}
	newFieldView := func(name, label string, k inputKind) fieldView {
		view := fieldView{Error: reasons[name], Kind: k, Label: label, Name: name, Value: f.values[name]}
		delete(reasons, name)
		return view
	}
	p.Budget = newFieldView(budgetField, "Control bytes a second", kindNumber)
	for _, s := range sections {
		view := sectionView{section: s}
		for i := range f.rows[s.Name] {
			row := rowView{Index: i}
			for _, c := range s.Columns {
				row.Fields = append(row.Fields, newFieldView(fieldName(s.Name, i, c.Name), c.Label, c.Kind))
			}
			view.Rows = append(view.Rows, row)
		}
		p.Sections = append(p.Sections, view)
	}
	for _, field := range fields {
		if reason, unused := reasons[field.Field]; unused {
			p.Problem += fmt.Sprintf(" %s: %s.", field.Field, reason)
		}
	}
}

// render executes the named template and sets the status. A template error turns into a status 500.
func render(ctx *fasthttp.RequestCtx, name string, status int, data any) {
	ctx.Response.Header.SetContentType("text/html; charset=utf-8")
	ctx.SetStatusCode(status)
	if err := templates.ExecuteTemplate(ctx, name, data); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
	}
}

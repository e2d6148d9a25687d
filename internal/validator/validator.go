package validator

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/tailscale/hujson"
)

// Limits of a document and the values in it.
const (
	// MaxDocumentBytes is the size of the largest document that Parse accepts, 1 MiB.
	MaxDocumentBytes = 1 << 20
	maxAttempts      = 100
	// maxDeadline limits deadlines, target latencies and the timeouts in Limits.
	maxDeadline = 10 * time.Minute
	// maxLimitBytes limits the sizes in Limits.
	maxLimitBytes      = 1 << 30
	maxNeighbours      = 1000
	maxRanks           = 16
	maxControlReplicas = 7
	maxRoutes          = 10000
	maxServices        = 1000
	maxRetrySlack      = 1e6
	maxSplitServices   = 100
	// maxWait limits target waits and the retry window.
	maxWait   = time.Minute
	maxWeight = 1e6
	// minControlBytes is the lowest limit of control bytes per second.
	minControlBytes = 500
)

// ErrInvalid is wrapped by every error of Parse and Validate.
var ErrInvalid = merry.Sentinel("invalid document")

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,62}[a-z0-9])?$`)

var knownMethods = map[string]bool{
	"DELETE": true, "GET": true, "HEAD": true, "OPTIONS": true, "PATCH": true, "POST": true, "PUT": true,
}

// FieldError describes one field that breaks a rule.
type FieldError struct {
	Field  string `json:"field"`
	Value  string `json:"value"`
	Reason string `json:"reason"`
}

// Error implements error.
func (f FieldError) Error() string {
	return fmt.Sprintf("%s: %q: %s", f.Field, f.Value, f.Reason)
}

// FieldErrors lists all fields of a document that break a rule. It wraps ErrInvalid.
type FieldErrors []FieldError

// Error implements error.
func (f FieldErrors) Error() string {
	lines := make([]string, 0, len(f))
	for _, one := range f {
		lines = append(lines, one.Error())
	}
	return strings.Join(lines, "; ")
}

// Unwrap returns ErrInvalid.
func (FieldErrors) Unwrap() error {
	return ErrInvalid
}

// Parse decodes a document that is written in JSON with comments, and validates it. All broken rules are returned
// together as FieldErrors. A document that is too large or can't be decoded gives a single FieldError.
func Parse(data []byte) (*Document, error) {
	if len(data) > MaxDocumentBytes {
		return nil, FieldErrors{{Field: "document", Value: fmt.Sprint(len(data)), Reason: "larger than 1 MiB"}}
	}
	var document Document
	if err := DecodeStrict(data, &document); err != nil {
		return nil, FieldErrors{decodeFieldError(err)}
	}
	if err := document.Validate(); err != nil {
		return nil, err
	}
	return &document, nil
}

// decodeFieldError converts a decoding error into the error of the field that caused it, or of the whole document if
// the field is not known.
func decodeFieldError(err error) FieldError {
	var located *LocatedError
	if errors.As(err, &located) {
		return FieldError{Field: located.Path, Value: strings.Trim(located.Value, `"`), Reason: located.Cause.Error()}
	}
	return FieldError{Field: "document", Reason: err.Error()}
}

// DecodeStrict decodes JSON with comments into v, which points to a struct, and rejects unknown fields and trailing
// data. The error is a *LocatedError if a single value causes it.
func DecodeStrict(data []byte, v any) error {
	standard, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return hideLiteral(err)
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		path, value := locate(standard, reflect.TypeOf(v).Elem())
		if path == "" {
			return err
		}
		return &LocatedError{Cause: err, Path: path, Value: shownValue(path, string(value))}
	}
	if decoder.More() {
		return errors.New("data after the end of the value")
	}
	return nil
}

// Validate checks every rule and returns all broken ones as FieldErrors, or nil if there are none.
func (d *Document) Validate() error {
	c := &checker{document: d}
	c.checkBudgets()
	c.checkLimits()
	c.checkNeighbours()
	c.checkRanks()
	c.checkServices()
	c.checkRoutes()
	c.checkReplicas()
	c.checkWorkspaces()
	if len(c.errors) == 0 {
		return nil
	}
	return c.errors
}

// checker collects the broken rules of a document.
type checker struct {
	document *Document
	errors   FieldErrors
}

func (c *checker) addError(field string, value any, reason string) {
	c.errors = append(c.errors, FieldError{Field: field, Value: fmt.Sprint(value), Reason: reason})
}

func (c *checker) checkCount(field string, n, limit int) {
	if n > limit {
		c.addError(field, n, fmt.Sprintf("more than %d entries", limit))
	}
}

func (c *checker) checkName(field, value string, seen map[string]bool) {
	if !namePattern.MatchString(value) {
		c.addError(field, value, "want 1 to 64 lower-case letters, digits and inner hyphens")
	}
	if seen[value] {
		c.addError(field, value, "already used")
	}
	seen[value] = true
}

func (c *checker) checkRange(field string, value, low, high float64) {
	if !(value >= low && value <= high) {
		c.addError(field, value, fmt.Sprintf("want %g to %g", low, high))
	}
}

func (c *checker) checkDuration(field string, value Duration, high time.Duration) {
	if value.Std() <= 0 || value.Std() > high {
		c.addError(field, value.Std(), fmt.Sprintf("want more than 0s and at most %s", high))
	}
}

func (c *checker) checkBudgets() {
	budget := c.document.Budgets.ControlBytesPerSecond
	if budget < minControlBytes {
		c.addError("budgets.control-bytes-per-second", budget, fmt.Sprintf("want at least %d", minControlBytes))
	}
	c.checkRange("budgets.retry-slack", c.document.Budgets.RetrySlack, 0, maxRetrySlack)
	c.checkOptionalDuration("budgets.retry-window", c.document.Budgets.RetryWindow, maxWait)
}

func (c *checker) checkLimits() {
	limits := c.document.Limits
	c.checkOptionalDuration("limits.header-timeout", limits.HeaderTimeout, maxDeadline)
	c.checkOptionalDuration("limits.idle-timeout", limits.IdleTimeout, maxDeadline)
	c.checkRange("limits.max-body-bytes", float64(limits.MaxBodyBytes), 0, maxLimitBytes)
	c.checkRange("limits.max-header-bytes", float64(limits.MaxHeaderBytes), 0, maxLimitBytes)
}

// checkOptionalDuration checks a duration that can be left out, unless it is zero.
func (c *checker) checkOptionalDuration(field string, value Duration, high time.Duration) {
	if value != 0 {
		c.checkDuration(field, value, high)
	}
}

func (c *checker) checkNeighbours() {
	c.checkCount("neighbours", len(c.document.Neighbours), maxNeighbours)
	seen := map[string]bool{}
	for i, neighbour := range c.document.Neighbours {
		field := fmt.Sprintf("neighbours[%d]", i)
		c.checkName(field+".name", neighbour.Name, seen)
		c.checkRange(field+".retry-ratio", neighbour.RetryRatio, 0, 1)
		c.checkRange(field+".weight", neighbour.Weight, 1/maxWeight, maxWeight)
	}
}

func (c *checker) checkRanks() {
	c.checkCount("ranks", len(c.document.Ranks), maxRanks)
	seen := map[string]bool{}
	sum := 0.0
	for i, rank := range c.document.Ranks {
		field := fmt.Sprintf("ranks[%d]", i)
		c.checkName(field+".name", rank.Name, seen)
		c.checkRange(field+".guaranteed-share", rank.GuaranteedShare, 0, 1)
		c.checkDuration(field+".target-wait", rank.TargetWait, maxWait)
		sum += rank.GuaranteedShare
	}
	if sum > 1+1e-9 {
		c.addError("ranks", sum, "the guaranteed shares add up to more than 1")
	}
}

func (c *checker) hasNeighbour(name string) bool {
	for _, neighbour := range c.document.Neighbours {
		if neighbour.Name == name {
			return true
		}
	}
	return false
}

func (c *checker) hasService(name string) bool {
	for _, service := range c.document.Services {
		if service.Name == name {
			return true
		}
	}
	return false
}

func (c *checker) checkServices() {
	c.checkCount("services", len(c.document.Services), maxServices)
	seen := map[string]bool{}
	for i, service := range c.document.Services {
		field := fmt.Sprintf("services[%d]", i)
		c.checkName(field+".name", service.Name, seen)
		if !c.hasNeighbour(service.Neighbour) {
			c.addError(field+".neighbour", service.Neighbour, "no such neighbour")
		}
		c.checkRange(field+".cold-per-second", service.ColdPerSecond, 0, maxRatePerSecond)
	}
}

func (c *checker) checkRoutes() {
	c.checkCount("routes", len(c.document.Routes), maxRoutes)
	seen := make(map[routeKey]bool, len(c.document.Routes))
	for i := range c.document.Routes {
		first := len(c.errors)
		c.checkRoute("", &c.document.Routes[i], seen)
		// There can be thousands of routes, so that only those with an error are named.
		for j := range c.errors[first:] {
			broken := &c.errors[first+j]
			broken.Field = fmt.Sprintf("routes[%d]%s", i, broken.Field)
		}
	}
}

// checkRoute checks a route. The names of its fields begin with field.
func (c *checker) checkRoute(field string, route *Route, seen map[routeKey]bool) {
	if !strings.HasPrefix(route.PathPrefix, "/") {
		c.addError(field+".path-prefix", route.PathPrefix, "want a path that starts with /")
	}
	c.checkDestination(field, route)
	c.checkRegions(field+".allowed-regions", route.AllowedRegions)
	if _, ok := c.document.RankIndex(route.Rank); !ok {
		c.addError(field+".rank", route.Rank, "no such rank")
	}
	if route.Neighbour != "" && !c.hasNeighbour(route.Neighbour) {
		c.addError(field+".neighbour", route.Neighbour, "no such neighbour")
	}
	c.checkDuration(field+".deadline", route.Deadline, maxDeadline)
	c.checkOptionalDuration(field+".target-latency", route.TargetLatency, maxDeadline)
	c.checkRange(field+".attempts", float64(route.Attempts), 0, maxAttempts)
	key := routeKey{host: HostName(route.Host), pathPrefix: route.PathPrefix}
	if len(route.Methods) == 0 {
		c.checkUniqueRoute(field, key, seen)
	}
	for j, method := range route.Methods {
		name := fmt.Sprintf("%s.methods[%d]", field, j)
		if !knownMethods[method] {
			c.addError(name, method, "no such method")
		}
		key.method = method
		c.checkUniqueRoute(name, key, seen)
	}
}

// routeKey is what no two routes have in common. The method is empty if the route names none.
type routeKey struct {
	host, method, pathPrefix string
}

// String implements fmt.Stringer.
func (k routeKey) String() string {
	if k.method == "" {
		return k.host + " " + k.pathPrefix
	}
	return k.host + " " + k.method + " " + k.pathPrefix
}

// checkUniqueRoute rejects a second route with the same key.
func (c *checker) checkUniqueRoute(field string, key routeKey, seen map[routeKey]bool) {
	if seen[key] {
		c.addError(field, key, "already routed")
	}
	seen[key] = true
}

// checkDestination checks the service or the weighted services that a route leads to.
func (c *checker) checkDestination(field string, route *Route) {
	if len(route.Split) == 0 {
		c.checkServiceExists(field+".service", route.Service)
		return
	}
	if route.Service != "" {
		c.addError(field+".service", route.Service, "want either a service or a split")
	}
	c.checkCount(field+".split", len(route.Split), maxSplitServices)
	sum := 0.0
	for i, part := range route.Split {
		name := fmt.Sprintf("%s.split[%d]", field, i)
		c.checkServiceExists(name+".service", part.Service)
		c.checkRange(name+".weight", part.Weight, 0, maxWeight)
		sum += part.Weight
	}
	if !(sum > 0) {
		c.addError(field+".split", sum, "the weights add up to nothing")
	}
}

func (c *checker) checkServiceExists(field, name string) {
	if !c.hasService(name) {
		c.addError(field, name, "no such service")
	}
}

func (c *checker) checkReplicas() {
	count := len(c.document.ControlReplicas)
	if count > maxControlReplicas {
		c.addError("control-replicas", count, "want at most 7")
	}
	seen := map[string]bool{}
	for i, replica := range c.document.ControlReplicas {
		field := fmt.Sprintf("control-replicas[%d]", i)
		c.checkName(field+".vm", replica.VM, seen)
		if replica.DiskID == "" {
			c.addError(field+".disk-id", "", "want the disk id that the replica's node logs at its start")
		}
	}
}

package validator

import (
	"slices"
	"sort"
	"strings"
)

// Matcher finds the route of a request. It is immutable and safe for concurrent use.
type Matcher struct {
	// byHost holds the routes of each host in its normal form; routes for any host have the key "".
	byHost map[string][]*Route
}

// NewMatcher returns a matcher for the document's routes. Among the matching routes, those with a host take
// precedence over those without, and then the longest path prefix wins.
func NewMatcher(document *Document) *Matcher {
	byHost := make(map[string][]*Route)
	for i := range document.Routes {
		route := &document.Routes[i]
		host := HostName(route.Host)
		byHost[host] = append(byHost[host], route)
	}
	for _, routes := range byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	return &Matcher{byHost: byHost}
}

// Match returns the route of a request, or nil if none matches. A port in host is ignored. A prefix matches whole
// path segments: "/a" matches "/a" and "/a/b", but not "/ab".
func (m *Matcher) Match(host, method, path string) *Route {
	if route := m.matchHost(HostName(host), method, path); route != nil {
		return route
	}
	return m.matchHost("", method, path)
}

func (m *Matcher) matchHost(host, method, path string) *Route {
	for _, route := range m.byHost[host] {
		if len(route.Methods) > 0 && !slices.Contains(route.Methods, method) {
			continue
		}
		if hasPathPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

func hasPathPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	if strings.HasSuffix(prefix, "/") || len(path) == len(prefix) {
		return true
	}
	return path[len(prefix)] == '/'
}

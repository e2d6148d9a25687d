// Package validator defines the configuration document, parses it and checks every rule that it must meet.
package validator

import (
	"time"
)

// Document is the whole configuration of a deployment.
type Document struct {
	Budgets Budgets `json:"budgets"`
	// ControlReplicas lists the replicas of the register; if it is empty, the nodes choose them.
	ControlReplicas []ControlReplica `json:"control-replicas,omitempty"`
	Credentials     Credentials      `json:"credentials,omitzero"`
	Limits          Limits           `json:"limits,omitzero"`
	Neighbours      []Neighbour      `json:"neighbours"`
	Quotas          Quotas           `json:"quotas,omitzero"`
	Ranks           []Rank           `json:"ranks"`
	Routes          []Route          `json:"routes"`
	Services        []Service        `json:"services"`
	// Workspaces are the customers whose requests carry an API key. Without any, no request needs one.
	Workspaces []Workspace `json:"workspaces,omitempty"`
}

// Budgets limits the control traffic of each node and the retries of all nodes together.
type Budgets struct {
	// ControlBytesPerSecond is the limit of control bytes per second that a node sends, including headers.
	ControlBytesPerSecond int `json:"control-bytes-per-second"`
	// RetrySlack is the number of retries that all nodes together can make for each service per RetryWindow, in
	// addition to those that the neighbours' retry ratios allow. Zero allows each node a small number of its own.
	RetrySlack  float64  `json:"retry-slack,omitempty"`
	RetryWindow Duration `json:"retry-window,omitempty"`
}

// Limits sets limits on what a caller can send and how long it can take. Zero selects the node's default.
type Limits struct {
	HeaderTimeout  Duration `json:"header-timeout,omitempty"`
	IdleTimeout    Duration `json:"idle-timeout,omitempty"`
	MaxBodyBytes   int      `json:"max-body-bytes,omitempty"`
	MaxHeaderBytes int      `json:"max-header-bytes,omitempty"`
}

// ControlReplica identifies one replica of the register.
type ControlReplica struct {
	VM     string `json:"vm"`
	DiskID string `json:"disk-id"`
}

// Neighbour is a customer that shares the upstreams with others and whose use of them is accounted separately.
type Neighbour struct {
	Name string `json:"name"`
	// RetryRatio is the number of retries allowed per first attempt, from 0 to 1.
	RetryRatio float64 `json:"retry-ratio"`
	// Weight is the neighbour's relative share within a rank, from 1e-6 to 1e6.
	Weight float64 `json:"weight"`
}

// Rank is a priority class of requests. A document lists its ranks from the most to the least urgent.
type Rank struct {
	Name string `json:"name"`
	// GuaranteedShare is the fraction of each upstream's slot-time that the rank can claim, from 0 to 1.
	GuaranteedShare float64 `json:"guaranteed-share"`
	// TargetWait is the longest wait in a queue that the rank accepts: above 0 and up to 1 minute.
	TargetWait Duration `json:"target-wait"`
}

// Route maps requests to a service, or to several by weight.
type Route struct {
	// AllowedRegions are the regions in which the requests can run; empty for all.
	AllowedRegions []string `json:"allowed-regions,omitempty"`
	// Attempts is the maximum number of upstreams that one request is sent to, up to 100; zero selects the default.
	Attempts int      `json:"attempts,omitempty"`
	Deadline Duration `json:"deadline"`
	// Host is the host name that the route matches; empty matches all.
	Host string `json:"host,omitempty"`
	// Idempotent is true if a request can run more than once without harm.
	Idempotent bool `json:"idempotent"`
	// Methods lists the HTTP methods that the route matches; empty matches all.
	Methods []string `json:"methods,omitempty"`
	// Name identifies the route in logs and metrics.
	Name string `json:"name,omitempty"`
	// Neighbour is charged for the requests; empty for the service's neighbour.
	Neighbour  string `json:"neighbour,omitempty"`
	PathPrefix string `json:"path-prefix"`
	// Public is true if requests need no API key.
	Public  bool   `json:"public,omitempty"`
	Rank    string `json:"rank"`
	Service string `json:"service,omitempty"`
	// Split distributes the requests among several services by weight. It replaces Service.
	Split []Part `json:"split,omitempty"`
	// TargetLatency is the time within which a response is of full use to the caller; zero if there is no target.
	TargetLatency Duration `json:"target-latency,omitempty"`
}

// Part is one of the services of a route's Split. It receives the requests in proportion to its weight.
type Part struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Services returns the names of all services that the route sends requests to.
func (r *Route) Services() []string {
	if len(r.Split) == 0 {
		return []string{r.Service}
	}
	names := make([]string, 0, len(r.Split))
	for _, part := range r.Split {
		names = append(names, part.Service)
	}
	return names
}

// Service is a set of interchangeable upstreams.
type Service struct {
	// ColdPerSecond is the number of requests per second that an upstream bears while it is cold; zero if it has no such
	// limit.
	ColdPerSecond float64 `json:"cold-per-second,omitempty"`
	// HealthPath is the path on which a healthy upstream answers with status 200; empty for no health check.
	HealthPath string `json:"health-path,omitempty"`
	// MaxConnections limits the connections to one upstream; zero for no limit.
	MaxConnections int    `json:"max-connections,omitempty"`
	Name           string `json:"name"`
	Neighbour      string `json:"neighbour"`
}

// ServiceNamed returns the service with the name, and whether there is one.
func (d *Document) ServiceNamed(name string) (Service, bool) {
	for _, service := range d.Services {
		if service.Name == name {
			return service, true
		}
	}
	return Service{}, false
}

// WorkspaceNamed returns the workspace with the name, or nil if there is none.
func (d *Document) WorkspaceNamed(name string) *Workspace {
	for i := range d.Workspaces {
		if d.Workspaces[i].Name == name {
			return &d.Workspaces[i]
		}
	}
	return nil
}

// RankIndex returns the position of the named rank, 0 being the most urgent, and whether there is such a rank.
func (d *Document) RankIndex(name string) (int, bool) {
	for i, rank := range d.Ranks {
		if rank.Name == name {
			return i, true
		}
	}
	return 0, false
}

// NeighbourOf returns the neighbour to whose account the route's calls to the service are charged: that of the
// route if it names one, otherwise that of the service.
func (d *Document) NeighbourOf(route *Route, service string) string {
	if route.Neighbour != "" {
		return route.Neighbour
	}
	found, _ := d.ServiceNamed(service)
	return found.Neighbour
}

// ServiceRetryRatio returns the retry ratio of the neighbour that the service belongs to, in retries per first
// attempt.
func (d *Document) ServiceRetryRatio(service string) float64 {
	found, _ := d.ServiceNamed(service)
	return d.NeighbourRetryRatio(found.Neighbour)
}

// NeighbourRetryRatio returns the retry ratio of a neighbour, or zero if there is no such neighbour.
func (d *Document) NeighbourRetryRatio(neighbour string) float64 {
	for i := range d.Neighbours {
		if d.Neighbours[i].Name == neighbour {
			return d.Neighbours[i].RetryRatio
		}
	}
	return 0
}

// Duration is a time.Duration that is encoded as a string such as "250ms".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// UnmarshalText implements encoding.TextUnmarshaler. It accepts what time.ParseDuration does.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

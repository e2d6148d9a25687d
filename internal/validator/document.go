// Package validator defines the configuration document and every rule that it must meet.
package validator

import (
	"time"
)

// Document is the whole configuration of a deployment.
type Document struct {
	Budgets Budgets `json:"budgets"`
	// ControlReplicas are the voters of the register; it finds them by itself where there are none.
	ControlReplicas []ControlReplica `json:"control-replicas,omitempty"`
	Limits          Limits           `json:"limits,omitzero"`
	Neighbours      []Neighbour      `json:"neighbours"`
	Ranks           []Rank           `json:"ranks"`
	Routes          []Route          `json:"routes"`
	Services        []Service        `json:"services"`
}

// Budgets bounds what control may cost each node.
type Budgets struct {
	// ControlBytesPerSecond bounds the control bytes that a node sends, with headers.
	ControlBytesPerSecond int `json:"control-bytes-per-second"`
	// RetrySlack is how many retries all nodes together may make for each service in a RetryWindow,
	// beside the neighbours' ratios; zero leaves each node a small number of its own.
	RetrySlack  float64  `json:"retry-slack,omitempty"`
	RetryWindow Duration `json:"retry-window,omitempty"`
}

// Limits bounds what a caller may send and how long it may take. A zero leaves the node's default.
type Limits struct {
	HeaderTimeout  Duration `json:"header-timeout,omitempty"`
	IdleTimeout    Duration `json:"idle-timeout,omitempty"`
	MaxBodyBytes   int      `json:"max-body-bytes,omitempty"`
	MaxHeaderBytes int      `json:"max-header-bytes,omitempty"`
}

// ControlReplica names one voter of the replicated register.
type ControlReplica struct {
	VM     string `json:"vm"`
	DiskID string `json:"disk-id"`
}

// Neighbour is a customer that shares the pool and is accounted for.
type Neighbour struct {
	Name string `json:"name"`
	// RetryRatio is the number of retries allowed for each first try, from 0 to 1.
	RetryRatio float64 `json:"retry-ratio"`
	// Weight is the relative share within a rank.
	Weight float64 `json:"weight"`
}

// Rank is a class of work. Ranks are listed from the most to the least urgent.
type Rank struct {
	Name string `json:"name"`
	// GuaranteedShare is the part of each upstream's slot-time that the rank can claim, from 0 to 1.
	GuaranteedShare float64 `json:"guaranteed-share"`
	// TargetWait is the longest wait in a queue that the rank accepts.
	TargetWait Duration `json:"target-wait"`
}

// Route maps requests to a service, or to several by weight.
type Route struct {
	// Attempts is the number of upstreams that one request may be sent to; zero for the default.
	Attempts   int      `json:"attempts,omitempty"`
	Deadline   Duration `json:"deadline"`
	Host       string   `json:"host,omitempty"`
	Idempotent bool     `json:"idempotent"`
	// Methods lists the methods that the route takes; empty for all.
	Methods []string `json:"methods,omitempty"`
	// Name tells the route in logs and metrics.
	Name       string `json:"name,omitempty"`
	Neighbour  string `json:"neighbour,omitempty"`
	PathPrefix string `json:"path-prefix"`
	Rank       string `json:"rank"`
	Service    string `json:"service,omitempty"`
	// Split shares the requests out by weight; it stands in place of Service.
	Split []Part `json:"split,omitempty"`
	// TargetLatency is the time within which an answer is of full use; zero where none is set.
	TargetLatency Duration `json:"target-latency,omitempty"`
}

// Part is one service's part of a route's requests.
type Part struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Services returns the names of the services that the route leads to.
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
	// HealthPath answers 200 while an upstream is well; empty for none.
	HealthPath string `json:"health-path,omitempty"`
	// MaxConnections bounds the connections to one upstream; zero for no bound.
	MaxConnections int    `json:"max-connections,omitempty"`
	Name           string `json:"name"`
	Neighbour      string `json:"neighbour"`
}

// ServiceNamed returns the service with the name.
func (d *Document) ServiceNamed(name string) (Service, bool) {
	for _, service := range d.Services {
		if service.Name == name {
			return service, true
		}
	}
	return Service{}, false
}

// RankIndex returns the position of the named rank, 0 being the most urgent.
func (d *Document) RankIndex(name string) (int, bool) {
	for i, rank := range d.Ranks {
		if rank.Name == name {
			return i, true
		}
	}
	return 0, false
}

// NeighbourOf returns the neighbour on whose account the route's calls to the service are.
func (d *Document) NeighbourOf(route *Route, service string) string {
	if route.Neighbour != "" {
		return route.Neighbour
	}
	found, _ := d.ServiceNamed(service)
	return found.Neighbour
}

// RetryRatioOf returns the number of retries that the service's neighbour allows for each first try.
func (d *Document) RetryRatioOf(service string) float64 {
	found, _ := d.ServiceNamed(service)
	return d.RatioOf(found.Neighbour)
}

// RatioOf returns the retry ratio of a neighbour, or zero for one that is not there.
func (d *Document) RatioOf(neighbour string) float64 {
	for i := range d.Neighbours {
		if d.Neighbours[i].Name == neighbour {
			return d.Neighbours[i].RetryRatio
		}
	}
	return 0
}

// Duration is a time.Duration written as a string such as "250ms".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Std returns the duration as the standard type.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

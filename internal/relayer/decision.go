package relayer

import (
	"slices"

	"github.com/marigoldrelay/marigoldrelay/internal/administrator"
	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
	"github.com/marigoldrelay/marigoldrelay/internal/router"
	"github.com/marigoldrelay/marigoldrelay/internal/validator"
)

// Decision says where a request would go now, and why. A request is not sent for it.
type Decision struct {
	// Refusal is the reason for which the request would be refused at once, and Detail says more; empty if it would be sent.
	Refusal refuser.Reason `json:"refusal,omitempty"`
	Detail  string         `json:"detail,omitempty"`
	// Route, Rank and Public are those of the matching route, Rank that of the workspace if it has one.
	Route  string `json:"route,omitempty"`
	Rank   string `json:"rank,omitempty"`
	Public bool   `json:"public,omitempty"`
	// RatePerSecond and Burst are the quota of the workspace; zero if it has none. Whether a token is left is decided by the
	// granters when a request comes.
	RatePerSecond float64 `json:"rate-per-second,omitempty"`
	Burst         float64 `json:"burst,omitempty"`
	// Services are those that the route can lead to.
	Services []ServiceDecision `json:"services,omitempty"`
}

// ServiceDecision is the part of a Decision for one service.
type ServiceDecision struct {
	Service string `json:"service"`
	// Weight is that of the service in a split; zero if the route has none.
	Weight float64 `json:"weight,omitempty"`
	// ShareSentAway is the part of the requests that leaves the data centre now, where the settings let a share decide.
	ShareSentAway float64                 `json:"share-sent-away,omitempty"`
	Candidates    []router.CandidateState `json:"candidates"`
}

// Decide returns where a request would go now. It changes nothing.
func (n *Node) Decide(q administrator.DecisionQuery) Decision {
	document := n.currentDocument()
	if document == nil {
		return Decision{Refusal: refuser.ReasonNoDocument, Detail: "no configuration is in force yet"}
	}
	route := validator.NewMatcher(document).Match(q.Host, q.Method, q.Path)
	if route == nil {
		return Decision{Refusal: refuser.ReasonNoRoute, Detail: "no route for this host, method and path"}
	}
	d := Decision{Route: route.Name, Rank: route.Rank, Public: route.Public}
	regions := route.AllowedRegions
	if len(document.Workspaces) > 0 && !route.Public {
		workspace := document.WorkspaceNamed(q.Workspace)
		if workspace == nil {
			d.Refusal, d.Detail = refuser.ReasonUnknownKey, "the route needs the API key of a workspace"
			return d
		}
		d.RatePerSecond, d.Burst = workspace.RatePerSecond, workspace.Burst
		if workspace.Rank != "" {
			d.Rank = workspace.Rank
		}
		if !n.authenticator.IsConfirmed() {
			d.Refusal, d.Detail = refuser.ReasonUnconfirmed, "the node can't know whether its document is the newest"
			return d
		}
		var ok bool
		if regions, ok = validator.CommonRegions(regions, workspace.AllowedRegions); !ok {
			d.Refusal, d.Detail = refuser.ReasonNoRegion, "the route and the workspace allow no region in common"
			return d
		}
	}
	d.Services = n.decideServices(route, regions)
	switch {
	case n.draining.Load():
		d.Refusal, d.Detail = refuser.ReasonDraining, "the node is draining: requests that can outlast it are refused"
	case slices.ContainsFunc(d.Services, ServiceDecision.canServe):
	case len(regions) > 0:
		d.Refusal, d.Detail = refuser.ReasonNoRegion, "no candidate in an allowed region can be picked"
	default:
		d.Refusal, d.Detail = refuser.ReasonNoUpstream, "no candidate can be picked"
	}
	return d
}

// decideServices returns the candidates of each service of the route.
func (n *Node) decideServices(route *validator.Route, regions []string) []ServiceDecision {
	var services []ServiceDecision
	shares := n.router.Shares()
	for i, name := range route.Services() {
		s := ServiceDecision{Service: name, Candidates: n.router.Candidates(router.Need{AllowedRegions: regions, Service: name})}
		if len(route.Split) > 0 {
			s.Weight = route.Split[i].Weight
		}
		for j := range shares {
			if shares[j].Service == name {
				s.ShareSentAway = shares[j].Share
			}
		}
		services = append(services, s)
	}
	return services
}

// canServe reports whether a candidate of the service can be picked. One that backs off is, if there is no other.
func (s ServiceDecision) canServe() bool {
	return slices.ContainsFunc(s.Candidates, func(c router.CandidateState) bool {
		return c.RuledOut == "" || c.RuledOut == router.RuledOutBackoff
	})
}

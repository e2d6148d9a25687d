package validator

import (
	"fmt"
	"slices"
)

// Workspace is a customer with API keys, and a quota over all nodes.
type Workspace struct {
	// AllowedRegions are the regions in which the workspace's requests can run; empty for all.
	AllowedRegions []string `json:"allowed-regions,omitempty"`
	APIKeys        []string `json:"api-keys"`
	// Burst is the number of requests beyond the rate that can be made at once.
	Burst float64 `json:"burst,omitempty"`
	Name  string  `json:"name"`
	// Rank takes precedence over that of the route; empty for the route's.
	Rank string `json:"rank,omitempty"`
	// RatePerSecond is the quota in requests per second; zero for none.
	RatePerSecond float64 `json:"rate-per-second,omitempty"`
	// Weight is the relative share within a rank and a neighbour; zero for the rate, or 1 if there is none.
	Weight float64 `json:"weight,omitempty"`
}

// HasQuota reports whether the number of the workspace's requests is limited.
func (w *Workspace) HasQuota() bool {
	return w.RatePerSecond > 0
}

// ShareWeight returns the weight of the workspace in a fair share.
func (w *Workspace) ShareWeight() float64 {
	switch {
	case w.Weight > 0:
		return w.Weight
	case w.RatePerSecond > 0:
		return w.RatePerSecond
	default:
		return 1
	}
}

// CommonRegions returns the regions that both lists allow; an empty list allows all. It reports false if none is left.
func CommonRegions(a, b []string) (common []string, ok bool) {
	switch {
	case len(a) == 0:
		return b, true
	case len(b) == 0:
		return a, true
	}
	common = slices.DeleteFunc(slices.Clone(a), func(region string) bool { return !slices.Contains(b, region) })
	return common, len(common) > 0
}

// Credentials sets how API keys are handled.
type Credentials struct {
	// RevocationTime is how long a key can be used after a version without it was acknowledged, at nodes that are cut off as
	// well. Zero sets no limit for these.
	RevocationTime Duration `json:"revocation-time,omitempty"`
}

// Quotas sets the precision with which the workspaces' quotas hold: in each Window, at most (rate * Window + burst) *
// (1 + Overage) + Slack requests of a workspace are served.
type Quotas struct {
	Overage float64  `json:"overage,omitempty"`
	Slack   float64  `json:"slack,omitempty"`
	Window  Duration `json:"window,omitempty"`
}

// Limits of workspaces.
const (
	maxAPIKeys     = 1000
	maxAPIKeyBytes = 256
	maxRegions     = 100
	// maxRatePerSecond limits rates and bursts.
	maxRatePerSecond = 1e9
	maxQuotaOverage  = 10
	maxQuotaSlack    = 1e6
	maxWorkspaces    = 10000
)

func (c *checker) checkWorkspaces() {
	c.checkOptionalDuration("credentials.revocation-time", c.document.Credentials.RevocationTime, maxDeadline)
	quotas := c.document.Quotas
	c.checkOptionalDuration("quotas.window", quotas.Window, maxWait)
	c.checkRange("quotas.overage", quotas.Overage, 0, maxQuotaOverage)
	c.checkRange("quotas.slack", quotas.Slack, 0, maxQuotaSlack)
	c.checkCount("workspaces", len(c.document.Workspaces), maxWorkspaces)
	names, keys := map[string]bool{}, map[string]bool{}
	for i := range c.document.Workspaces {
		c.checkWorkspace(indexedField("workspaces", i), &c.document.Workspaces[i], names, keys)
	}
}

func (c *checker) checkWorkspace(field string, w *Workspace, names, keys map[string]bool) {
	c.checkName(field+".name", w.Name, names)
	c.checkRegions(field+".allowed-regions", w.AllowedRegions)
	c.checkRange(field+".rate-per-second", w.RatePerSecond, 0, maxRatePerSecond)
	c.checkRange(field+".burst", w.Burst, 0, maxRatePerSecond)
	c.checkRange(field+".weight", w.Weight, 0, maxRatePerSecond)
	if _, ok := c.document.RankIndex(w.Rank); w.Rank != "" && !ok {
		c.addError(field+".rank", w.Rank, "no such rank")
	}
	c.checkCount(field+".api-keys", len(w.APIKeys), maxAPIKeys)
	for j, key := range w.APIKeys {
		c.checkAPIKey(indexedField(field+".api-keys", j), key, keys)
	}
}

// checkAPIKey checks a key and that no other workspace has it. The errors do not contain the key.
func (c *checker) checkAPIKey(field, key string, seen map[string]bool) {
	switch {
	case key == "":
		c.addError(field, hiddenValue, "want a key")
	case len(key) > maxAPIKeyBytes:
		c.addError(field, hiddenValue, "longer than 256 bytes")
	case !isVisible(key):
		c.addError(field, hiddenValue, "want visible ASCII characters without blanks")
	case seen[key]:
		c.addError(field, hiddenValue, "already used")
	}
	seen[key] = true
}

// hiddenValue stands for a key in errors.
const hiddenValue = "(hidden)"

// isVisible reports whether the text has visible ASCII characters only.
func isVisible(text string) bool {
	for _, char := range []byte(text) {
		if char <= ' ' || char > '~' {
			return false
		}
	}
	return true
}

func (c *checker) checkRegions(field string, regions []string) {
	c.checkCount(field, len(regions), maxRegions)
	seen := map[string]bool{}
	for i, region := range regions {
		c.checkName(indexedField(field, i), region, seen)
	}
}

// indexedField returns the name of an element of a list.
func indexedField(list string, index int) string {
	return fmt.Sprintf("%s[%d]", list, index)
}

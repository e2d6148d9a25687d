package quotagranter

import "time"

// Question asks a granter for tokens of a workspace. The names of its fields are short since it is sent for every few requests.
type Question struct {
	// Denied is the number of requests that the entry node has refused for the quota since its last question.
	Denied    int    `json:"d,omitempty"`
	Wanted    int    `json:"n"`
	Workspace string `json:"w"`
}

// Reply is the answer to a Question.
type Reply struct {
	// BackMillis is the time in milliseconds after which a caller that is refused now can expect to find a token.
	BackMillis int `json:"b,omitempty"`
	Granted    int `json:"g,omitempty"`
	// NextMillis is the time in milliseconds before which it is useless to ask again; zero if all wanted tokens were granted.
	NextMillis int `json:"t,omitempty"`
	// Unavailable is why the granter can't grant at all; empty if it can.
	Unavailable Unavailability `json:"u,omitempty"`
}

// Next returns the time before which it is useless to ask again.
func (r *Reply) Next() time.Duration {
	return time.Duration(r.NextMillis) * time.Millisecond
}

// Back returns the time after which a caller that is refused now can expect to find a token.
func (r *Reply) Back() time.Duration {
	return time.Duration(r.BackMillis) * time.Millisecond
}

// Unavailability is the reason why a granter can't grant tokens.
type Unavailability string

// The values of Unavailability. The empty value means that the granter can grant.
const (
	// UnavailableNoQuota means that the granter's document has no quota for the workspace.
	UnavailableNoQuota Unavailability = "no-quota"
	// UnavailableNoReplica means that the node is no replica of the register.
	UnavailableNoReplica Unavailability = "no-replica"
	// UnavailableNotFresh means that the granter can't know whether its revision is the newest.
	UnavailableNotFresh Unavailability = "not-fresh"
	// UnavailableSettling means that the granter was started or became a replica a moment ago.
	UnavailableSettling Unavailability = "settling"
)

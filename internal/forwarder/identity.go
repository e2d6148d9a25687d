package forwarder

import "github.com/valyala/fasthttp"

// Rejection is what a response states about whether its request was run.
type Rejection int

// The values of Rejection.
const (
	// NoRejection is that of a response that does not state that its request was not run.
	NoRejection Rejection = iota
	// IdentifiedRejection is that of a response which states that the request with its ID was not run.
	IdentifiedRejection
	// UnidentifiedRejection is that of a response which states that a request was not run, but not which one.
	UnidentifiedRejection
)

// maxFailedIDs limits the ids that a connection remembers. It is closed after that many failures.
const maxFailedIDs = 64

// rejection returns what the response of the exchange states.
func (x *Exchange) rejection() Rejection {
	if x.Rejection == nil {
		return NoRejection
	}
	return x.Rejection()
}

// isUnproven reports whether the response states that a request was not run but not which one, and may have been meant for another
// one: the connection has carried others. Requests without an ID are trusted to get their responses in order until one has failed.
func (c *conn) isUnproven(x *Exchange) bool {
	if x.rejection() != UnidentifiedRejection {
		return false
	}
	return x.ID != "" && c.isUsed || len(c.failedIDs) > 0
}

// recordResponse remembers the request's id if its response is a failure, since a copy of that could be taken for the
// response to a later request with the same id. It reports whether the connection can carry further requests.
func (c *conn) recordResponse(x *Exchange) (reusable bool) {
	c.isUsed = true
	if x.rejection() == UnidentifiedRejection {
		return false
	}
	if x.ID == "" || x.Response.StatusCode() < fasthttp.StatusBadRequest {
		return true
	}
	if c.failedIDs == nil {
		c.failedIDs = make(map[string]struct{})
	}
	c.failedIDs[x.ID] = struct{}{}
	return len(c.failedIDs) < maxFailedIDs
}

// hasFailed reports whether a request with the id has failed on the connection.
func (c *conn) hasFailed(id string) bool {
	_, ok := c.failedIDs[id]
	return ok && id != ""
}

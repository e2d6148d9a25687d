package budgeter

// Class is what a body belongs to. Each class has a limit of its own within that of a Memory.
type Class int

// The classes.
const (
	// ClassAnswer is for bodies of responses, whose requests have run. Requests that are being received make room for them.
	ClassAnswer Class = iota
	// ClassRequest is for bodies of requests from callers and peers.
	ClassRequest
	// ClassControl is for bodies of requests from operators, upstreams and the platform. Other requests that are being
	// received make room for them.
	ClassControl
	classCount
)

// usage is what the holdings of a class occupy, in bytes.
type usage struct {
	used int
	// leaving is the part of used that belongs to holdings which were given up and are not released yet.
	leaving int
}

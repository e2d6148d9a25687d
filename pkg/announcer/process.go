package announcer

import "fmt"

// Process identifies one run of an upstream. An instance alone does not, because it can start again under its id.
type Process struct {
	// Born is when the process started, in milliseconds since the Unix epoch; zero if it is not known.
	Born int64 `json:"born,omitempty"`
	// Instance is the id that the process announces.
	Instance string `json:"instance"`
}

// Process returns the process that the announcement is of.
func (a Announcement) Process() Process {
	return Process{Born: a.Born, Instance: a.Instance}
}

// IsSame reports whether both are the same process, as far as is known: they have the same instance, and not different
// times at which it started.
func (p Process) IsSame(other Process) bool {
	return p.Instance == other.Instance && (p.Born == other.Born || p.Born == 0 || other.Born == 0)
}

// String implements fmt.Stringer.
func (p Process) String() string {
	return fmt.Sprintf("%s/%d", p.Instance, p.Born)
}

// Leave tells which process of an instance leaves: it finishes its requests and must not get new ones. It is of a process and
// not of an instance, since an instance can start again under its id.
type Leave struct {
	Process
	// BornBy is set, in milliseconds since the Unix epoch, if it is not known when the process started: it had started by
	// then. Later processes of the instance don't leave.
	BornBy int64 `json:"born-by,omitempty"`
}

// Names reports whether the leave is of the process, as far as is known.
func (l Leave) Names(process Process) bool {
	if l.Born == 0 && l.BornBy != 0 {
		return process.Instance == l.Instance && process.Born <= l.BornBy
	}
	return l.IsSame(process)
}

// Package apportioner divides the memory and the descriptors of a process between what needs them.
package apportioner

import "github.com/marigoldrelay/marigoldrelay/internal/budgeter"

// Resources are what a process may use.
type Resources struct {
	// AnswerBytes limits the bodies of answers, within BodyBytes.
	AnswerBytes int
	// BodyBytes limits the bodies of requests and answers; zero for the default.
	BodyBytes int
	// Descriptors is the number of files and connections that the process may open.
	Descriptors int
	// MemoryBytes is the memory of the process; zero if it is not known.
	MemoryBytes int
}

// Shares are the limits that follow from Resources.
type Shares struct {
	// BodyBytes limits the bodies of requests and answers, and ClassBytes those of each budgeter.Class.
	BodyBytes  int
	ClassBytes [3]int
	// CallerConns, ControlConns and PeerConns limit the accepted connections of one address each. The rest of the descriptors
	// is for connections to upstreams and peers, and for files.
	CallerConns, ControlConns, PeerConns int
	// HeapBytes is the soft limit on the memory of the Go runtime; zero for none.
	HeapBytes int
	// RecordBytes limits the records of attempts, and those of idempotency keys, beside the bodies.
	RecordBytes int
}

const (
	// defaultBodyBytes limits bodies where the memory is not known: 128 bodies of the default limit of 4 MiB.
	defaultBodyBytes = 512 << 20
	// defaultRecordBytes limits records where the memory is not known or large.
	defaultRecordBytes = 32 << 20
	// connBytes is what a connection needs without a large body: buffers, a header, a small body and the stack.
	connBytes = 20 << 10
	// minControlBytes admits an operator's configuration of 4 MiB, which occupies twice its size for a moment.
	minControlBytes = 10 << 20
	// minControlConns leaves room for operators and probes.
	minControlConns = 16
)

// Parts of the memory and of the descriptors, in percent. Of 184 MB, bodies get 110, records 11, connections of callers 23 and the
// program with its idle state the rest. A body of 64 MiB occupies 84 MB for a moment.
const (
	bodyPercent          = 60
	requestPercent       = 88
	controlPercent       = 12
	heapPercent          = 85
	recordPercent        = 6
	connMemoryPercent    = 12
	callerConnPercent    = 38
	peerConnPercent      = 19
	controlConnPercent   = 3
	percent              = 100
	maxControlConns      = 256
	descriptorsOfUnknown = 1024
)

// Apportion returns the shares of the resources.
func Apportion(r Resources) Shares {
	s := Shares{BodyBytes: r.BodyBytes, RecordBytes: defaultRecordBytes}
	if r.Descriptors <= 0 {
		r.Descriptors = descriptorsOfUnknown
	}
	s.CallerConns = part(r.Descriptors, callerConnPercent)
	s.PeerConns = part(r.Descriptors, peerConnPercent)
	s.ControlConns = min(max(part(r.Descriptors, controlConnPercent), minControlConns), maxControlConns)
	if r.MemoryBytes > 0 {
		s.HeapBytes = part(r.MemoryBytes, heapPercent)
		s.RecordBytes = min(defaultRecordBytes, part(r.MemoryBytes, recordPercent))
		s.CallerConns = max(1, min(s.CallerConns, part(r.MemoryBytes, connMemoryPercent)/connBytes))
	}
	switch {
	case s.BodyBytes > 0:
	case r.MemoryBytes > 0:
		s.BodyBytes = part(r.MemoryBytes, bodyPercent)
	default:
		s.BodyBytes = defaultBodyBytes + r.AnswerBytes
	}
	s.ClassBytes[budgeter.ClassAnswer] = min(s.BodyBytes, r.AnswerBytes)
	s.ClassBytes[budgeter.ClassRequest] = part(s.BodyBytes, requestPercent)
	s.ClassBytes[budgeter.ClassControl] = min(s.BodyBytes, max(minControlBytes, part(s.BodyBytes, controlPercent)))
	return s
}

// part returns a percentage of a whole, without overflow.
func part(whole, percentage int) int {
	return whole/percent*percentage + whole%percent*percentage/percent
}

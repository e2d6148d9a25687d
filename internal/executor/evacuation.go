package executor

import "github.com/marigoldrelay/marigoldrelay/internal/refuser"

// BeginEvacuation makes the node refuse all attempts, the queued ones included. Running requests finish.
func (e *Executor) BeginEvacuation() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.evacuated = true
	e.applyLimit()
}

// EndEvacuation makes the node take attempts again. Unless isAnswered says that the upstream has answered a probe since the
// end was ordered, it counts as cold until it says whether it is, because it was idle meanwhile.
func (e *Executor) EndEvacuation(isAnswered bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Clock.Now()
	e.evacuated = false
	if !isAnswered {
		e.cold.unknownUntil = now.Add(maxColdDoubt)
	}
	e.applyCold(now)
	e.applyLimit()
	e.notifyPeers()
}

func evacuatedRefusal() *refuser.Refusal {
	return refuser.NewWithRetryAfter(refuser.ReasonEvacuated, sweepInterval, "the data centre is evacuated")
}

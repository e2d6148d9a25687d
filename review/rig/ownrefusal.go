package main

import (
	"fmt"
	"net/http"
	"time"
)

// playOwnRefusal lets the instances fail the unsafe requests that they run with status 503. Their answers don't state that the
// request has not run. The rule is REFUSED: a request that isn't idempotent is answered 503 and has run.
func playOwnRefusal(d *deployment, trouble bool) (broken bool, err error) {
	sides, instances, err := startUsual(d)
	if err != nil {
		return false, err
	}
	if trouble {
		// One of four instances, and two of each five requests that it runs.
		instances[0].answer = instances[0].failSome
	}
	wrong := 0
	for n := range 100 {
		s := sides[n%len(sides)].send("POST", "/pufi791/a", 2500, "fee")
		if s.status == http.StatusServiceUnavailable && hasRun(instances, s.id) {
			wrong++
		}
	}
	d.record.line("%d unsafe requests were answered 503 and have run", wrong)
	return wrong > 0, nil
}

// failSome answers two of five requests that have run with a failure.
func (i *instance) failSome(w http.ResponseWriter, r *http.Request) {
	time.Sleep(workTime)
	id := r.Header.Get(wire.RequestID)
	w.Header().Set(wire.RequestID, id)
	w.Header().Set(wire.Seal, "seal."+id)
	if i.answered.Add(1)%5 < 2 {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = fmt.Fprint(w, "the fee is paid, but the receipt could not be written")
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s", i.id, id)
}

// hasRun reports whether an instance has begun to work on the request.
func hasRun(instances []*instance, id string) bool {
	for _, i := range instances {
		for _, one := range i.all() {
			if one.id == id {
				return true
			}
		}
	}
	return false
}

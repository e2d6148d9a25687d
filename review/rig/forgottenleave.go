package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// lateness is how late the heartbeat arrives that the instance has sent before it left.
	lateness = 3 * time.Second
	// downTime is how long the processes are down.
	downTime = 900 * time.Millisecond
	// drainTime is drain_s, and touchTime twice stability_window_s: a final fault takes most of the core.
	drainTime = 2 * time.Second
	touchTime = 6 * time.Second
	// servesOn is how long the instance serves after it has said that it leaves.
	servesOn = 12 * time.Second
	// spare is added to the bounds.
	spare = 300 * time.Millisecond
)

// playForgottenLeave kills all processes right after an instance has been told that its leaving is acknowledged. A heartbeat that it
// has sent before arrives late. The rule is DRAIN: a request reaches an instance later than drain_s after the acknowledgement.
func playForgottenLeave(d *deployment, trouble bool) (broken bool, err error) {
	sides, instances, err := startUsual(d)
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var consumers sync.WaitGroup
	for _, m := range sides {
		consumers.Go(func() { sendAlways(m, stop) })
	}
	defer consumers.Wait()
	defer close(stop)
	time.Sleep(time.Second)
	leaving := instances[0]
	go leaving.beat(lateness)
	time.Sleep(100 * time.Millisecond)
	if status := leaving.leave(); status != 200 {
		return false, fmt.Errorf("%w: the DELETE got %d", errNotRun, status)
	}
	acknowledged := time.Now()
	inTouch := acknowledged
	if trouble {
		if err := d.restartAll(downTime); err != nil {
			return false, err
		}
		inTouch = time.Now().Add(touchTime)
	}
	time.Sleep(servesOn - time.Since(acknowledged))
	leaving.crash()
	late := 0
	for _, one := range leaving.all() {
		if one.at.After(acknowledged.Add(drainTime+spare)) && one.at.After(inTouch.Add(spare)) {
			late++
		}
	}
	d.record.line("%d requests reached %s later than drain_s after the acknowledgement, sent on by machines in touch", late, leaving.id)
	return late > 0, nil
}

// sendAlways sends requests from the machine, one after the other, while its node counts as ready.
func sendAlways(m *machine, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		m.send("GET", "/lohu930/a", 2000, "")
		time.Sleep(40 * time.Millisecond)
	}
}

package main

import (
	"fmt"
	"time"
)

// startUsual starts the usual deployment, with its instances and the first desired state, and waits until it is ready.
func startUsual(d *deployment) (sides []*machine, instances []*instance, err error) {
	sides, instances = buildUsual(d)
	for _, i := range instances {
		if err := i.serve(); err != nil {
			return nil, nil, err
		}
		go i.beatAlways()
	}
	if err := d.startAll(); err != nil {
		return nil, nil, err
	}
	return sides, instances, d.begin(sides, state(1, usualServices, usualRoutes()))
}

// begin gives the first desired state and waits for the start of traffic, 8 s after that of the machines.
func (d *deployment) begin(sides []*machine, first []byte) error {
	if status := d.put(0, first, 20*time.Second); status != 200 {
		return fmt.Errorf("%w: the first desired state got %d", errNotRun, status)
	}
	for _, m := range sides {
		if !m.awaitReady(10 * time.Second) {
			return fmt.Errorf("%w: %s is not ready", errNotRun, m.name)
		}
	}
	time.Sleep(8*time.Second - time.Since(d.record.started))
	return nil
}

// wrongCallers returns how many requests have run at the instances with another caller service than the machine's, where all
// requests have begun on that machine.
func wrongCallers(m *machine, instances []*instance) int {
	wrong := 0
	for _, i := range instances {
		for _, one := range i.all() {
			if one.caller != m.service {
				wrong++
			}
		}
	}
	m.deployment.record.line("%d requests that began on %s, whose service is %s, ran with another caller service", wrong, m.name, m.service)
	return wrong
}

// playMissingField lets another writer send heartbeats without the field sequence to one machine. They name no instance to use. The
// rule is UNASKED: an instance runs a request whose caller service isn't that of the machine where the request began.
func playMissingField(d *deployment, trouble bool) (broken bool, err error) {
	sides, instances, err := startUsual(d)
	if err != nil {
		return false, err
	}
	odd := sides[0]
	stop := make(chan struct{})
	defer close(stop)
	if trouble {
		go writeIncomplete(odd, stop)
	}
	for range 60 {
		odd.send("GET", "/goxe224/a", 2000, "")
		time.Sleep(100 * time.Millisecond)
	}
	return wrongCallers(odd, instances) > 0, nil
}

// writeIncomplete sends heartbeats without the field sequence, like another writer, every 1.5 s.
func writeIncomplete(m *machine, stop <-chan struct{}) {
	p := m.deployment.ports
	born := time.Now().UnixMilli()
	for {
		body := heartbeat(m.at(p.app), usualServices[1], m.zone, born, 0)
		status, _, answer := call("PUT", "http://"+m.at(p.control)+"/instances/i-other", map[string]string{"Content-Type": "application/json"}, body)
		m.deployment.record.line("another writer: heartbeat without sequence to %s: %d %.100s", m.name, status, answer)
		select {
		case <-stop:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

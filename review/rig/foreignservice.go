package main

import (
	"fmt"
	"time"
)

// usualServices and usualRoutes are those of the desired state of most cases.
var usualServices = []string{"huvo11a", "wuno96b"}

func usualRoutes() []route {
	return []route{
		{Name: "r-unsafe", Prefix: "/pufi791/", Service: "huvo11a", Timeout: 1.2, Attempts: 2},
		{Name: "r-safe", Prefix: "/lohu930/", Service: "huvo11a", Safe: true, Timeout: 1, Attempts: 2},
		{Name: "r-other", Prefix: "/goxe224/", Service: "wuno96b", Safe: true, Timeout: 2, Attempts: 2},
	}
}

// buildUsual adds five core machines and four sidecar machines, two of each service, with their instances.
func buildUsual(d *deployment) (sides []*machine, instances []*instance) {
	for range 5 {
		d.add("core", "")
	}
	for n := range 4 {
		service := usualServices[n/2]
		m := d.add("sidecar", service)
		sides = append(sides, m)
		instances = append(instances, newInstance(m, fmt.Sprintf("i-7f3a91c%d", n), service))
	}
	return sides, instances
}

// playForeignService lets another writer send heartbeats of a service that is not named here to one machine, from the start on. The
// rule is UNASKED: an instance runs a request whose caller service isn't that of the machine where the request began.
func playForeignService(d *deployment, trouble bool) (broken bool, err error) {
	sides, instances := buildUsual(d)
	for _, i := range instances {
		if err := i.serve(); err != nil {
			return false, err
		}
		go i.beatAlways()
		defer i.crash()
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	odd := sides[0]
	stop := make(chan struct{})
	defer close(stop)
	if trouble {
		go writeForeign(odd, stop)
	}
	time.Sleep(3 * time.Second)
	if status := d.put(0, state(1, usualServices, usualRoutes()), 20*time.Second); status != 200 {
		return false, fmt.Errorf("%w: the first desired state got %d", errNotRun, status)
	}
	for _, m := range sides {
		if !m.awaitReady(10 * time.Second) {
			return false, fmt.Errorf("%w: %s is not ready", errNotRun, m.name)
		}
	}
	// Traffic starts 8 s after the machines do.
	if rest := 8*time.Second - time.Since(d.record.started); rest > 0 {
		time.Sleep(rest)
	}
	for range 40 {
		odd.send("GET", "/goxe224/a", 2000, "")
		time.Sleep(100 * time.Millisecond)
	}
	wrong := 0
	for _, i := range instances {
		for _, one := range i.all() {
			if one.caller != odd.service {
				wrong++
			}
		}
	}
	d.record.line("%d requests that began on %s, whose service is %s, ran with another caller service", wrong, odd.name, odd.service)
	return wrong > 0, nil
}

// writeForeign sends heartbeats of an instance of a service that is not named, like another writer, every 1.5 s.
func writeForeign(m *machine, stop <-chan struct{}) {
	p := m.deployment.ports
	born := time.Now().UnixMilli() + 1000
	for sequence := 1; ; sequence++ {
		body := heartbeat(m.at(p.app), "kerfuffle7", m.zone, born, sequence)
		status, _, answer := call("PUT", "http://"+m.at(p.control)+"/instances/i-other", map[string]string{"Content-Type": "application/json"}, body)
		m.deployment.record.line("another writer: heartbeat of service kerfuffle7 to %s: %d %.100s", m.name, status, answer)
		select {
		case <-stop:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

package main

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"
)

const (
	serviceEntries = "entries"
	serviceArchive = "archive"
	// settleTime is how long a new deployment is left alone: its machines are then in touch.
	settleTime = 4 * time.Second
	// margin is added to bounds in favour of the system.
	margin = 300 * time.Millisecond
	// stabilityWindow is how long a machine must have been calm to be in touch.
	stabilityWindow = 3 * time.Second
)

var errNotServed = errors.New("the system serves nothing")

// scene is what a case is played with.
type scene struct {
	*deployment

	folder    string
	trouble   bool
	instances []*instanceProcess
}

// cases are the cases by name. Each returns how often the rule was broken, in a deployment that is set up.
var cases = map[string]struct {
	services []string
	play     func(*scene) (broken int, err error)
}{
	"caller":  {[]string{serviceEntries, serviceArchive}, playCaller},
	"hosts":   {[]string{serviceEntries, serviceArchive}, playHosts},
	"key":     {[]string{serviceEntries, serviceEntries, serviceEntries}, playKey},
	"memory":  {[]string{serviceEntries, serviceEntries}, playMemory},
	"poison":  {[]string{serviceEntries, serviceArchive}, playPoison},
	"restart": {[]string{serviceEntries, serviceEntries, serviceEntries, serviceEntries}, playRestart},
	"stream":  {[]string{serviceEntries, serviceEntries}, playStream},
	"writer":  {[]string{serviceEntries, serviceArchive}, playWriter},
}

// setUp starts the deployment with an instance for each service that is named, and routes to them.
func (s *scene) setUp(services []string) error {
	if err := s.start(); err != nil {
		return err
	}
	for i, m := range s.sidecar {
		if err := s.startInstance(i); err != nil {
			return fmt.Errorf("%s: %w", m.Name, err)
		}
	}
	if err := s.put(0, firstState(services)); err != nil {
		return err
	}
	if err := s.awaitReady(); err != nil {
		return err
	}
	time.Sleep(settleTime)
	for _, m := range s.sidecar {
		if o := s.send(m, attempt{Method: http.MethodGet, Path: "/" + m.Service + "-read/1"}); o.Status != http.StatusOK {
			return errNotServed
		}
	}
	return nil
}

// firstVersion is the version of the first desired state.
const firstVersion = 3

// firstState returns a desired state with a safe and an unsafe route to each of the services.
func firstState(services []string) desiredState {
	state := desiredState{Version: firstVersion, Hosts: []virtualHost{{Name: host}}}
	for _, service := range services {
		if slices.Contains(state.Services, service) {
			continue
		}
		state.Services = append(state.Services, service)
		state.Hosts[0].Routes = append(state.Hosts[0].Routes,
			route{Name: service + "-read", Type: "safe", Service: service, TimeoutSeconds: 4},
			route{Name: service + "-write", Type: "unsafe", Service: service, TimeoutSeconds: 4})
	}
	return state
}

// startInstance starts the instance of a sidecar machine, under the same id each time.
func (s *scene) startInstance(machine int) error {
	p, err := s.startInstanceProcess(s.sidecar[machine], fmt.Sprintf("i-%d", machine))
	if err != nil {
		return err
	}
	if machine == len(s.instances) {
		s.instances = append(s.instances, p)
	} else {
		s.instances[machine] = p
	}
	return nil
}

// awaitRun waits until an instance runs a request with the path and returns the number of its machine, or -1.
func (s *scene) awaitRun(path string, limit time.Duration) (machine int) {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		for _, one := range s.allRuns() {
			if one.Path == path {
				return s.machineOf(one.Instance)
			}
		}
	}
	return -1
}

// machineOf returns the number of the machine of an instance, or -1.
func (s *scene) machineOf(instance string) int {
	return slices.IndexFunc(s.instances, func(p *instanceProcess) bool { return p.id == instance })
}

// countRuns counts the runs of requests with the path.
func (s *scene) countRuns(path string) (count int) {
	for _, one := range s.allRuns() {
		if one.Path == path {
			count++
		}
	}
	return count
}

// countWrongCallers counts the runs of a request whose caller is not the service.
func (s *scene) countWrongCallers(id, service string) (wrong int) {
	time.Sleep(reportTime)
	for _, one := range s.allRuns() {
		if one.RequestID == id && !slices.Equal(one.Callers, []string{service}) {
			s.record.printf("BROKEN: %s runs %s as a call of %q; it began beside %s", one.Instance, id, one.Callers, service)
			wrong++
		}
	}
	return wrong
}

// reportTime is how long the report of an instance takes to arrive, at most.
const reportTime = 30 * time.Millisecond

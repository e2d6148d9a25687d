package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports that are the same on all machines of a deployment. Each machine has a loopback address of its own.
const (
	portInternal = 7660
	portPeer     = 7675
	portControl  = 8146
	portOutbound = 8141
	portReady    = 8140
	portApp      = 8147
	portAdmin    = 9464
)

const (
	coreMachines = 3
	// firstHost is the last number of the address of the first machine.
	firstHost    = 10
	networkTries = 20
	readyTimeout = 20 * time.Second
	usualWork    = 150 * time.Millisecond
)

// machine is a machine with a node and, on a sidecar machine, the address of an instance.
type machine struct {
	Name, Zone, IP, Service       string
	Control, Ready, Outbound, App string
	DataFolder                    string
	Internal, Peer                int
	Seeds                         []string
	Bootstrap                     bool
	// Work is how long the instance takes for a request.
	Work                               time.Duration
	folder, program, settings, logPath string
	node                               *exec.Cmd
}

// deployment is a small deployment on loopback addresses, with its processes.
type deployment struct {
	record  *record
	core    []*machine
	sidecar []*machine
	standin string

	mu        sync.Mutex
	processes []*exec.Cmd
	runs      []run
	// stopped is set when no further process may be started.
	stopped bool
	// ending counts the instances that have not ended.
	ending sync.WaitGroup
}

// newDeployment prepares three core machines and a sidecar machine for each service that is named.
func newDeployment(r *record, folder, program string, services ...string) (*deployment, error) {
	standin, err := os.Executable()
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, standin: standin}
	network, err := freeNetwork(coreMachines + len(services))
	if err != nil {
		return nil, err
	}
	var seeds []string
	for i := range coreMachines {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", network, firstHost+i, portControl))
	}
	for i := range coreMachines + len(services) {
		m := &machine{
			IP: fmt.Sprintf("%s.%d", network, firstHost+i), Internal: portInternal, Peer: portPeer, Seeds: seeds, Bootstrap: true,
			Zone: fmt.Sprintf("zone-%d", i%3), Name: fmt.Sprintf("core-%d", i), program: program, Work: usualWork,
		}
		m.Control = fmt.Sprintf("%s:%d", m.IP, portControl)
		if i >= coreMachines {
			m.Name, m.Service = fmt.Sprintf("sidecar-%d", i-coreMachines), services[i-coreMachines]
			m.Ready, m.Outbound = fmt.Sprintf("%s:%d", m.IP, portReady), fmt.Sprintf("%s:%d", m.IP, portOutbound)
			m.App = fmt.Sprintf("%s:%d", m.IP, portApp)
			d.sidecar = append(d.sidecar, m)
		} else {
			d.core = append(d.core, m)
		}
		m.folder = filepath.Join(folder, m.Name)
		if m.Service == "" {
			m.DataFolder = filepath.Join(m.folder, "data")
		}
		if err := m.writeSettings(); err != nil {
			return nil, err
		}
	}
	return d, nil
}

var errNoAddresses = errors.New("no free loopback addresses")

// freeNetwork returns the first three numbers of loopback addresses whose ports are free, for a number of machines.
func freeNetwork(machines int) (string, error) {
	for range networkTries {
		network := fmt.Sprintf("127.%d.%d", 10+rand.IntN(240), 1+rand.IntN(250))
		free := true
		for i := range machines {
			for _, port := range []int{portInternal, portPeer, portControl, portOutbound, portReady, portApp, portAdmin} {
				free = free && isFree(fmt.Sprintf("%s.%d:%d", network, firstHost+i, port))
			}
		}
		if free {
			return network, nil
		}
	}
	return "", errNoAddresses
}

func isFree(address string) bool {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	return socket.Close() == nil
}

// writeSettings writes the settings file of the machine's node, as the platform fills it in.
func (m *machine) writeSettings() error {
	if err := os.MkdirAll(m.folder, 0o700); err != nil {
		return err
	}
	m.settings, m.logPath = filepath.Join(m.folder, "settings.jsonc"), filepath.Join(m.folder, "log")
	file, err := os.Create(m.settings)
	if err != nil {
		return err
	}
	return errors.Join(templates.ExecuteTemplate(file, "settings.tmpl", m), file.Close())
}

// start starts the nodes of all machines.
func (d *deployment) start() error {
	for _, m := range slices.Concat(d.core, d.sidecar) {
		if err := d.startNode(m); err != nil {
			return err
		}
	}
	return nil
}

// startNode starts the node of a machine with the command of the deploy file.
func (d *deployment) startNode(m *machine) error {
	log, err := os.OpenFile(m.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	m.node = exec.Command(m.program, "platform", "--settings", m.settings)
	m.node.Stdout, m.node.Stderr = log, log
	return d.startProcess(m.node)
}

// startProcess starts a process, unless the deployment has been stopped.
func (d *deployment) startProcess(process *exec.Cmd) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return errStopped
	}
	if err := process.Start(); err != nil {
		return err
	}
	d.processes = append(d.processes, process)
	return nil
}

var errStopped = errors.New("the deployment has been stopped")

// restartNodes kills the nodes of machines and starts them again after the pause.
func (d *deployment) restartNodes(pause time.Duration, machines ...*machine) error {
	for _, m := range machines {
		d.record.printf("the node of %s is killed", m.Name)
		_ = m.node.Process.Kill()
		_ = m.node.Wait()
	}
	time.Sleep(pause)
	for _, m := range machines {
		m.Bootstrap = false
		if err := m.writeSettings(); err != nil {
			return err
		}
		d.record.printf("the node of %s is started again", m.Name)
		if err := d.startNode(m); err != nil {
			return err
		}
	}
	return nil
}

// instanceProcess is an instance that the case has started.
type instanceProcess struct {
	id      string
	command *exec.Cmd
	input   io.WriteCloser
	exited  chan struct{}
	// heartbeats gets a value after each heartbeat while it is read.
	heartbeats chan struct{}
}

// startInstanceProcess starts the instance of a machine as a process.
func (d *deployment) startInstanceProcess(m *machine, id string) (*instanceProcess, error) {
	command := exec.Command(d.standin, "instance", "-id", id, "-service", m.Service, "-zone", m.Zone, "-address", m.App, "-control", m.Control, "-work", m.Work.String())
	command.Stderr = os.Stderr
	input, err := command.StdinPipe()
	if err != nil {
		return nil, err
	}
	output, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := d.startProcess(command); err != nil {
		return nil, err
	}
	p := &instanceProcess{id: id, command: command, input: input, exited: make(chan struct{}), heartbeats: make(chan struct{})}
	d.record.printf("the instance %s of %s starts on %s", id, m.Service, m.Name)
	d.ending.Go(func() {
		d.readReports(p, output)
		_ = command.Wait()
		d.record.printf("the instance %s has ended", id)
		close(p.exited)
	})
	return p, nil
}

// tell sends a command to the instance.
func (p *instanceProcess) tell(command string) {
	_, _ = io.WriteString(p.input, command+"\n")
}

// kill ends the instance like a crash and waits for its end.
func (p *instanceProcess) kill() {
	_ = p.command.Process.Kill()
	<-p.exited
}

// readReports reads what an instance reports.
func (d *deployment) readReports(p *instanceProcess, output io.Reader) {
	lines := bufio.NewScanner(output)
	for lines.Scan() {
		var one run
		if json.Unmarshal(lines.Bytes(), &one) != nil {
			d.record.printf("instance: %s", lines.Text())
			if strings.Contains(lines.Text(), reportHeartbeat) {
				select {
				case p.heartbeats <- struct{}{}:
				default:
				}
			}
			continue
		}
		d.record.printf("%s runs %s %s %s, callers %q", one.Instance, one.RequestID, one.Method, one.Path, one.Callers)
		d.mu.Lock()
		d.runs = append(d.runs, one)
		d.mu.Unlock()
	}
}

// allRuns returns the runs so far.
func (d *deployment) allRuns() []run {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.runs)
}

// stop ends all processes that the case has started.
func (d *deployment) stop() {
	d.mu.Lock()
	d.stopped = true
	processes := slices.Clone(d.processes)
	d.mu.Unlock()
	for _, process := range processes {
		_ = process.Process.Signal(syscall.SIGKILL)
	}
	for _, m := range slices.Concat(d.core, d.sidecar) {
		if m.node != nil {
			_ = m.node.Wait()
		}
	}
	d.ending.Wait()
}

// awaitReady waits until the node of each sidecar machine is ready.
func (d *deployment) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, m := range d.sidecar {
		for status, _ := get(m.Ready, "/ready"); status != 200; status, _ = get(m.Ready, "/ready") {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", m.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// dial opens a channel.
func dial(address string) (net.Conn, error) {
	return net.DialTimeout("tcp", address, time.Second)
}

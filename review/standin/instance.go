package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	instanceSlots     = 12
	heartbeatInterval = 1500 * time.Millisecond
	heartbeatTimeout  = time.Second
	// patience is how long an instance goes on to serve after it has said that it leaves.
	patience = 5 * time.Second
	// streamPause is how long an instance works between the two halves of an answer without a length.
	streamPause = time.Second
	// halfBytes is the size of each half of such an answer.
	halfBytes = 20000
	// crashStatus is the exit status of an instance that a request has crashed.
	crashStatus = 7
)

// The states of an instance. One that is gone still serves, but has said that it leaves.
const (
	stateReady = "ready"
	stateGone  = "gone"
)

// What an instance is told on its standard input.
const (
	// tellLeave makes the instance say that it leaves, in a call without a body.
	tellLeave = "leave"
	// tellLeaveBorn makes the instance say so with the time of its start.
	tellLeaveBorn = "leave-born"
	// tellLateHeartbeat lets a heartbeat arrive that the instance has sent before it left.
	tellLateHeartbeat = "late-heartbeat"
)

// reportHeartbeat begins the report of a heartbeat.
const reportHeartbeat = "heartbeat"

// run is one line of an instance's output: a request that it has begun to run.
type run struct {
	At        time.Time `json:"at"`
	Instance  string    `json:"instance"`
	Service   string    `json:"service"`
	Method    string    `json:"method"`
	Path      string    `json:"path"`
	RequestID string    `json:"request-id"`
	// Callers are the values of all lines of the header with the caller's service.
	Callers []string `json:"callers"`
}

// instance is a server of a service, as the platform's pages describe one. It runs as a process of its own.
type instance struct {
	id, service, zone, address, control string
	born                                int64

	output io.Writer
	slots  chan struct{}
	work   time.Duration

	mu       sync.Mutex
	running  int
	sequence int
	state    string
}

// runInstance runs an instance until its standard input ends. Lines on the standard input tell it what to do.
func runInstance(args []string) error {
	i := &instance{output: os.Stdout, slots: make(chan struct{}, instanceSlots), state: stateReady, born: time.Now().UnixMilli()}
	flags := flag.NewFlagSet("instance", flag.ContinueOnError)
	flags.StringVar(&i.id, "id", "", "id of the instance")
	flags.StringVar(&i.service, "service", "", "service of the instance")
	flags.StringVar(&i.zone, "zone", "", "zone of the instance")
	flags.StringVar(&i.address, "address", "", "address to serve on")
	flags.DurationVar(&i.work, "work", 20*time.Millisecond, "time that a request takes")
	flags.StringVar(&i.control, "control", "", "control address of the node on the same machine")
	if err := flags.Parse(args); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", i.address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: i, IdleTimeout: 10 * time.Second, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	go i.sendHeartbeats()
	i.obey(os.Stdin)
	return nil
}

// obey carries out the commands on the input until it ends.
func (i *instance) obey(input io.Reader) {
	lines := bufio.NewScanner(input)
	for lines.Scan() {
		switch lines.Text() {
		case tellLeave:
			i.leave(nil)
		case tellLeaveBorn:
			i.leave([]byte(fmt.Sprintf(`{"born":%d}`, i.born)))
		case tellLateHeartbeat:
			// The instance has sent it before it left, and it arrives only now.
			i.mu.Lock()
			sequence := i.sequence
			i.mu.Unlock()
			i.send(stateReady, sequence)
		}
	}
}

// sendHeartbeats sends a heartbeat per interval, until the instance has left.
func (i *instance) sendHeartbeats() {
	for {
		i.mu.Lock()
		i.sequence++
		sequence, state := i.sequence, i.state
		i.mu.Unlock()
		if state == stateGone {
			return
		}
		i.send(state, sequence)
		time.Sleep(heartbeatInterval)
	}
}

func (i *instance) send(state string, sequence int) {
	body := beat{Address: i.address, Born: i.born, Service: i.service, Zone: i.zone, State: state, Sequence: sequence, Whole: true}
	status := callControl(http.MethodPut, i.control, i.id, body.encode())
	i.report(reportHeartbeat+" %s sequence %d: %d", state, sequence, status)
}

// leave says that the instance leaves. It goes on to serve for a while and then exits.
func (i *instance) leave(body []byte) {
	i.mu.Lock()
	i.state = stateGone
	i.sequence++
	i.mu.Unlock()
	i.report("leaves: %d", callControl(http.MethodDelete, i.control, i.id, body))
	time.AfterFunc(patience, func() { os.Exit(0) })
}

// report writes a line that is no run.
func (i *instance) report(format string, args ...any) {
	i.mu.Lock()
	defer i.mu.Unlock()
	_, _ = fmt.Fprintf(i.output, "%s %s\n", i.id, fmt.Sprintf(format, args...))
}

// beat is the content of a heartbeat.
type beat struct {
	Address, Service, Zone, State string
	Born                          int64
	Sequence                      int
	// Whole is false for a heartbeat of another writer that lacks fields.
	Whole bool
}

func (b beat) encode() []byte {
	var text bytes.Buffer
	if err := templates.ExecuteTemplate(&text, "heartbeat.tmpl", b); err != nil {
		panic(err)
	}
	return text.Bytes()
}

// callControl calls the node on the same machine and returns the status, or zero if there was no answer in time.
func callControl(method, control, id string, body []byte) int {
	client := &http.Client{Timeout: heartbeatTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(method, "http://"+control+"/instances/"+id, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// ServeHTTP implements http.Handler.
func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(wire.Instance, i.id)
	w.Header().Set(wire.Load, i.load())
	switch target := r.Header.Get(wire.Target); {
	case r.URL.Path == "/health":
		i.serveHealth(w)
		return
	case target != "" && target != i.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get(wire.RequestID)
	w.Header().Set(wire.RequestID, id)
	select {
	case i.slots <- struct{}{}:
		defer func() { <-i.slots }()
	default:
		w.Header().Set(wire.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	i.begin(r, id)
	defer i.end()
	switch {
	case strings.HasSuffix(r.URL.Path, "/crash"):
		os.Exit(crashStatus)
	case strings.HasSuffix(r.URL.Path, "/stream"):
		i.stream(w, id)
	default:
		time.Sleep(i.work)
		w.Header().Set(wire.Seal, "seal."+id)
		_, _ = io.WriteString(w, bodyOf(i.id, id))
	}
}

// bodyOf returns the body of the answer of an instance to a request.
func bodyOf(instance, request string) string {
	return instance + " has run " + request + "\n"
}

func (i *instance) serveHealth(w http.ResponseWriter) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.state != stateReady {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// load returns the running and the waiting requests, the slots, and the speed of work.
func (i *instance) load() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return strconv.Itoa(i.running) + ",0," + strconv.Itoa(instanceSlots) + ",100"
}

// begin writes down that the instance runs a request.
func (i *instance) begin(r *http.Request, id string) {
	line, err := json.Marshal(run{
		At: time.Now(), Instance: i.id, Service: i.service, Method: r.Method, Path: r.URL.RequestURI(), RequestID: id,
		Callers: r.Header.Values(wire.Caller),
	})
	if err != nil {
		panic(err)
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.running++
	_, _ = fmt.Fprintf(i.output, "%s\n", line)
}

func (i *instance) end() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.running--
}

// stream writes an answer that has no length and ends with its channel, in two halves.
func (i *instance) stream(w http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	header := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal.%s\r\nConnection: close\r\n\r\n", wire.RequestID, id, wire.Seal, id)
	first, second := strings.Repeat("a", halfBytes), strings.Repeat("b", halfBytes)
	if _, err := io.WriteString(conn, header+first); err != nil {
		return
	}
	time.Sleep(streamPause)
	_, _ = io.WriteString(conn, second)
}

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// call sends one request on a channel of its own and returns the status, the header and the body of the answer; the status is zero
// if there was none.
func call(method, url string, header map[string]string, body []byte) (int, http.Header, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil
	}
	request.Close = true
	for name, value := range header {
		if name == "Host" {
			request.Host = value
			continue
		}
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, []byte(err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, []byte(err.Error())
	}
	return response.StatusCode, response.Header, text
}

var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// put sends a desired state to the core machines in turn until one gives a clear answer, and returns its status.
func (d *deployment) put(base int, text []byte, limit time.Duration) int {
	header := map[string]string{"Content-Type": "application/json", "If-Match": fmt.Sprintf("%08x", base)}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, m := range d.machines {
			if m.class != "core" {
				continue
			}
			status, _, answer := call("PUT", "http://"+m.at(d.ports.control)+"/config", header, text)
			d.record.line("operator: PUT /config on %08x at %s: %d %.80s", base, m.name, status, answer)
			if status != 0 && status < 500 {
				return status
			}
		}
	}
	return 0
}

// workTime is how long a request takes.
const workTime = 10 * time.Millisecond

// run is one request that an instance has begun to work on.
type run struct {
	at                       time.Time
	caller, id, method, path string
}

// instance is a stand-in of an application instance.
type instance struct {
	address, control, id, service, zone string
	born                                int64
	record                              *record
	// answer, if set, replaces the ordinary answer after a run.
	answer func(w http.ResponseWriter, r *http.Request)

	// answered is the number of answers that the function above has counted.
	answered atomic.Int64

	server *http.Server
	stop   chan struct{}

	mu       sync.Mutex
	leaving  bool
	runs     []run
	sequence int
}

// newInstance returns the instance beside a machine's node. It is not started.
func newInstance(m *machine, id, service string) *instance {
	return &instance{
		address: m.at(m.deployment.ports.app), control: m.at(m.deployment.ports.control), id: id, service: service, zone: m.zone,
		record: m.deployment.record, stop: make(chan struct{}),
	}
}

// serve starts to listen.
func (i *instance) serve() error {
	i.born = time.Now().UnixMilli()
	socket, err := net.Listen("tcp", i.address)
	if err != nil {
		return err
	}
	i.server = &http.Server{Handler: http.HandlerFunc(i.handle)}
	go func() { _ = i.server.Serve(socket) }()
	i.record.line("instance %s of %s: serves at %s", i.id, i.service, i.address)
	return nil
}

// crash ends the instance: its channels are cut, and it says nothing more.
func (i *instance) crash() {
	close(i.stop)
	_ = i.server.Close()
	i.record.line("instance %s of %s: crashed", i.id, i.service)
}

func (i *instance) handle(w http.ResponseWriter, r *http.Request) {
	if target := r.Header.Get(wire.Target); target != "" && target != i.id {
		w.Header().Set(wire.Instance, i.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set(wire.Load, "0,0,12,100")
	if r.URL.Path == "/health" {
		w.Header().Set(wire.Instance, i.id)
		if i.isLeaving() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	one := run{
		caller: r.Header.Get(wire.Caller), id: r.Header.Get(wire.RequestID),
		method: r.Method, path: r.RequestURI,
	}
	i.note(one)
	if i.answer != nil {
		i.answer(w, r)
		return
	}
	time.Sleep(workTime)
	w.Header().Set(wire.RequestID, one.id)
	w.Header().Set(wire.Seal, "seal."+one.id)
	_, _ = fmt.Fprintf(w, "%s %s", i.id, one.id)
}

// note records a run.
func (i *instance) note(one run) {
	i.mu.Lock()
	defer i.mu.Unlock()
	one.at = time.Now()
	i.runs = append(i.runs, one)
	i.record.line("instance %s of %s: runs %s %s %s, caller %q", i.id, i.service, one.id, one.method, one.path, one.caller)
}

// all returns the runs so far.
func (i *instance) all() []run {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]run(nil), i.runs...)
}

// beat sends one heartbeat, which arrives late by the given time.
func (i *instance) beat(late time.Duration) {
	i.mu.Lock()
	i.sequence++
	sequence := i.sequence
	i.mu.Unlock()
	body := heartbeat(i.address, i.service, i.zone, i.born, sequence)
	if late > 0 {
		i.record.line("instance %s of %s: heartbeat %d is sent and will arrive %s late", i.id, i.service, sequence, late)
		time.Sleep(late)
	}
	status, _, _ := call("PUT", "http://"+i.control+"/instances/"+i.id, map[string]string{"Content-Type": "application/json"}, body)
	i.record.line("instance %s of %s: heartbeat %d: %d", i.id, i.service, sequence, status)
}

// leave tells the node that the instance leaves, and returns the status of the answer. From then on its health check fails.
func (i *instance) leave() int {
	i.mu.Lock()
	i.leaving = true
	i.mu.Unlock()
	// The value is plain, so that it always encodes.
	body, _ := json.Marshal(map[string]any{"born": i.born})
	status, _, _ := call("DELETE", "http://"+i.control+"/instances/"+i.id, map[string]string{"Content-Type": "application/json"}, body)
	i.record.line("instance %s of %s: DELETE: %d", i.id, i.service, status)
	return status
}

func (i *instance) isLeaving() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.leaving
}

// beatAlways sends a heartbeat every one and a half seconds until the instance leaves or ends.
func (i *instance) beatAlways() {
	ticker := time.NewTicker(1500 * time.Millisecond)
	defer ticker.Stop()
	for !i.isLeaving() {
		i.beat(0)
		select {
		case <-i.stop:
			return
		case <-ticker.C:
		}
	}
}

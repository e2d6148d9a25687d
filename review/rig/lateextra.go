package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"time"
)

// extraSuccess and extraRefusal are what a faulty instance sends after a complete response. They name no request. The second one is
// the response of an instance that is full, as the wire's examples show it.
var (
	extraSuccess = "HTTP/1.1 200 OK\r\n" + wire.Seal + ": seal.other\r\nContent-Length: 26\r\n\r\nan answer to nobody at all"
	extraRefusal = "HTTP/1.1 503 Service Unavailable\r\n" + wire.NotRun + ": 1\r\nContent-Length: 0\r\n\r\n"
)

// playLateExtra lets instances send additional bytes after a complete response, late: where the next response is expected. The bytes
// name no request. The rule is MIXED: a consumer gets a success with a body that isn't the instance's whole body.
func playLateExtra(d *deployment, trouble bool) (broken bool, err error) {
	sides, instances, err := startUsual(d)
	if err != nil {
		return false, err
	}
	if trouble {
		// One of the two instances of the service: a share of 0.5.
		instances[0].answer = instances[0].serveRaw(extraSuccess)
	}
	mixed := 0
	for range 400 {
		s := sides[2].send("POST", "/pufi791/a", 2500, "fee")
		if s.status == http.StatusOK && !isOwnAnswer(instances, s) {
			mixed++
		}
	}
	d.record.line("%d successes have another body than the instance's", mixed)
	return mixed > 0, nil
}

// playLateRefusal lets instances send an extra refusal, late, as playLateExtra does with a success. The rule is TWICE: a request that
// isn't idempotent runs more than once.
func playLateRefusal(d *deployment, trouble bool) (broken bool, err error) {
	sides, instances, err := startUsual(d)
	if err != nil {
		return false, err
	}
	if trouble {
		instances[0].answer = instances[0].serveRaw(extraRefusal)
	}
	for range 400 {
		sides[2].send("POST", "/pufi791/a", 2500, "fee")
	}
	runs := make(map[string]int)
	for _, i := range instances {
		for _, one := range i.all() {
			runs[one.id]++
		}
	}
	twice := 0
	for id, count := range runs {
		if count > 1 {
			d.record.line("%s has run %d times", id, count)
			twice++
		}
	}
	d.record.line("%d unsafe requests have run more than once", twice)
	return twice > 0, nil
}

// isOwnAnswer reports whether the body is that of an instance's answer to the request.
func isOwnAnswer(instances []*instance, s sent) bool {
	for _, i := range instances {
		if s.body == i.id+" "+s.id {
			return true
		}
	}
	return false
}

// extraEvery is the number of answers of an instance after which an extra response follows: a part of 0.025.
const extraEvery = 40

// serveRaw returns a function that takes the channel over and answers each request that comes on it, the first included. After each
// one whose number is a multiple of extraEvery it sends the extra response, when the next request has come.
func (i *instance) serveRaw(extra string) func(w http.ResponseWriter, r *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		i.serveChannel(w, r, extra)
	}
}

func (i *instance) serveChannel(w http.ResponseWriter, r *http.Request, extra string) {
	raw, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = raw.Close() }()
	reader := bufio.NewReader(buffered)
	id := r.Header.Get(wire.RequestID)
	for {
		time.Sleep(workTime)
		isSpoilt := i.answered.Add(1)%extraEvery == 0
		body := i.id + " " + id
		_, _ = fmt.Fprintf(raw, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal.%s\r\nContent-Length: %d\r\n\r\n%s",
			wire.RequestID, id, wire.Seal, id, len(body), body)
		next, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, next.Body); err != nil {
			return
		}
		id = next.Header.Get(wire.RequestID)
		i.note(run{id: id, method: next.Method, path: next.RequestURI, caller: next.Header.Get(wire.Caller)})
		if isSpoilt {
			i.record.line("instance %s: sends additional bytes that name no request", i.id)
			_, _ = fmt.Fprint(raw, extra)
		}
	}
}

package relayer_test

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/demonstrator"
	"github.com/marigoldrelay/marigoldrelay/internal/forwarder"
	"github.com/marigoldrelay/marigoldrelay/internal/interpreter"
	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
	"github.com/marigoldrelay/marigoldrelay/internal/relayer"
	"github.com/marigoldrelay/marigoldrelay/internal/responder"
	"github.com/marigoldrelay/marigoldrelay/internal/skipper"
	"github.com/marigoldrelay/marigoldrelay/internal/validator"
)

// stopScenario is a load with a series of planned stops, each of one node or several at once, and of changes of the
// document.
type stopScenario struct {
	Seed  uint64 `json:"seed"`
	Nodes []struct {
		// Service is empty for a node without an upstream.
		Service string             `json:"service"`
		Work    validator.Duration `json:"work"`
		// Slots is how many requests the upstream runs at once; 0 selects more than the callers send.
		Slots int `json:"slots"`
	} `json:"nodes"`
	Callers []stopCallers    `json:"callers"`
	Changes []documentChange `json:"changes"`
	Stops   []plannedStop    `json:"stops"`
	// Outlasts is true if requests run longer than the limits of the stops, so that they can be refused while they run.
	Outlasts bool `json:"outlasts"`
}

// stopCallers are callers that send one request after the other, to a random node each time that they connect.
type stopCallers struct {
	Count int    `json:"count"`
	Path  string `json:"path"`
	Post  bool   `json:"post"`
	// Pipelined is how many requests are sent at a time; 0 counts as 1.
	Pipelined int `json:"pipelined"`
	// Pause is the longest time between two requests; 0 selects maxPause.
	Pause validator.Duration `json:"pause"`
	// BodyBytes is the size of the bodies of POST requests; 0 selects defaultBodyBytes.
	BodyBytes int `json:"body-bytes"`
	// Parts is the number of parts in which a request is written, with pauses in between; 0 counts as 1.
	Parts int `json:"parts"`
	// Reuses is true for callers that use a connection until a response closes it or the node is gone.
	Reuses bool `json:"reuses"`
}

// defaultBodyBytes is the size of the body of a POST request.
const defaultBodyBytes = 2000

// partPause is the longest pause between two parts of a request.
const partPause = 20 * time.Millisecond

// maxPause is the longest time between two requests of callers that set none.
const maxPause = 10 * time.Millisecond

// documentChange puts the initial document in force with some changes.
type documentChange struct {
	// After is the time since the change before.
	After       validator.Duration `json:"after"`
	IdleTimeout validator.Duration `json:"idle-timeout"`
	// DropRoute is the path prefix of the routes that are left out, DropService the service that is left out with its
	// routes.
	DropRoute   string `json:"drop-route"`
	DropService string `json:"drop-service"`
	// OneRank is true if all routes have the most urgent rank, and there is no other.
	OneRank bool `json:"one-rank"`
}

// apply changes the document.
func (c *documentChange) apply(document *validator.Document) {
	document.Limits.IdleTimeout = c.IdleTimeout
	document.Routes = slices.DeleteFunc(document.Routes, func(r validator.Route) bool {
		return r.PathPrefix == c.DropRoute || r.Service == c.DropService
	})
	document.Services = slices.DeleteFunc(document.Services, func(s validator.Service) bool { return s.Name == c.DropService })
	if !c.OneRank {
		return
	}
	document.Ranks = document.Ranks[:1]
	for i := range document.Routes {
		document.Routes[i].Rank = document.Ranks[0].Name
	}
}

// plannedStop drains nodes at the same time, closes them and starts them again.
type plannedStop struct {
	Nodes  []int              `json:"nodes"`
	Notice validator.Duration `json:"notice"`
	Limit  validator.Duration `json:"limit"`
	// Late are requests to random nodes, half of them to the first one that stops, each on a connection of its own.
	// They are sent within the time Before until the end of the notice.
	Late struct {
		Count  int                `json:"count"`
		Before validator.Duration `json:"before"`
	} `json:"late"`
}

// TestPlannedStops guards against requests that a node has read and that get no whole answer because nodes stop or the
// document changes. The flag seed varies the random values of the scenarios.
func TestPlannedStops(t *testing.T) {
	files, err := filepath.Glob("testdata/planned-stops/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d scenarios, %v", len(files), err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".json"), func(t *testing.T) {
			skipper.KnownRed(t)
			t.Parallel()
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			s := &stopScenario{}
			if err := json.Unmarshal(text, s); err != nil {
				t.Fatal(err)
			}
			newStopTest(t, s).run()
		})
	}
}

// requestLog is an interpreter that records the IDs of the requests that it is asked about: those that a node has read.
type requestLog struct {
	interpreter.Native
	mu   sync.Mutex
	seen map[string]bool
}

// ReadRequest implements relayer.Interpreter.
func (l *requestLog) ReadRequest(header *fasthttp.RequestHeader) (interpreter.Request, error) {
	l.mu.Lock()
	l.seen[string(header.Peek(responder.HeaderID))] = true
	l.mu.Unlock()
	return l.Native.ReadRequest(header)
}

func (l *requestLog) has(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seen[id]
}

// stopTest is one run of a scenario.
type stopTest struct {
	*demonstrator.Deployment
	scenario *stopScenario
	t        *testing.T
	log      *requestLog
	stopped  atomic.Bool

	// starting is locked while nodes are started again.
	starting sync.Mutex

	mu     sync.Mutex
	random *rand.Rand
	calls  []*stopCall
}

// stopCall is a request and how it ended for its caller.
type stopCall struct {
	id      string
	post    bool
	elapsed time.Duration
	// status is 0 if the connection ended without a whole answer.
	status  int
	problem refuser.Problem
	err     error
}

func newStopTest(t *testing.T, s *stopScenario) *stopTest {
	document, err := demonstrator.Document()
	if err != nil {
		t.Fatal(err)
	}
	log := &requestLog{seen: make(map[string]bool)}
	d, err := demonstrator.NewDeployment(document, relayer.WithInterpreter(log))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	for i, node := range s.Nodes {
		const manySlots = 40
		behaviour := responder.Behaviour{ServiceTime: node.Work.Std(), Slots: node.Slots, Steady: true}
		if behaviour.Slots == 0 {
			behaviour.Slots = manySlots
		}
		addNode(t, d, demonstrator.NodeSpec{
			Behaviour: behaviour, DataCentre: "flacq", Name: fmt.Sprintf("node-%d", i), Service: node.Service,
		})
	}
	test := &stopTest{Deployment: d, scenario: s, t: t, log: log, random: rand.New(rand.NewPCG(s.Seed, *soakSeed))}
	awaitServing(t, d, test.upstreamCount())
	return test
}

func (s *stopTest) upstreamCount() int {
	count := 0
	for _, node := range s.scenario.Nodes {
		if node.Service != "" {
			count++
		}
	}
	return count
}

// run makes the stops under the load, and checks how each request ended.
func (s *stopTest) run() {
	var load sync.WaitGroup
	for kind, callers := range s.scenario.Callers {
		for i := range callers.Count {
			load.Go(func() { s.sendUntilStopped(callers, fmt.Sprintf("%d-%d", kind, i)) })
		}
	}
	var changes sync.WaitGroup
	changes.Go(s.changeDocument)
	for i, stop := range s.scenario.Stops {
		s.stop(i, &stop)
		awaitServing(s.t, s.Deployment, s.upstreamCount())
	}
	changes.Wait()
	s.stopped.Store(true)
	load.Wait()
	s.check()
}

// stop drains the nodes, closes them and starts them again, as their processes do.
func (s *stopTest) stop(index int, stop *plannedStop) {
	var work sync.WaitGroup
	ended := time.Now().Add(stop.Notice.Std())
	for i := range stop.Late.Count {
		wait := time.Until(ended) - time.Duration(s.randomInt(int(stop.Late.Before)))
		to := stop.Nodes[0]
		if i%2 == 1 {
			to = s.randomInt(len(s.scenario.Nodes))
		}
		work.Go(func() { s.sendLate(fmt.Sprintf("late-%d-%d", index, i), to, wait) })
	}
	for _, i := range stop.Nodes {
		work.Go(func() {
			node := s.Node(i).Node
			node.DrainFor(stop.Notice.Std(), stop.Limit.Std())
			node.Close()
		})
	}
	work.Wait()
	s.starting.Lock()
	defer s.starting.Unlock()
	for _, i := range stop.Nodes {
		if err := s.StartNode(s.Node(i)); err != nil {
			s.t.Fatal(err)
		}
	}
}

// changeDocument puts the changed documents in force at all nodes, one after the other.
func (s *stopTest) changeDocument() {
	for i, change := range s.scenario.Changes {
		document, err := demonstrator.Document()
		if err != nil {
			s.t.Error(err)
			return
		}
		change.apply(document)
		time.Sleep(change.After.Std())
		s.starting.Lock()
		for _, deployed := range s.Nodes() {
			deployed.Node.Activate(document, uint64(i+1))
		}
		s.starting.Unlock()
	}
}

// sendLate sends a request after the wait, on a connection that is opened at once.
func (s *stopTest) sendLate(id string, to int, wait time.Duration) {
	conn, err := net.Dial("tcp", s.Node(to).Settings.CallerAddress.String())
	if err != nil {
		s.t.Error(err)
		return
	}
	defer func() { _ = conn.Close() }()
	time.Sleep(wait)
	callers := stopCallers{Path: "/slots"}
	s.exchange(conn, bufio.NewReader(conn), &callers, []*stopCall{{id: id, post: s.randomInt(2) == 0}})
}

func (s *stopTest) randomInt(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

// sendUntilStopped sends requests, until the stops are over.
func (s *stopTest) sendUntilStopped(callers stopCallers, prefix string) {
	pause := maxPause
	if callers.Pause > 0 {
		pause = callers.Pause.Std()
	}
	for n := 0; !s.stopped.Load(); {
		conn, err := net.Dial("tcp", s.Node(s.randomInt(len(s.scenario.Nodes))).Settings.CallerAddress.String())
		if err != nil {
			time.Sleep(maxPause)
			continue
		}
		reader := bufio.NewReader(conn)
		for open := true; open && !s.stopped.Load(); n++ {
			batch := make([]*stopCall, max(1, callers.Pipelined))
			for i := range batch {
				batch[i] = &stopCall{id: fmt.Sprintf("%s-%d-%d", prefix, n, i), post: callers.Post}
			}
			open = s.exchange(conn, reader, &callers, batch) && callers.Reuses
			time.Sleep(time.Duration(s.randomInt(int(pause))))
			open = open && !forwarder.HasInput(conn)
		}
		_ = conn.Close()
	}
}

// exchange sends the requests at once and reads the responses. It reports whether the connection can be used again.
func (s *stopTest) exchange(conn net.Conn, reader *bufio.Reader, callers *stopCallers, batch []*stopCall) bool {
	s.mu.Lock()
	s.calls = append(s.calls, batch...)
	s.mu.Unlock()
	const patience = 20 * time.Second
	_ = conn.SetDeadline(time.Now().Add(patience))
	var out bytes.Buffer
	for _, call := range batch {
		_, _ = stopRequest(call, callers).WriteTo(&out)
	}
	started := time.Now()
	s.writeInParts(conn, out.Bytes(), max(1, callers.Parts))
	open := true
	for _, call := range batch {
		resp := &fasthttp.Response{}
		call.err = resp.Read(reader)
		call.elapsed = time.Since(started)
		if call.err != nil {
			open = false
			continue
		}
		call.readAnswer(resp)
		open = open && !resp.ConnectionClose()
	}
	return open
}

// writeInParts writes the data in parts of equal size, with pauses in between.
func (s *stopTest) writeInParts(conn net.Conn, data []byte, parts int) {
	for part := range parts {
		if part > 0 {
			time.Sleep(time.Duration(s.randomInt(int(partPause))))
		}
		// A node that closes the connection may have answered before, so the error of a read counts.
		_, _ = conn.Write(data[part*len(data)/parts : (part+1)*len(data)/parts])
	}
}

func stopRequest(call *stopCall, callers *stopCallers) *fasthttp.Request {
	req := &fasthttp.Request{}
	req.SetRequestURI(callers.Path)
	req.Header.SetHost("test")
	req.Header.Set(responder.HeaderID, call.id)
	if call.post {
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetBody(bytes.Repeat([]byte("x"), cmp.Or(callers.BodyBytes, defaultBodyBytes)))
	}
	return req
}

// readAnswer records a whole answer.
func (c *stopCall) readAnswer(resp *fasthttp.Response) {
	c.status = resp.StatusCode()
	if string(resp.Header.ContentType()) == refuser.ContentType {
		c.err = json.Unmarshal(resp.Body(), &c.problem)
	} else if c.status == fasthttp.StatusOK {
		c.err = responder.CheckAnswer(c.id, resp.Body())
	}
}

var (
	errCut        = errors.New("a node has read it and it was cut without a whole answer")
	errRefused    = errors.New("it was refused although an upstream had the time to answer it")
	errRepeated   = errors.New("it is not idempotent and ran more than once")
	errWrong      = errors.New("it got a wrong answer")
	errWrongClaim = errors.New("it ran although the caller was told that it had not")
)

// check compares how each request ended for its caller with what the nodes and the upstreams have seen.
func (s *stopTest) check() {
	counts := make(map[string]int)
	for _, call := range s.calls {
		ran := s.Journal.Count(call.id)
		err := call.check(ran, s.log.has(call.id))
		if err == nil && !s.scenario.Outlasts && ran > 0 && call.isRefusedInTime() {
			err = errRefused
		}
		if err != nil {
			s.t.Errorf("%s after %s, ran %d times: %v (%+v, %v)", call.id, call.elapsed, ran, err, call.problem, call.err)
		}
		counts[call.outcome(err)]++
	}
	s.t.Logf("%d requests: %v", len(s.calls), counts)
	if counts["answered"] == 0 {
		s.t.Error("no request was answered")
	}
}

// outcome names how the request ended, for the test's log.
func (c *stopCall) outcome(fault error) string {
	switch {
	case fault != nil:
		return fault.Error()
	case c.status == fasthttp.StatusOK:
		return "answered"
	case c.status != 0:
		return "refused, " + string(c.problem.Reason)
	default:
		return "closed unread"
	}
}

// isRefusedInTime reports whether the request was refused for another reason than that its deadline had passed.
func (c *stopCall) isRefusedInTime() bool {
	return c.status != 0 && c.status != fasthttp.StatusOK && c.problem.Reason != refuser.ReasonDeadline
}

// check returns the fault in how the request ended, or nil.
func (c *stopCall) check(ran int, seen bool) error {
	switch {
	case c.post && ran > 1:
		return errRepeated
	case c.status == 0 && (seen || ran > 0):
		return errCut
	case c.status == 0:
		return nil
	case c.err != nil:
		return errWrong
	case c.problem.NotRun == refuser.NotRunTrue && ran > 0:
		return errWrongClaim
	default:
		return nil
	}
}

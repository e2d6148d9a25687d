package relayer

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/executor"
	"github.com/marigoldrelay/marigoldrelay/internal/forwarder"
	"github.com/marigoldrelay/marigoldrelay/internal/interpreter"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
	"github.com/valyala/fasthttp"
)

// answerScript is a series of requests to one upstream, and what it writes when it has read each of them.
type answerScript struct {
	Name     string `json:"name"`
	Requests []struct {
		ID      string           `json:"id"`
		Answers []scriptedAnswer `json:"answers"`
		// Want is the outcome: answered, failed, shed, misdirected or unknown.
		Want string `json:"want"`
	} `json:"requests"`
}

// scriptedAnswer is one answer of the upstream.
type scriptedAnswer struct {
	Status int    `json:"status"`
	ID     string `json:"id"`
	NotRun bool   `json:"not-run"`
	// Extra is true for an answer to no request or to an earlier one, which is written on the connection of the first request only.
	Extra bool `json:"extra"`
	// Closes is true if the connection is closed instead.
	Closes bool `json:"closes"`
}

// serveScript accepts connections and answers the requests on them as the script says.
func serveScript(t *testing.T, script *answerScript) net.Addr {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	next := make(chan int, 1)
	next <- 0
	go func() {
		for isFirst := true; ; isFirst = false {
			conn, err := socket.Accept()
			if err != nil {
				return
			}
			go serveScripted(conn, isFirst, script, next)
		}
	}()
	return socket.Addr()
}

func serveScripted(conn net.Conn, isFirst bool, script *answerScript, next chan int) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		var req fasthttp.Request
		if err := req.Read(reader); err != nil {
			return
		}
		number := <-next
		next <- number + 1
		for _, answer := range script.Requests[number].Answers {
			if answer.Closes {
				return
			}
			if answer.Extra && !isFirst {
				continue
			}
			if _, err := conn.Write([]byte(answerText(answer.Status, answer.ID, answer.NotRun, ""))); err != nil {
				return
			}
		}
	}
}

// ignoredAnswers is an upstreamObserver that learns nothing.
type ignoredAnswers struct{}

func (ignoredAnswers) ObserveConditions(executor.NamedConditions) {}

func (ignoredAnswers) UpdateLoad(interpreter.Load) {}

// TestEarlierAnswerIsNoProof guards against an upstream that writes an earlier refusal once more on a kept connection: the
// copy was taken for the answer to a later request, which had run, so that its caller was told that it had not.
func TestEarlierAnswerIsNoProof(t *testing.T) {
	playAnswerScripts(t, "testdata/upstream-answers.json")
}

// TestExtraAnswerIsNobodys guards against an upstream that writes an answer to no request where the next one is expected: a success went to
// a caller as its own, and a refusal as the proof that its request, which ran, had not run.
func TestExtraAnswerIsNobodys(t *testing.T) {
	playAnswerScripts(t, "testdata/extra-answers.json")
}

// playAnswerScripts plays the scripts in a data file.
func playAnswerScripts(t *testing.T, file string) {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var scripts []answerScript
	if err := json.Unmarshal(text, &scripts); err != nil {
		t.Fatal(err)
	}
	for _, script := range scripts {
		t.Run(script.Name, func(t *testing.T) { script.run(t) })
	}
}

// idInterpreter is a testInterpreter for upstreams that repeat the ids of requests and answer 421 to misdirected ones.
type idInterpreter struct {
	testInterpreter
}

// ReadAnswer implements Interpreter.
func (i idInterpreter) ReadAnswer(header *fasthttp.ResponseHeader) interpreter.Answer {
	answer := i.testInterpreter.ReadAnswer(header)
	answer.ID = string(header.Peek(headerTestRequest))
	answer.NotRun = answer.NotRun || header.StatusCode() == fasthttp.StatusMisdirectedRequest
	return answer
}

func (s *answerScript) run(t *testing.T) {
	address := serveScript(t, s)
	upstream := newLocalUpstream(timekeeper.System{}, idInterpreter{})
	upstream.observer, upstream.answerSkipped = ignoredAnswers{}, func(string, *fasthttp.ResponseHeader) {}
	upstream.reconnect(announcer.Announcement{Address: address.String(), Instance: "i"})
	for i, request := range s.Requests {
		req, resp := &fasthttp.Request{}, &fasthttp.Response{}
		req.SetRequestURI("/")
		req.Header.SetHost("test")
		if request.ID != "" {
			req.Header.Set(headerTestRequest, request.ID)
		}
		err := upstream.Do(context.Background(), req, resp, time.Now().Add(10*time.Second))
		if got := outcomeOf(resp, err); got != request.Want {
			t.Errorf("request %d: %s (%v), want %s", i, got, err, request.Want)
		}
	}
}

// outcomeOf names the outcome of a request as answerScript does.
func outcomeOf(resp *fasthttp.Response, err error) string {
	switch {
	case errors.Is(err, executor.ErrShed):
		return "shed"
	case errors.Is(err, executor.ErrMisdirected):
		return "misdirected"
	case errors.Is(err, forwarder.ErrNotSent):
		return "not sent"
	case err != nil:
		return "unknown"
	case resp.StatusCode() >= fasthttp.StatusInternalServerError:
		return "failed"
	default:
		return "answered"
	}
}

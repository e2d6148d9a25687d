package recorder

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/marigoldrelay/marigoldrelay/internal/seeder"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

func init() {
	seeder.SetFlagDefaults(500, 60)
}

// manualClock is a clock that a test advances.
type manualClock struct {
	now time.Time
}

// AfterFunc implements timekeeper.Clock. It does nothing because recorders do not use it.
func (*manualClock) AfterFunc(time.Duration, func()) timekeeper.Timer { return nil }

// Now implements timekeeper.Clock.
func (c *manualClock) Now() time.Time { return c.now }

// attemptMachine is a rapid state machine that sends attempts of two senders, in any order and more than once.
type attemptMachine struct {
	barred  map[ID]bool
	begun   map[ID]bool
	clock   *manualClock
	r       *Recorder
	running []ID
}

// drawID draws an attempt of one of the senders.
func drawID(t *rapid.T) ID {
	return ID{
		Sender:   rapid.SampledFrom([]string{"a.1", "b.1"}).Draw(t, "sender"),
		Sequence: uint64(rapid.IntRange(1, 12).Draw(t, "sequence")),
	}
}

func (m *attemptMachine) begin(t *rapid.T) {
	id := drawID(t)
	err := m.r.Begin(id)
	if err != nil {
		return
	}
	if m.begun[id] {
		t.Fatalf("%v began twice", id)
	}
	if m.barred[id] {
		t.Fatalf("%v began after it was barred", id)
	}
	m.begun[id] = true
	m.running = append(m.running, id)
}

func (m *attemptMachine) finish(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(t, "index")
	m.r.Finish(m.running[i], make([]byte, rapid.IntRange(0, 2000).Draw(t, "size")))
	m.running = append(m.running[:i], m.running[i+1:]...)
}

func (m *attemptMachine) resolve(t *rapid.T) {
	id := drawID(t)
	state, _, _ := m.r.Resolve(id)
	switch {
	case state == StateBarred && m.isRunning(id):
		t.Fatalf("%v is running but reported as barred", id)
	case state == StateBarred && m.begun[id]:
		t.Fatalf("%v has run but is reported as barred", id)
	case state == StateRunning && !m.isRunning(id):
		t.Fatalf("%v is not running but reported as running", id)
	case state == StateDone && !m.begun[id]:
		t.Fatalf("%v never began but is reported as done", id)
	case state == StateBarred:
		m.barred[id] = true
	}
}

func (m *attemptMachine) isRunning(id ID) bool {
	for _, other := range m.running {
		if other == id {
			return true
		}
	}
	return false
}

func (m *attemptMachine) advanceTime(t *rapid.T) {
	m.clock.now = m.clock.now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds")) * time.Second)
}

// TestAttemptsBeginOnce guards against attempts that begin twice, or after they were barred, and against wrong states
// of resolved attempts, while records expire and answers are dropped for space.
func TestAttemptsBeginOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := &manualClock{now: time.Unix(1000, 0)}
		m := &attemptMachine{barred: make(map[ID]bool), begun: make(map[ID]bool), clock: clock, r: New(clock)}
		m.r.maxBytes = 4000
		t.Repeat(map[string]func(*rapid.T){
			"begin": m.begin, "finish": m.finish, "pass": m.advanceTime, "resolve": m.resolve,
		})
	})
}

// TestLateCopyAfterItsRecordExpired guards against a copy of an attempt that runs because it was delayed for longer
// than records are kept.
func TestLateCopyAfterItsRecordExpired(t *testing.T) {
	clock := &manualClock{now: time.Unix(1000, 0)}
	r := New(clock)
	id := ID{Sender: "a.1", Sequence: 7}
	if state, _, _ := r.Resolve(id); state != StateBarred {
		t.Fatalf("the state of an unknown attempt is %s", state)
	}
	clock.now = clock.now.Add(DefaultRetention + time.Second)
	if err := r.Begin(ID{Sender: "b.1", Sequence: 1}); err != nil {
		t.Fatal(err)
	}
	if r.Len() != 1 {
		t.Errorf("%d records are kept, want 1", r.Len())
	}
	if err := r.Begin(id); !errors.Is(err, ErrBarred) {
		t.Errorf("a copy that is older than the retention time: %v", err)
	}
}

// TestExpiredAttemptMayHaveRun guards against an attempt that has run and is told as barred, which is to say that it has not,
// because its record has expired.
func TestExpiredAttemptMayHaveRun(t *testing.T) {
	clock := &manualClock{now: time.Unix(1000, 0)}
	r := New(clock)
	id := ID{Sender: "a.1", Sequence: 7}
	if err := r.Begin(id); err != nil {
		t.Fatal(err)
	}
	r.Finish(id, []byte("answer"))
	clock.now = clock.now.Add(DefaultRetention + time.Second)
	if state, answer, _ := r.Resolve(id); state != StateExpired || answer != nil {
		t.Errorf("the state of an attempt that has run is %s, with the answer %q", state, answer)
	}
	if state, _, _ := r.Resolve(ID{Sender: "a.1", Sequence: 8}); state != StateBarred {
		t.Errorf("the state of a later attempt that was not received is %s", state)
	}
}

package executor

import (
	"cmp"
	"encoding/json"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/interpreter"
	"github.com/marigoldrelay/marigoldrelay/internal/validator"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

// rateLimitScript is a series of responses of one upstream, one each second.
type rateLimitScript struct {
	Name      string `json:"name"`
	Responses []struct {
		// Announced, if not zero, announces a process that was born then, instead of a response.
		Announced int64 `json:"announced"`
		// Born is when the answering process was born; zero means that it is not known.
		Born int64        `json:"born"`
		Kind ResponseKind `json:"kind"`
		// Limit is the text in the header; nil means none.
		Limit *string `json:"limit"`
		// Instance is the instance that answers or is announced; empty means the current one.
		Instance string `json:"instance"`
		// Sent is when the request was sent, since the start; zero means just before the response.
		Sent validator.Duration `json:"sent"`
		// Want is the rate limit in force after the response; zero means none.
		Want float64 `json:"want"`
	} `json:"responses"`
}

// TestRateLimitHoldsAsLongAsNamed covers what begins and ends a rate limit.
func TestRateLimitHoldsAsLongAsNamed(t *testing.T) {
	text, err := os.ReadFile("testdata/rate-limits.json")
	if err != nil {
		t.Fatal(err)
	}
	var scripts []rateLimitScript
	if err := json.Unmarshal(text, &scripts); err != nil {
		t.Fatal(err)
	}
	for _, script := range scripts {
		t.Run(script.Name, func(t *testing.T) { synctest.Test(t, script.run) })
	}
}

func (s *rateLimitScript) run(t *testing.T) {
	m := newGroup(t, 1, true, 1, 1e9, testDocument(time.Second)).members[0]
	started := time.Now()
	for i, response := range s.Responses {
		time.Sleep(time.Second)
		if response.Announced != 0 {
			m.HandleAnnouncement(announcer.Announcement{
				Born: response.Announced, Instance: cmp.Or(response.Instance, m.name), Service: testService, Slots: testSlots, State: announcer.StateReady,
			})
		} else {
			named := NamedConditions{
				Process: announcer.Process{Born: response.Born, Instance: cmp.Or(response.Instance, m.name)},
				Kind:    response.Kind, SentAt: time.Now().Add(-10 * time.Millisecond),
			}
			if response.Sent != 0 {
				named.SentAt = started.Add(response.Sent.Std())
			}
			var header fasthttp.ResponseHeader
			if response.Limit != nil {
				header.Set(interpreter.HeaderRateLimit, *response.Limit)
			}
			named.Conditions = interpreter.Native{}.ReadAnswer(&header).Conditions
			m.ObserveConditions(named)
		}
		if got := m.Status().RateLimit; got != response.Want {
			t.Errorf("the limit after response %d is %g, want %g", i, got, response.Want)
		}
	}
}

// TestProbesLeaveRoomInRateLimit guards against probes before each start, which an upstream may count, beside a rate limit
// that is half used; and against an upstream whose limit is far away that is no longer asked for its load.
func TestProbesLeaveRoomInRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newGroup(t, 1, true, 1, 1e9, testDocument(time.Second)).members[0]
		m.UpdateLoad(interpreter.Load{Slots: testSlots, Slowdown: 1})
		probe := NamedConditions{
			Conditions: interpreter.Conditions{RateLimit: interpreter.RateLimit{PerSecond: 10}}, Process: announcer.Process{Instance: m.name}, Kind: ResponseProbe,
		}
		time.Sleep(time.Second)
		m.ObserveConditions(probe)
		if !m.needsLoadProbe() {
			t.Error("a distant limit keeps probes away")
		}
		for range 33 {
			m.ObserveConditions(probe)
		}
		if got := m.Meter.ConditionCount("rate-limit", "probe"); got != 34 {
			t.Errorf("%d responses that name a limit are counted, want 34", got)
		}
		if m.needsLoadProbe() || !m.LoadState().ProbesLimited {
			t.Error("probes go on although they use half of the promise")
		}
		time.Sleep(5 * time.Second)
		if !m.needsLoadProbe() {
			t.Error("probes do not begin again")
		}
	})
}

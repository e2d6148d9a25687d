package conditionkeeper

import (
	"fmt"
	"testing"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

// manualClock is a clock that the test sets.
type manualClock struct {
	now time.Time
}

func (c *manualClock) Now() time.Time { return c.now }

func (c *manualClock) AfterFunc(time.Duration, func()) timekeeper.Timer { panic("not used") }

func newTestKeeper() (*Keeper, *manualClock) {
	clock := &manualClock{now: time.Unix(1_000_000, 0)}
	return New(clock), clock
}

func limitOf(node string, born int64, perSecond float64) carrier.UpstreamCondition {
	return carrier.UpstreamCondition{Node: node, Instance: "i-" + node, Born: born, RateLimit: perSecond}
}

func (k *Keeper) limitAt(node string) float64 {
	for _, condition := range k.For("s", node) {
		return condition.RateLimit
	}
	return 0
}

func TestNewestConditionOfNodeIsKept(t *testing.T) {
	k, clock := newTestKeeper()
	steps := []struct {
		condition carrier.UpstreamCondition
		want      float64
	}{
		{limitOf("a", 5, 9), 9},
		{limitOf("a", 5, 4), 4},
		{limitOf("a", 3, 2), 4},
		{limitOf("a", 5, 0), 0},
		{limitOf("a", 7, 3), 3},
	}
	for i, step := range steps {
		k.Record("s", step.condition)
		if got := k.limitAt("a"); got != step.want {
			t.Errorf("after step %d: a limit of %g, want %g", i, got, step.want)
		}
	}
	if got := k.limitAt("b"); got != 0 {
		t.Errorf("another node has a limit of %g", got)
	}
	clock.now = clock.now.Add(conditionTTL + time.Second)
	if got := k.limitAt("a"); got != 0 {
		t.Errorf("an expired condition is told: %g", got)
	}
}

func TestConditionsAreBounded(t *testing.T) {
	k, clock := newTestKeeper()
	for i := range maxConditions + 10 {
		clock.now = clock.now.Add(time.Millisecond)
		k.Record("s", limitOf(fmt.Sprint(i), 1, 9))
	}
	if len(k.conditions) > maxConditions {
		t.Errorf("%d conditions are kept, want at most %d", len(k.conditions), maxConditions)
	}
	if k.limitAt("0") != 0 || k.limitAt(fmt.Sprint(maxConditions+9)) == 0 {
		t.Error("the oldest condition was kept, or the newest was not")
	}
}

// TestLeavingUpstreamsOfServiceAreTold covers attempts that a node hands off: they tell of the leaving upstreams of their
// service, and no more than a few of them.
func TestLeavingUpstreamsOfServiceAreTold(t *testing.T) {
	k, clock := newTestKeeper()
	leaving := func(service, node string) {
		clock.now = clock.now.Add(time.Millisecond)
		k.Record(service, carrier.UpstreamCondition{Node: node, Instance: "i-" + node, Leaving: true})
	}
	leaving("s", "target")
	for i := range maxTold + 2 {
		leaving("s", fmt.Sprint(i))
	}
	leaving("other", "x")
	told := k.For("s", "target")
	if len(told) != maxTold || told[0].Instance != "i-target" || told[1].Instance != fmt.Sprintf("i-%d", maxTold+1) {
		t.Errorf("%+v is told, want the target and then the newest", told)
	}
	for _, condition := range told {
		if condition.Node != "" || condition.Instance == "i-x" {
			t.Errorf("%+v is told", condition)
		}
	}
	clock.now = clock.now.Add(leavingTTL + time.Second)
	if told := k.For("s", "target"); len(told) != 1 {
		t.Errorf("after a while %d are told, want the target's", len(told))
	}
}

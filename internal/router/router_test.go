package router

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

func place(name, region, dataCentre string) gossiper.Member {
	return gossiper.Member{
		Name: name, DataCentre: dataCentre, Region: region, Service: "s", Slots: 12, Upstream: announcer.StateReady,
	}
}

func newRouter() *Router {
	return New(timekeeper.System{}, rand.New(rand.NewPCG(1, 1)), Weighted{}, "r1", "dc1")
}

func count(r *Router, picks int) map[string]int {
	counts := make(map[string]int)
	for range picks {
		if m, ok := r.Pick(Need{Service: "s"}, nil); ok {
			counts[m.Name]++
		}
	}
	return counts
}

func TestNearestFirst(t *testing.T) {
	r := newRouter()
	near, region, far := place("near", "r1", "dc1"), place("region", "r1", "dc2"), place("far", "r2", "dc3")
	for _, m := range []gossiper.Member{near, region, far} {
		r.Update(m)
	}
	for _, want := range []*gossiper.Member{&near, &region, &far} {
		if got := count(r, 20)[want.Name]; got != 20 {
			t.Errorf("%s got %d of 20 calls", want.Name, got)
		}
		want.Upstream = announcer.StateDraining
		r.Update(*want)
	}
	if _, ok := r.Pick(Need{Service: "s"}, nil); ok {
		t.Error("a draining upstream was picked")
	}
}

func TestFailingTargetRestsAndIsProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRouter()
		r.Update(place("bad", "r1", "dc1"))
		r.Update(place("good", "r1", "dc1"))
		for range failuresToRest {
			r.Sent("bad")
			r.Learn("bad", carrier.Load{}, true)
		}
		if got := count(r, 200)["bad"]; got > 0 {
			t.Errorf("a resting target got %d calls", got)
		}
		time.Sleep(minRest + time.Millisecond)
		if got := count(r, 2000)["bad"]; got != 1 {
			t.Errorf("a target that has rested got %d calls at once, want 1 probe", got)
		}
		r.Sent("bad")
		r.Learn("bad", carrier.Load{}, false)
		if got := count(r, 2000)["bad"]; got == 0 {
			t.Error("a target that is well again gets no calls")
		}
	})
}

func TestStragglerGetsLittle(t *testing.T) {
	r := newRouter()
	for _, name := range []string{"a", "b", "slow"} {
		r.Update(place(name, "r1", "dc1"))
		latency := 10 * time.Millisecond
		if name == "slow" {
			latency = 30 * time.Millisecond
		}
		r.Sent(name)
		r.Learn(name, carrier.Load{Latency: latency, Slots: 12}, false)
	}
	counts := count(r, 3000)
	t.Logf("%v", counts)
	if counts["slow"] > 150 || counts["slow"] == 0 {
		t.Errorf("the straggler got %d of 3000 calls", counts["slow"])
	}
}

func TestRestartedMemberStartsAnew(t *testing.T) {
	r := newRouter()
	m := place("a", "r1", "dc1")
	r.Update(m)
	for range failuresToRest {
		r.Sent("a")
		r.Learn("a", carrier.Load{}, true)
	}
	m.Incarnation = 2
	r.Update(m)
	r.Update(place("b", "r1", "dc1"))
	if got := count(r, 100)["a"]; got < 20 {
		t.Errorf("a restarted member got %d of 100 calls", got)
	}
}

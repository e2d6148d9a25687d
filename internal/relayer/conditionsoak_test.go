package relayer

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/validator"
)

var (
	conditionSeed  = flag.Uint64("condition-seed", 1, "first seed of TestSoakOfConditions")
	conditionSeeds = flag.Uint64("condition-seeds", 4, "number of seeds of TestSoakOfConditions")
)

// TestSoakOfConditions draws rate limits that begin, change and end, leaving upstreams, restarts in series, quiet times and
// bursts. Whatever is drawn, each upstream's rate limit is kept and a leaving one gets no late requests.
func TestSoakOfConditions(t *testing.T) {
	for seed := *conditionSeed; seed < *conditionSeed+*conditionSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			scenario := drawScenario(seed)
			readScenario(t, "testdata/conditions/two-limited.json", &conditionScenario{})
			r := scenario.run(t)
			r.checkChangingLimits(t)
			r.checkLeaving(t)
			if t.Failed() {
				t.Logf("scenario: %+v", *scenario)
			}
		})
	}
}

// checkChangingLimits is checkLimits for limits that fall or begin at any load: what was sent before cannot be taken back. It
// counts the requests of entry nodes that had delivered an answer with a limit half a second before the request, and takes
// at each time of the window the highest limit named in the half second before.
func (r *conditionRun) checkChangingLimits(t *testing.T) {
	t.Helper()
	for _, instance := range slices.Sorted(maps.Keys(r.arrivals)) {
		node, _, _ := strings.Cut(instance, ".")
		var counted []time.Duration
		for _, a := range r.arrivals[instance] {
			if told, ok := r.limitDelivered[delivery{entry: a.entry, instance: instance}]; ok && told+deliveryDelay <= a.at {
				counted = append(counted, a.at)
			}
		}
		worst := 0.0
		for i, end := range counted {
			allowed, ok := r.allowedWhileChanging(node, end)
			if !ok {
				continue
			}
			first, _ := slices.BinarySearch(counted, end-limitWindow+1)
			worst = max(worst, float64(i+1-first)/allowed)
			if float64(i+1-first) > allowed {
				t.Errorf("%s got %d requests in %v until %v, allowed %.1f", instance, i+1-first, limitWindow, end, allowed)
				break
			}
		}
		t.Logf("%s: at most %.2f of what its limits allow", instance, worst)
	}
}

// allowedWhileChanging returns how many requests the upstream beside the node can get in the window that ends at the given
// time. It reports false where that is not limited.
func (r *conditionRun) allowedWhileChanging(node string, end time.Duration) (float64, bool) {
	const step = 20 * time.Millisecond
	began := r.firstNaming(node)
	if began < 0 || end < began+limitSettleTime {
		return 0, false
	}
	sum := 0.0
	for at := end - limitWindow + step; at <= end; at += step {
		limit, ok := r.highestLimit(node, max(at, began))
		if !ok {
			return 0, false
		}
		sum += limit * step.Seconds()
	}
	return limitExcess*sum + limitSlack, true
}

// firstNaming returns when the upstream beside the node first named a limit, or a negative time if it never did.
func (r *conditionRun) firstNaming(node string) time.Duration {
	first := time.Duration(-1)
	for _, limit := range r.scenario.Limits {
		if limit.Node == node && (first < 0 || limit.From.Std() < first) {
			first = limit.From.Std()
		}
	}
	return first
}

// highestLimit returns the highest limit that the upstream named in the half second before the given time. It reports
// false if there was a time without a limit.
func (r *conditionRun) highestLimit(node string, at time.Duration) (float64, bool) {
	highest := 0.0
	began := r.firstNaming(node)
	for past := time.Duration(0); past <= deliveryDelay; past += deliveryDelay / 10 {
		when := max(began, at-past)
		if !r.isNamed(node, when) {
			return 0, false
		}
		for _, limit := range r.scenario.Limits {
			if value, err := strconv.ParseFloat(limit.Value, 64); err == nil && limit.Node == node && limit.isNamedAt(when) {
				highest = max(highest, value)
			}
		}
	}
	return highest, true
}

// drawScenario returns the scenario of a seed.
func drawScenario(seed uint64) *conditionScenario {
	random := rand.New(rand.NewPCG(seed, 1))
	between := func(low, high time.Duration) validator.Duration {
		return validator.Duration(low + time.Duration(random.Int64N(int64(high-low))))
	}
	nodes := []string{"b1", "b2", "b3", "b4", "b5"}
	node := func() string { return nodes[random.IntN(len(nodes))] }
	s := &conditionScenario{Seed: seed, Length: validator.Duration(25 * time.Second)}
	addKind := func(name string, rate float64, from, to validator.Duration) {
		s.Kinds = append(s.Kinds, conditionKind{
			requestKind: requestKind{
				Name: name, Rate: rate, Work: between(20*time.Millisecond, 200*time.Millisecond),
				Limit: validator.Duration(800 * time.Millisecond), Idempotent: name == "date-lookup",
			},
			From: from, To: to,
		})
	}
	addKind("date-lookup", 20+100*random.Float64(), 0, 0)
	addKind("slot-reserve", 5+40*random.Float64(), 0, 0)
	for range random.IntN(3) {
		from := between(time.Second, 20*time.Second)
		addKind("date-lookup", 300*random.Float64()+20, from, from+between(time.Second, 4*time.Second))
	}
	for _, name := range nodes[:random.IntN(len(nodes)+1)] {
		at := between(3*time.Second, 8*time.Second)
		for range 1 + random.IntN(3) {
			to := at + between(2*time.Second, 9*time.Second)
			value := strconv.FormatFloat(0.3+30*random.Float64()*random.Float64(), 'f', 2, 64)
			s.Limits = append(s.Limits, namedLimit{Node: name, From: at, To: to, Value: value})
			at = to
		}
	}
	for range random.IntN(3) {
		s.Leaving = append(s.Leaving, nodeEvent{Node: node(), At: between(5*time.Second, 15*time.Second)})
	}
	for at := between(2*time.Second, 10*time.Second); at.Std() < 22*time.Second && random.IntN(6) > 0; at += between(50*time.Millisecond, 4*time.Second) {
		s.Restarts = append(s.Restarts, nodeEvent{Node: node(), At: at})
	}
	return s
}

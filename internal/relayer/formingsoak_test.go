package relayer_test

import (
	"flag"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
)

var (
	formingSeeds = flag.Uint64("forming.seeds", 20, "number of seeds of TestFormingAmongStalls")
	formingFirst = flag.Uint64("forming.first", 1, "first seed of TestFormingAmongStalls")
)

// maxFormingStalls is how long packets are late after the start of the nodes.
const maxFormingStalls = 10 * time.Second

// TestFormingAmongStalls guards against a deployment that starts for the first time and never accepts a change, because its nodes start one
// after the other, datagrams are lost and packets come up to 2 s late in its first seconds.
func TestFormingAmongStalls(t *testing.T) {
	carrier.EncodeResponse(&fasthttp.Response{})
	slowest := time.Duration(0)
	for seed := *formingFirst; seed < *formingFirst+*formingSeeds; seed++ {
		synctest.Test(t, func(t *testing.T) { slowest = max(slowest, formAmongStalls(t, seed)) })
	}
	t.Logf("the slowest of %d deployments took %s", *formingSeeds, slowest)
}

// formAmongStalls starts five nodes with disks, and returns how long the first change through the first node took after the last start.
func formAmongStalls(t *testing.T, seed uint64) time.Duration {
	random := rand.New(rand.NewPCG(seed, 9))
	f := newSpreadFleet(t, &spreadScenario{Seed: seed, Members: spreadReplicas, LossPercent: random.IntN(10), Late: []int{0, 1, 2, 3, 4}}, false)
	defer f.close()
	f.network.setStalls(random.IntN(30), time.Duration(1+random.IntN(2000))*time.Millisecond)
	gap := 1 + random.IntN(3000)
	for number := range spreadReplicas {
		f.start(number, true)
		time.Sleep(time.Duration(random.IntN(gap)) * time.Millisecond)
	}
	time.AfterFunc(time.Duration(random.Int64N(int64(maxFormingStalls))), func() { f.network.setStalls(0, 0) })
	started := time.Now()
	for !f.tryChange(0) {
		if time.Since(started) > formingBound {
			t.Errorf("seed %d: no change was acknowledged %s after the last start", seed, formingBound)
			break
		}
		time.Sleep(checkInterval)
	}
	return time.Since(started)
}

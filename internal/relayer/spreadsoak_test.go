package relayer_test

import (
	"context"
	"flag"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
)

var (
	spreadSeeds = flag.Uint64("spread.seeds", 2, "number of seeds of TestSoakOfSpreading")
	spreadTime  = flag.Duration("spread.time", 30*time.Second, "how long TestSoakOfSpreading injects faults")
	spreadFirst = flag.Uint64("spread.first", 1, "first seed of TestSoakOfSpreading")
	spreadNodes = flag.Int("spread.nodes", 20, "nodes of TestSoakOfSpreading, five of them with a disk")
	// spreadRoutes, spreadMbps and spreadRelayed vary TestSoakOfSpreading by hand.
	spreadRoutes  = flag.Int("spread.routes", 0, "routes that are added to the document of TestSoakOfSpreading")
	spreadMbps    = flag.Float64("spread.mbps", 0, "width of the links of nodes without a disk, in megabits per second; 0 for no limit")
	spreadRelayed = flag.Bool("spread.relayed", false, "whether changes go through relays")
)

const (
	// maxSkew extends applyBound while a node with a disk is disturbed, or was within settleTime.
	maxSkew = 5 * time.Second
	// lossLimit is the number of nodes with a disk that may be lost at once.
	lossLimit = spreadReplicas / 2
)

// spreadChurn injects faults into a spreadFleet while its operator makes changes.
type spreadChurn struct {
	*spreadFleet
	random *lockedSource

	mu sync.Mutex
	// disturbed holds the nodes that are cut off or down, and calmSince since when the others are not.
	disturbed map[int]bool
	calmSince map[int]time.Time
	// checks counts the looks at nodes in which a version came in force, and slowest is the longest time until one was in force
	// at all nodes, disturbed ones included.
	checks  int
	slowest time.Duration
}

// lockedSource is a source of random numbers that is safe for concurrent use.
type lockedSource struct {
	mu     sync.Mutex
	random *rand.Rand
}

func (l *lockedSource) intn(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.IntN(n)
}

// TestSoakOfSpreading guards against a change that is acknowledged and not in force in time at a node in touch, while connections
// turn silent, nodes are cut off, lose power or are restarted, and datagrams are lost, at random and at the same time.
func TestSoakOfSpreading(t *testing.T) {
	carrier.EncodeResponse(&fasthttp.Response{})
	for seed := *spreadFirst; seed < *spreadFirst+*spreadSeeds; seed++ {
		synctest.Test(t, func(t *testing.T) { playChurn(t, seed) })
	}
}

func playChurn(t *testing.T, seed uint64) {
	random := &lockedSource{random: rand.New(rand.NewPCG(seed, 7))}
	scenario := &spreadScenario{
		Seed: seed, Members: *spreadNodes, LossPercent: random.intn(4), Routes: *spreadRoutes, LinkMbps: *spreadMbps,
	}
	f := newSpreadFleet(t, scenario, *spreadRelayed)
	defer f.close()
	time.Sleep(spreadFormTime)
	f.change(0)
	c := &spreadChurn{spreadFleet: f, random: random, disturbed: make(map[int]bool), calmSince: make(map[int]time.Time)}
	ctx, stop := context.WithTimeout(t.Context(), *spreadTime)
	defer stop()
	var work sync.WaitGroup
	work.Go(func() {
		for ctx.Err() == nil {
			c.inject(ctx)
			time.Sleep(time.Duration(random.intn(1500)) * time.Millisecond)
		}
	})
	work.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(time.Duration(random.intn(4000)) * time.Millisecond)
			silent, others := f.group(c.pick(1 + random.intn(*spreadNodes-1)))
			f.network.silence(silent, others)
		}
	})
	for ctx.Err() == nil {
		c.changeAndCheck(seed)
	}
	work.Wait()
	t.Logf("seed %d: version %d, in force at %d nodes in time, everywhere after %s at most", seed, f.version, c.checks, c.slowest)
}

// pick returns the numbers of different nodes.
func (c *spreadChurn) pick(count int) []int {
	var numbers []int
	for len(numbers) < count {
		if number := c.random.intn(*spreadNodes); !slices.Contains(numbers, number) {
			numbers = append(numbers, number)
		}
	}
	return numbers
}

// inject cuts off, restarts or cuts the power of a few nodes, and repairs them after a while. At most lossLimit nodes with a disk
// are disturbed at once, and mostly none, so that there are times in which applyBound holds.
func (c *spreadChurn) inject(ctx context.Context) {
	numbers := c.pick(1 + c.random.intn(4))
	if c.random.intn(3) > 0 {
		numbers = slices.DeleteFunc(numbers, func(number int) bool { return number < spreadReplicas })
	} else {
		time.Sleep(settleTime + 2*applyBound)
	}
	core := slices.DeleteFunc(slices.Clone(numbers), func(number int) bool { return number >= spreadReplicas })
	// Without numbers, group returns all nodes twice: all would be cut off from each other, and count as in touch.
	if len(numbers) == 0 || len(core) > lossLimit || ctx.Err() != nil {
		return
	}
	duration := time.Duration(c.random.intn(10000)) * time.Millisecond
	c.setDisturbed(numbers, true)
	switch c.random.intn(3) {
	case 0:
		some, others := c.group(numbers)
		c.network.cut(some, others, true)
		time.Sleep(duration)
		c.network.cut(some, others, false)
	case 1:
		c.restart(numbers, duration/5)
	default:
		for _, number := range numbers {
			c.network.cutPower(c.vms[number])
		}
		c.restart(numbers, duration/5)
	}
	c.setDisturbed(numbers, false)
}

// restart ends the nodes and starts them again after a pause.
func (c *spreadChurn) restart(numbers []int, pause time.Duration) {
	for _, number := range numbers {
		c.node(number).Abort()
	}
	time.Sleep(pause)
	for _, number := range numbers {
		c.network.restorePower(c.vms[number])
		c.start(number, false)
	}
}

func (c *spreadChurn) setDisturbed(numbers []int, isDisturbed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, number := range numbers {
		c.disturbed[number] = isDisturbed
		c.calmSince[number] = time.Now()
	}
}

// calm returns since when nothing was done to the node, and false if a fault is being injected.
func (c *spreadChurn) calm(number int) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calmSince[number], !c.disturbed[number]
}

// isCoreStable reports whether nothing has been done to a node with a disk for settleTime.
func (c *spreadChurn) isCoreStable() bool {
	for number := range spreadReplicas {
		if since, calm := c.calm(number); !calm || time.Since(since) < settleTime {
			return false
		}
	}
	return true
}

// changeAndCheck makes a change through a node with a disk, and checks that it is in force in time at each node that was in touch
// all the while.
func (c *spreadChurn) changeAndCheck(seed uint64) {
	number := c.random.intn(spreadReplicas)
	if _, calm := c.calm(number); !calm || !c.tryChange(number) {
		time.Sleep(checkInterval)
		return
	}
	acknowledged, isStable := time.Now(), c.isCoreStable()
	late := make(map[int]bool)
	for i := range *spreadNodes {
		late[i] = true
	}
	bound := applyBound
	for time.Since(acknowledged) < bound && len(late) > 0 {
		for i := range late {
			if c.node(i).Status().DocumentVersion >= c.version {
				delete(late, i)
			}
		}
		if isStable = isStable && c.isCoreStable(); !isStable {
			bound = applyBound + maxSkew
		}
		time.Sleep(checkInterval)
	}
	c.mu.Lock()
	c.checks += *spreadNodes - len(late)
	if len(late) == 0 {
		c.slowest = max(c.slowest, time.Since(acknowledged))
	}
	c.mu.Unlock()
	for i := range late {
		since, calm := c.calm(i)
		if calm && acknowledged.Add(bound).Sub(since) >= settleTime {
			c.t.Errorf("seed %d: version %d is not in force at node %d %s after its acknowledgement", seed, c.version, i, bound)
		}
	}
}

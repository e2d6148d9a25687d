package claimer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"github.com/marigoldrelay/marigoldrelay/internal/dispatcher"
	"github.com/marigoldrelay/marigoldrelay/internal/gossiper"
	"github.com/marigoldrelay/marigoldrelay/internal/interpreter"
	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
	"github.com/marigoldrelay/marigoldrelay/internal/seeder"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

func init() {
	seeder.SetFlagDefaults(200, 20)
}

var errMessageLost = errors.New("message lost")

// testOwners implements OwnerClient and Members with five owner nodes. Messages to and from them can be lost.
type testOwners struct {
	mu       sync.Mutex
	lossRate float64
	random   *rand.Rand
	tables   map[string]*Table
}

func newTestOwners() *testOwners {
	o := &testOwners{random: rand.New(rand.NewPCG(1, 1)), tables: make(map[string]*Table)}
	for i := range 5 {
		o.tables[fmt.Sprintf("n%d", i)] = NewTable(timekeeper.System{})
	}
	return o
}

func (o *testOwners) losesMessage() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.random.Float64() < o.lossRate
}

func (o *testOwners) table(name string) *Table {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tables[name]
}

// Claim implements OwnerClient.
func (o *testOwners) Claim(_ context.Context, to gossiper.Member, claim Claim) (Record, error) {
	time.Sleep(time.Millisecond)
	if o.losesMessage() {
		return Record{}, errMessageLost
	}
	record := o.table(to.Name).Claim(claim)
	if o.losesMessage() {
		return Record{}, errMessageLost
	}
	return record, nil
}

// Release implements OwnerClient.
func (o *testOwners) Release(_ context.Context, to gossiper.Member, claim Claim) error {
	if o.losesMessage() {
		return errMessageLost
	}
	o.table(to.Name).Release(claim)
	return nil
}

// Settle implements OwnerClient.
func (o *testOwners) Settle(_ context.Context, to gossiper.Member, settlement Settlement) error {
	if o.losesMessage() {
		return errMessageLost
	}
	o.table(to.Name).Settle(settlement)
	return nil
}

// Owners implements Members.
func (o *testOwners) Owners(string) []gossiper.Member {
	var members []gossiper.Member
	for i := range 5 {
		members = append(members, gossiper.Member{Name: fmt.Sprintf("n%d", i)})
	}
	return members
}

// IsRunning implements Members.
func (*testOwners) IsRunning(string) bool { return true }

// repeatedRequest is a rapid state machine that sends the same keyed request repeatedly, concurrently and in
// succession, while messages are lost and one owner is restarted.
type repeatedRequest struct {
	*testOwners
	answeredCount int
	callCount     int
	restarted     bool
	runCount      int
}

// send sends up to four concurrent copies of the request at the drawn loss rate.
func (r *repeatedRequest) send(t *rapid.T) {
	copies := rapid.IntRange(1, 4).Draw(t, "copies")
	lossRate := rapid.SampledFrom([]float64{0, 0.2, 0.5}).Draw(t, "loss")
	r.mu.Lock()
	r.lossRate = lossRate
	r.mu.Unlock()
	var callers sync.WaitGroup
	for range copies {
		r.callCount++
		call := &dispatcher.Call{
			Deadline: time.Now().Add(2 * time.Second), ID: fmt.Sprintf("entry.1.%d", r.callCount), Key: "k", Neighbour: "a", Service: "s",
		}
		callers.Go(func() {
			refusal := New(timekeeper.System{}, r, r, interpreter.Native{}, testSigner).Run(context.Background(), call, &fasthttp.Request{}, &fasthttp.Response{}, func() *refuser.Refusal {
				r.mu.Lock()
				r.runCount++
				r.mu.Unlock()
				time.Sleep(5 * time.Millisecond)
				return nil
			})
			r.mu.Lock()
			defer r.mu.Unlock()
			if refusal == nil {
				r.answeredCount++
			}
			if refusal != nil && refusal.IsNotRun() && r.runCount > 0 {
				t.Errorf("the request has run but its caller is told that it has not: %v", refusal)
			}
		})
	}
	callers.Wait()
}

// advanceTime lets 1 to 30 seconds pass, within the time that claims are kept.
func (r *repeatedRequest) advanceTime(t *rapid.T) {
	time.Sleep(time.Duration(rapid.IntRange(1, 30).Draw(t, "seconds")) * time.Second)
}

// restartOwner restarts one owner, which loses its table. It does so once.
func (r *repeatedRequest) restartOwner(t *rapid.T) {
	if r.restarted {
		return
	}
	r.restarted = true
	name := fmt.Sprintf("n%d", rapid.IntRange(0, 4).Draw(t, "owner"))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tables[name] = NewTable(timekeeper.System{})
}

// check verifies that the request has run at most once, and has run if it was answered.
func (r *repeatedRequest) check(t *rapid.T) {
	if r.runCount > 1 {
		t.Fatalf("the request ran %d times", r.runCount)
	}
	if r.answeredCount > 0 && r.runCount == 0 {
		t.Fatal("a request that has not run was answered")
	}
}

// TestKeyedRequestRunsOnce guards against requests with the same idempotency key that run more than once when
// copies, lost messages and the restart of an owner come together.
func TestKeyedRequestRunsOnce(t *testing.T) {
	// Writing the first response starts a goroutine of the HTTP library that never ends, so that it has to be
	// started outside the bubble.
	if _, err := (&fasthttp.Response{}).WriteTo(io.Discard); err != nil {
		t.Fatal(err)
	}
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(seeder.WithoutDeadline(t), func(rt *rapid.T) {
			r := &repeatedRequest{testOwners: newTestOwners()}
			if rapid.Bool().Draw(rt, "old") {
				time.Sleep(Retention)
			}
			rt.Repeat(map[string]func(*rapid.T){"": r.check, "forget": r.restartOwner, "pass": r.advanceTime, "send": r.send})
		})
	})
}

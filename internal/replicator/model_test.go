package replicator

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"

	"github.com/marigoldrelay/marigoldrelay/internal/seeder"
)

// history drives a register with racing changes, lost messages, cuts, restarts and disk swaps, and
// checks that what is read fits one order of the changes.
type history struct {
	*disks
	changes  int
	made     map[string]uint64
	newest   uint64
	random   *rand.Rand
	replicas []Replica
	texts    map[uint64]string
}

// race sends changes from the same version through several proposers at once.
func (h *history) race(t *rapid.T) {
	operators := rapid.IntRange(1, 4).Draw(t, "operators")
	loss := rapid.Float64Range(0, 0.3).Draw(t, "loss")
	h.setLoss(loss)
	defer h.setLoss(0)
	type outcome struct {
		err     error
		id      string
		version uint64
	}
	outcomes := make([]outcome, operators)
	base := h.newest
	var racing sync.WaitGroup
	for i := range operators {
		h.changes++
		id := fmt.Sprintf("c%d", h.changes)
		racing.Go(func() {
			p := h.proposer("p-"+id, h.replicas)
			_, version, err := p.Apply(context.Background(), change(id, base, h.replicas))
			outcomes[i] = outcome{err, id, version}
		})
	}
	racing.Wait()
	for _, o := range outcomes {
		h.note(t, o.id, o.version, o.err)
	}
}

func (h *history) note(t *rapid.T, id string, version uint64, err error) {
	switch {
	case err == nil:
		if other, ok := h.texts[version]; ok && other != "text of "+id {
			t.Fatalf("version %d was made twice: %q and %q", version, other, id)
		}
		h.texts[version] = "text of " + id
		h.made[id] = version
	case errors.Is(err, ErrConflict):
		h.made[id] = 0
	}
}

// setLoss makes that part of the messages, and of the replies, disappear.
func (h *history) setLoss(part float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lose = func() (bool, bool) { return h.random.Float64() < part, h.random.Float64() < part }
}

func (h *history) restart(t *rapid.T) {
	h.start(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "vm"))
}

// swap loses one disk and has the new one accepted in its place.
func (h *history) swap(t *rapid.T) {
	vm := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "vm")
	h.wipe(vm)
	repaired := h.disks.replicas("a", "b", "c")
	h.changes++
	id := fmt.Sprintf("swap%d", h.changes)
	_, version, err := h.proposer("p-"+id, h.replicas).Apply(context.Background(), change(id, h.newest, repaired))
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		// A change that got no clear answer came into force with this round.
		h.changes++
		id = fmt.Sprintf("swap%d", h.changes)
		_, version, err = h.proposer("p-"+id, h.replicas).Apply(context.Background(), change(id, conflict.Current, repaired))
	}
	if err != nil {
		t.Fatalf("swapping the disk of %s: %v", vm, err)
	}
	h.note(t, id, version, nil)
	h.replicas = repaired
}

// check reads through a proposer and compares with what the changes were told.
func (h *history) check(t *rapid.T) {
	value, err := h.proposer("reader", h.replicas).Read(context.Background())
	if err != nil {
		t.Fatalf("reading: %v", err)
	}
	if value.Version < h.newest {
		t.Fatalf("version %d was read after %d", value.Version, h.newest)
	}
	h.newest = value.Version
	if text, ok := h.texts[value.Version]; ok && text != value.Text {
		t.Fatalf("version %d reads %q, made as %q", value.Version, value.Text, text)
	}
	h.texts[value.Version] = value.Text
	for id, version := range h.made {
		done, ok := value.resultOf(id)
		if ok != (version > 0) || done != version {
			t.Fatalf("%s was told version %d and the register has %d", id, version, done)
		}
	}
}

func TestRegisterModel(t *testing.T) {
	synctest.Test(t, checkRegister)
}

func checkRegister(t *testing.T) {
	rapid.Check(seeder.InBubble(t), func(rt *rapid.T) {
		h := &history{
			disks:  newDisks(t, "a", "b", "c"),
			made:   make(map[string]uint64),
			random: rand.New(rand.NewPCG(1, 1)),
			texts:  make(map[uint64]string),
		}
		h.replicas = h.bootstrap("a", "b", "c")
		h.newest = 1
		rt.Repeat(map[string]func(*rapid.T){
			"":        h.check,
			"race":    h.race,
			"restart": h.restart,
			"swap":    h.swap,
		})
	})
}

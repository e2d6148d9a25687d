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

// registerModel runs a register with concurrent changes, lost messages, restarts and replaced disks, and checks
// that the values that are read fit one order of the changes.
type registerModel struct {
	*cluster
	changeCount   int
	results       map[string]uint64
	newestVersion uint64
	random        *rand.Rand
	replicas      []Replica
	texts         map[uint64]string
}

// race sends changes from the same version through several proposers concurrently.
func (m *registerModel) race(t *rapid.T) {
	operators := rapid.IntRange(1, 4).Draw(t, "operators")
	loss := rapid.Float64Range(0, 0.3).Draw(t, "loss")
	m.setLossRate(loss)
	defer m.setLossRate(0)
	type outcome struct {
		err     error
		id      string
		version uint64
	}
	outcomes := make([]outcome, operators)
	base := m.newestVersion
	var wg sync.WaitGroup
	for i := range operators {
		m.changeCount++
		id := fmt.Sprintf("c%d", m.changeCount)
		wg.Go(func() {
			p := m.proposer("p-"+id, m.replicas)
			_, version, err := p.Apply(context.Background(), change(id, base, m.replicas))
			outcomes[i] = outcome{err, id, version}
		})
	}
	wg.Wait()
	for _, o := range outcomes {
		m.recordOutcome(t, o.id, o.version, o.err)
	}
}

// recordOutcome stores the result of a change, unless it is unknown whether the change was applied.
func (m *registerModel) recordOutcome(t *rapid.T, id string, version uint64, err error) {
	switch {
	case err == nil:
		if other, ok := m.texts[version]; ok && other != "text of "+id {
			t.Fatalf("version %d was created twice: %q and %q", version, other, id)
		}
		m.texts[version] = "text of " + id
		m.results[id] = version
	case errors.Is(err, ErrConflict):
		m.results[id] = 0
	}
}

// setLossRate sets the fraction of the requests, and of the replies, that are lost.
func (m *registerModel) setLossRate(rate float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loss = func() (bool, bool) { return m.random.Float64() < rate, m.random.Float64() < rate }
}

func (m *registerModel) restart(t *rapid.T) {
	m.start(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "vm"))
}

// replaceDisk wipes one disk and applies a change that replaces the old replica with the new one.
func (m *registerModel) replaceDisk(t *rapid.T) {
	vm := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "vm")
	m.wipe(vm)
	repaired := m.cluster.replicas("a", "b", "c")
	m.changeCount++
	id := fmt.Sprintf("swap%d", m.changeCount)
	_, version, err := m.proposer("p-"+id, m.replicas).Apply(context.Background(), change(id, m.newestVersion, repaired))
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		// An earlier change with an unknown outcome was completed by this round.
		m.changeCount++
		id = fmt.Sprintf("swap%d", m.changeCount)
		_, version, err = m.proposer("p-"+id, m.replicas).Apply(context.Background(), change(id, conflict.Current, repaired))
	}
	if err != nil {
		t.Fatalf("replacing the disk of %s: %v", vm, err)
	}
	m.recordOutcome(t, id, version, nil)
	m.replicas = repaired
}

// check reads the value through a new proposer and compares it with the results that the changes returned.
func (m *registerModel) check(t *rapid.T) {
	value, err := m.proposer("reader", m.replicas).Read(context.Background())
	if err != nil {
		t.Fatalf("read: %v", err)
	}
	if value.Version < m.newestVersion {
		t.Fatalf("read version %d after version %d", value.Version, m.newestVersion)
	}
	m.newestVersion = value.Version
	if text, ok := m.texts[value.Version]; ok && text != value.Text {
		t.Fatalf("version %d has the text %q, want %q", value.Version, value.Text, text)
	}
	m.texts[value.Version] = value.Text
	for id, version := range m.results {
		stored, ok := value.appliedVersion(id)
		if ok != (version > 0) || stored != version {
			t.Fatalf("change %s returned version %d, the register stores %d", id, version, stored)
		}
	}
}

// TestRegisterModel runs random sequences of the actions of a registerModel and checks the register after each.
func TestRegisterModel(t *testing.T) {
	synctest.Test(t, runRegisterModel)
}

func runRegisterModel(t *testing.T) {
	rapid.Check(seeder.WithoutDeadline(t), func(rt *rapid.T) {
		m := &registerModel{
			cluster: newCluster(t, "a", "b", "c"),
			results: make(map[string]uint64),
			random:  rand.New(rand.NewPCG(1, 1)),
			texts:   make(map[uint64]string),
		}
		m.replicas = m.bootstrap("a", "b", "c")
		m.newestVersion = 1
		rt.Repeat(map[string]func(*rapid.T){
			"":        m.check,
			"race":    m.race,
			"restart": m.restart,
			"swap":    m.replaceDisk,
		})
	})
}

package replicator

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"

	"github.com/marigoldrelay/marigoldrelay/internal/persister"
	"github.com/marigoldrelay/marigoldrelay/internal/seeder"
)

// TestConcurrentFormation lets every founder create the register at the same time. All must end up with the same
// deployment, so that the register is not created twice.
func TestConcurrentFormation(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	founders := c.replicas("a", "b", "c")
	var wg sync.WaitGroup
	deployments := make([]string, 3)
	for i := range deployments {
		wg.Go(func() {
			p := NewProposer(c.proposer("x", nil).clock, fmt.Sprintf("p%d", i), c)
			for {
				value, err := p.CreateEmpty(context.Background(), founders)
				if err == nil {
					deployments[i] = value.Deployment
					return
				}
			}
		})
	}
	wg.Wait()
	for _, deployment := range deployments {
		if deployment != deployments[0] {
			t.Errorf("the register was created more than once, as deployments %q", deployments)
		}
	}
}

// TestTwoOfFiveDisksLostAfterAcknowledgement extends a register to five replicas, applies a change, and wipes two
// disks right after its acknowledgement, with all replicas restarted. The change must survive for every pair.
func TestTwoOfFiveDisksLostAfterAcknowledgement(t *testing.T) {
	vms := []string{"a", "b", "c", "d", "e"}
	for i := range vms {
		for j := range i {
			c := newCluster(t, vms...)
			p := c.proposer("p", nil)
			created, err := p.CreateEmpty(context.Background(), c.replicas("a", "b", "c"))
			if err != nil {
				t.Fatal(err)
			}
			grown, err := p.Reconfigure(context.Background(), created.Revision, c.replicas(vms...))
			if err != nil || len(grown.Replicas) != 5 || len(grown.Previous) != 0 {
				t.Fatalf("extending to five replicas: %+v, %v", grown, err)
			}
			if _, _, err := p.Apply(context.Background(), &Change{ID: "c1", Text: "first", Version: 7}); err != nil {
				t.Fatal(err)
			}
			old := c.replicas(vms...)
			for _, vm := range vms {
				c.start(vm)
			}
			c.wipe(vms[i])
			c.wipe(vms[j])
			value, err := c.proposer("q", old).Read(context.Background())
			if err != nil || value.Text != "first" || value.Version != 7 {
				t.Errorf("after the loss of the disks of %s and %s: %+v, %v", vms[i], vms[j], value, err)
			}
		}
	}
}

// TestVersionsChosenByOperator checks that versions may rise in uneven steps, and that a version that is not above
// the last one is rejected.
func TestVersionsChosenByOperator(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	p := c.proposer("p", nil)
	if _, err := p.CreateEmpty(context.Background(), c.replicas("a", "b", "c")); err != nil {
		t.Fatal(err)
	}
	apply := func(base, version uint64, id string) error {
		_, made, err := p.Apply(context.Background(), &Change{Base: base, ID: id, Text: id, Version: version})
		if err == nil && made != version {
			t.Errorf("%s: created version %d, want %d", id, made, version)
		}
		return err
	}
	steps := []struct {
		base, version uint64
		id            string
		want          error
	}{
		{0, 4, "first", nil},
		{4, 9, "second", nil},
		{4, 11, "late", ErrConflict},
		{9, 9, "same", ErrVersion},
		{9, 3, "below", ErrVersion},
		{0, 4, "first", nil},
		{9, 40, "third", nil},
	}
	for _, step := range steps {
		if err := apply(step.base, step.version, step.id); !errors.Is(err, step.want) {
			t.Errorf("%s: got error %v, want %v", step.id, err, step.want)
		}
	}
}

// TestReplicaRecoversFromFullDisk guards against a replica that stays unavailable after its disk was full: it must
// vote again once its writes succeed.
func TestReplicaRecoversFromFullDisk(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	replicas := c.bootstrap("a", "b", "c")
	p := c.proposer("p", replicas)
	errFull := errors.New("no space left")
	c.setWriteHook(func(vm string, _ persister.Step, _ string) error {
		if vm == "a" {
			return errFull
		}
		return nil
	})
	if _, _, err := p.Apply(context.Background(), change("c1", 1, replicas)); err != nil {
		t.Fatal(err)
	}
	c.setWriteHook(func(string, persister.Step, string) error { return nil })
	c.setUnreachable("b", true)
	if _, version, err := p.Apply(context.Background(), change("c2", 2, replicas)); err != nil || version != 3 {
		t.Errorf("change after writes succeed again: version %d, %v", version, err)
	}
}

// TestReadWithoutRoundReturnsNewest guards against stale reads: changes are made through one proposer, each with one
// replica unreachable, and read through another that only knows the replicas.
func TestReadWithoutRoundReturnsNewest(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	replicas := c.bootstrap("a", "b", "c")
	writer, reader := c.proposer("w", replicas), c.proposer("r", replicas)
	for version := uint64(1); version < 20; version++ {
		cut := []string{"a", "b", "c"}[version%3]
		c.setUnreachable(cut, true)
		if _, _, err := writer.Apply(context.Background(), change(fmt.Sprint(version), version, replicas)); err != nil {
			t.Fatal(err)
		}
		c.setUnreachable(cut, false)
		value, err := reader.Read(context.Background())
		if err != nil || value.Version != version+1 {
			t.Fatalf("read version %+v, %v; want %d", value, err, version+1)
		}
	}
}

// reconfigurationModel runs a register whose set of replicas changes: up to two disks at a time are wiped, nodes are
// replaced by others and restarted, in between changes of the document.
type reconfigurationModel struct {
	*cluster
	// usedVMs holds all VMs that have ever been replicas, so that a new one gets an unused name.
	usedVMs       []string
	changeCount   int
	newestVersion uint64
	replicas      []Replica
	revision      uint64
	texts         map[uint64]string
}

func (m *reconfigurationModel) change(t *rapid.T) {
	m.changeCount++
	id := fmt.Sprintf("c%d", m.changeCount)
	version := m.newestVersion + uint64(rapid.IntRange(1, 5).Draw(t, "step"))
	value, made, err := m.proposer("p-"+id, m.replicas).Apply(context.Background(), &Change{Base: m.newestVersion, ID: id, Text: id, Version: version})
	if err != nil {
		t.Fatalf("change %s: %v", id, err)
	}
	m.newestVersion, m.revision = made, value.Revision
	m.texts[made] = id
}

// replaceDisks wipes up to two disks and replaces the old replicas with the new ones.
func (m *reconfigurationModel) replaceDisks(t *rapid.T) {
	for range rapid.IntRange(1, 2).Draw(t, "disks") {
		m.wipe(rapid.SampledFrom(m.members()).Draw(t, "vm"))
	}
	m.reconfigure(t, m.cluster.replicas(m.members()...))
}

// replaceMember stops one member permanently and replaces it with a new VM.
func (m *reconfigurationModel) replaceMember(t *rapid.T) {
	members := m.members()
	i := rapid.IntRange(0, len(members)-1).Draw(t, "out")
	m.stop(members[i])
	newVM := fmt.Sprintf("n%d", len(m.usedVMs))
	m.usedVMs = append(m.usedVMs, newVM)
	m.start(newVM)
	members[i] = newVM
	m.reconfigure(t, m.cluster.replicas(members...))
}

// reconfigure moves the register to the given replicas and checks that the old set is no longer needed.
func (m *reconfigurationModel) reconfigure(t *rapid.T, replicas []Replica) {
	m.changeCount++
	value, err := m.proposer(fmt.Sprintf("k%d", m.changeCount), m.replicas).Reconfigure(context.Background(), m.revision, replicas)
	if err != nil {
		t.Fatalf("changing the replicas: %v", err)
	}
	if !sameReplicas(value.Replicas, replicas) || len(value.Previous) > 0 {
		t.Fatalf("the replicas are %v and the previous set is still %v", value.Replicas, value.Previous)
	}
	m.replicas, m.revision = value.Replicas, value.Revision
}

func (m *reconfigurationModel) members() []string {
	members := make([]string, 0, len(m.replicas))
	for _, replica := range m.replicas {
		members = append(members, replica.VM)
	}
	return members
}

func (m *reconfigurationModel) restart(*rapid.T) {
	for _, vm := range m.members() {
		m.start(vm)
	}
}

func (m *reconfigurationModel) check(t *rapid.T) {
	value, err := m.proposer("reader", m.replicas).Read(context.Background())
	if err != nil {
		t.Fatalf("read: %v", err)
	}
	if value.Version != m.newestVersion || value.Text != m.texts[m.newestVersion] {
		t.Fatalf("read version %d %q, want %d %q", value.Version, value.Text, m.newestVersion, m.texts[m.newestVersion])
	}
}

// TestRegisterModelReconfiguration runs random sequences of the actions of a reconfigurationModel and checks the
// register after each.
func TestRegisterModelReconfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(seeder.WithoutDeadline(t), func(rt *rapid.T) {
			vms := []string{"a", "b", "c", "d", "e"}
			m := &reconfigurationModel{usedVMs: vms, cluster: newCluster(t, vms...), texts: map[uint64]string{0: ""}}
			created, err := m.proposer("former", nil).CreateEmpty(context.Background(), m.cluster.replicas("a", "b", "c"))
			if err != nil {
				rt.Fatal(err)
			}
			m.replicas, m.revision = created.Replicas, created.Revision
			m.reconfigure(rt, m.cluster.replicas(vms...))
			rt.Repeat(map[string]func(*rapid.T){
				"":        m.check,
				"change":  m.change,
				"replace": m.replaceMember,
				"restart": m.restart,
				"wipe":    m.replaceDisks,
			})
		})
	})
}

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

// TestFoundersRaceToForm has every founder form the register at the same moment.
func TestFoundersRaceToForm(t *testing.T) {
	d := newDisks(t, "a", "b", "c")
	founders := d.replicas("a", "b", "c")
	var forming sync.WaitGroup
	deployments := make([]string, 3)
	for i := range deployments {
		forming.Go(func() {
			p := NewProposer(d.proposer("x", nil).clock, fmt.Sprintf("p%d", i), d)
			for {
				value, err := p.Form(context.Background(), founders)
				if err == nil {
					deployments[i] = value.Deployment
					return
				}
			}
		})
	}
	forming.Wait()
	for _, deployment := range deployments {
		if deployment != deployments[0] {
			t.Errorf("the register was formed twice: %q", deployments)
		}
	}
}

// TestTwoOfFiveDisksLostAtTheAcknowledgement grows a formed register to five replicas, makes a change,
// and loses two disks right after its acknowledgement while all processes stop.
func TestTwoOfFiveDisksLostAtTheAcknowledgement(t *testing.T) {
	vms := []string{"a", "b", "c", "d", "e"}
	for i := range vms {
		for j := range i {
			d := newDisks(t, vms...)
			p := d.proposer("p", nil)
			formed, err := p.Form(context.Background(), d.replicas("a", "b", "c"))
			if err != nil {
				t.Fatal(err)
			}
			grown, err := p.Reconfigure(context.Background(), formed.Revision, d.replicas(vms...))
			if err != nil || len(grown.Replicas) != 5 || len(grown.Previous) != 0 {
				t.Fatalf("growing: %+v, %v", grown, err)
			}
			if _, _, err := p.Apply(context.Background(), &Change{ID: "c1", Text: "first", Version: 7}); err != nil {
				t.Fatal(err)
			}
			old := d.replicas(vms...)
			for _, vm := range vms {
				d.start(vm)
			}
			d.wipe(vms[i])
			d.wipe(vms[j])
			value, err := d.proposer("q", old).Read(context.Background())
			if err != nil || value.Text != "first" || value.Version != 7 {
				t.Errorf("without %s and %s: %+v, %v", vms[i], vms[j], value, err)
			}
		}
	}
}

// TestVersionsOfTheOperatorsChoosing makes versions in uneven steps, and one that is not above the last.
func TestVersionsOfTheOperatorsChoosing(t *testing.T) {
	d := newDisks(t, "a", "b", "c")
	p := d.proposer("p", nil)
	if _, err := p.Form(context.Background(), d.replicas("a", "b", "c")); err != nil {
		t.Fatal(err)
	}
	apply := func(base, version uint64, id string) error {
		_, made, err := p.Apply(context.Background(), &Change{Base: base, ID: id, Text: id, Version: version})
		if err == nil && made != version {
			t.Errorf("%s: made version %d, want %d", id, made, version)
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
			t.Errorf("%s: got %v, want %v", step.id, err, step.want)
		}
	}
}

// TestFullDiskAnswersAgainWhenThereIsRoom lets every write of one replica fail for a while.
func TestFullDiskAnswersAgainWhenThereIsRoom(t *testing.T) {
	d := newDisks(t, "a", "b", "c")
	replicas := d.bootstrap("a", "b", "c")
	p := d.proposer("p", replicas)
	errFull := errors.New("no space left")
	d.setStep(func(vm string, _ persister.Step, _ string) error {
		if vm == "a" {
			return errFull
		}
		return nil
	})
	if _, _, err := p.Apply(context.Background(), change("c1", 1, replicas)); err != nil {
		t.Fatal(err)
	}
	d.setStep(func(string, persister.Step, string) error { return nil })
	d.setCut("b", true)
	if _, version, err := p.Apply(context.Background(), change("c2", 2, replicas)); err != nil || version != 3 {
		t.Errorf("with room again: version %d, %v", version, err)
	}
}

// TestReadsThatNeedNoRoundAreNewest changes through one proposer and reads through another that knows
// the replicas only.
func TestReadsThatNeedNoRoundAreNewest(t *testing.T) {
	d := newDisks(t, "a", "b", "c")
	replicas := d.bootstrap("a", "b", "c")
	writer, reader := d.proposer("w", replicas), d.proposer("r", replicas)
	for version := uint64(1); version < 20; version++ {
		cut := []string{"a", "b", "c"}[version%3]
		d.setCut(cut, true)
		if _, _, err := writer.Apply(context.Background(), change(fmt.Sprint(version), version, replicas)); err != nil {
			t.Fatal(err)
		}
		d.setCut(cut, false)
		value, err := reader.Read(context.Background())
		if err != nil || value.Version != version+1 {
			t.Fatalf("read version %+v, %v; want %d", value, err, version+1)
		}
	}
}

// selfKeeping drives a register that keeps its own replicas: nodes are wiped, replaced by others and
// restarted, up to two at a time, while changes are made.
type selfKeeping struct {
	*disks
	all      []string
	changes  int
	newest   uint64
	replicas []Replica
	revision uint64
	texts    map[uint64]string
}

func (s *selfKeeping) change(t *rapid.T) {
	s.changes++
	id := fmt.Sprintf("c%d", s.changes)
	version := s.newest + uint64(rapid.IntRange(1, 5).Draw(t, "step"))
	value, made, err := s.proposer("p-"+id, s.replicas).Apply(context.Background(), &Change{Base: s.newest, ID: id, Text: id, Version: version})
	if err != nil {
		t.Fatalf("change %s: %v", id, err)
	}
	s.newest, s.revision = made, value.Revision
	s.texts[made] = id
}

// wipe loses up to two disks and has the register take the new ones in.
func (s *selfKeeping) wipeSome(t *rapid.T) {
	for range rapid.IntRange(1, 2).Draw(t, "disks") {
		s.wipe(rapid.SampledFrom(s.members()).Draw(t, "vm"))
	}
	s.keep(t, s.disks.replicas(s.members()...))
}

// replace takes one member out for good and another VM in.
func (s *selfKeeping) replace(t *rapid.T) {
	members := s.members()
	i := rapid.IntRange(0, len(members)-1).Draw(t, "out")
	s.stop(members[i])
	fresh := fmt.Sprintf("n%d", len(s.all))
	s.all = append(s.all, fresh)
	s.start(fresh)
	members[i] = fresh
	s.keep(t, s.disks.replicas(members...))
}

func (s *selfKeeping) keep(t *rapid.T, replicas []Replica) {
	s.changes++
	value, err := s.proposer(fmt.Sprintf("k%d", s.changes), s.replicas).Reconfigure(context.Background(), s.revision, replicas)
	if err != nil {
		t.Fatalf("keeping the replicas: %v", err)
	}
	if !sameReplicas(value.Replicas, replicas) || len(value.Previous) > 0 {
		t.Fatalf("the replicas are %v after %v", value.Replicas, value.Previous)
	}
	s.replicas, s.revision = value.Replicas, value.Revision
}

func (s *selfKeeping) members() []string {
	members := make([]string, 0, len(s.replicas))
	for _, replica := range s.replicas {
		members = append(members, replica.VM)
	}
	return members
}

func (s *selfKeeping) restart(*rapid.T) {
	for _, vm := range s.members() {
		s.start(vm)
	}
}

func (s *selfKeeping) check(t *rapid.T) {
	value, err := s.proposer("reader", s.replicas).Read(context.Background())
	if err != nil {
		t.Fatalf("reading: %v", err)
	}
	if value.Version != s.newest || value.Text != s.texts[s.newest] {
		t.Fatalf("version %d reads %q, want %d %q", value.Version, value.Text, s.newest, s.texts[s.newest])
	}
}

func TestRegisterModelSelfKeeping(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(seeder.InBubble(t), func(rt *rapid.T) {
			vms := []string{"a", "b", "c", "d", "e"}
			s := &selfKeeping{all: vms, disks: newDisks(t, vms...), texts: map[uint64]string{0: ""}}
			formed, err := s.proposer("former", nil).Form(context.Background(), s.disks.replicas("a", "b", "c"))
			if err != nil {
				rt.Fatal(err)
			}
			s.replicas, s.revision = formed.Replicas, formed.Revision
			s.keep(rt, s.disks.replicas(vms...))
			rt.Repeat(map[string]func(*rapid.T){
				"":        s.check,
				"change":  s.change,
				"replace": s.replace,
				"restart": s.restart,
				"wipe":    s.wipeSome,
			})
		})
	})
}

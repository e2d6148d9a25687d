package replicator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
)

var testDataCentres = []string{"x", "y", "z"}

// order returns an order about one of the data centres of the tests.
func order(dataCentre string, withdrawn bool) *Evacuation {
	return &Evacuation{DataCentre: dataCentre, Known: testDataCentres, Withdrawn: withdrawn}
}

// TestOrderEndsEarlierOne guards against an order that is acknowledged since it changes nothing, and is undone by an earlier one whose
// outcome was unknown: one replica had accepted that.
func TestOrderEndsEarlierOne(t *testing.T) {
	c := newCluster(t, "a", "b", "c", "d", "e")
	replicas := c.bootstrap("a", "b", "c", "d", "e")
	broken := NewProposer(timekeeper.System{}, "broken", limitedAccepts{Transport: c, reached: []string{"e"}})
	broken.SetConfirmedReplicas(replicas)
	if _, err := broken.Evacuate(t.Context(), order("x", false)); err == nil {
		t.Fatal("an order that one replica of five has accepted was acknowledged")
	}
	c.setUnreachable("e", true)
	if _, err := c.proposer("p", replicas).Evacuate(t.Context(), order("x", true)); err != nil {
		t.Fatal(err)
	}
	c.setUnreachable("e", false)
	c.setUnreachable("a", true)
	c.setUnreachable("b", true)
	value, err := c.proposer("q", replicas).Repair(t.Context())
	if err != nil || len(value.Evacuated) > 0 {
		t.Errorf("after the order was acknowledged: %+v, error %v, want nothing evacuated", value, err)
	}
}

// TestOrdersAreCarriedOut covers which orders change what, and which are refused.
func TestOrdersAreCarriedOut(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	replicas := c.bootstrap("a", "b", "c")
	p := c.proposer("p", replicas)
	first, _, err := p.Apply(t.Context(), change("c1", 1, replicas))
	if err != nil {
		t.Fatal(err)
	}
	for i, step := range []struct {
		dataCentre string
		withdrawn  bool
		want       []string
		revisions  uint64
		err        error
	}{
		{dataCentre: "y", want: []string{"y"}, revisions: 1},
		{dataCentre: "y", want: []string{"y"}, revisions: 1},
		{dataCentre: "nowhere", want: []string{"y"}, revisions: 1, err: ErrUnknownDataCentre},
		{dataCentre: "nowhere", withdrawn: true, want: []string{"y"}, revisions: 1, err: ErrUnknownDataCentre},
		{dataCentre: "x", want: []string{"x", "y"}, revisions: 2},
		{dataCentre: "z", want: []string{"x", "y"}, revisions: 2, err: ErrLastDataCentre},
		{dataCentre: "x", want: []string{"x", "y"}, revisions: 2},
		{dataCentre: "z", withdrawn: true, want: []string{"x", "y"}, revisions: 2},
		{dataCentre: "y", withdrawn: true, want: []string{"x"}, revisions: 3},
		{dataCentre: "y", withdrawn: true, want: []string{"x"}, revisions: 3},
		{dataCentre: "x", withdrawn: true, want: []string{}, revisions: 4},
	} {
		result, err := p.Evacuate(t.Context(), order(step.dataCentre, step.withdrawn))
		if !errors.Is(err, step.err) {
			t.Errorf("step %d: error %v, want %v", i, err, step.err)
		}
		if err == nil && result.Changed && len(result.Acknowledged) < 2 {
			t.Errorf("step %d: acknowledged by %v alone", i, result.Acknowledged)
		}
		value, err := p.Read(t.Context())
		if err != nil || !slices.Equal(value.Evacuated, step.want) || value.Revision != first.Revision+step.revisions {
			t.Errorf("step %d: read %+v, error %v", i, value, err)
		}
		if value.Version != first.Version || value.Text != first.Text || len(value.History) != len(first.History) || len(value.Results) != len(first.Results) {
			t.Errorf("step %d: the order has changed the document: %+v", i, value)
		}
	}
}

// TestChangeKeepsEvacuations guards against a change of the document or of the replicas that ends an evacuation, and a loss of
// two of five disks, and of all power, that does.
func TestChangeKeepsEvacuations(t *testing.T) {
	c := newCluster(t, "a", "b", "c", "d", "e")
	replicas := c.bootstrap("a", "b", "c", "d", "e")
	if _, err := c.proposer("p", replicas).Evacuate(t.Context(), order("y", false)); err != nil {
		t.Fatal(err)
	}
	if _, _, err := c.proposer("q", replicas).Apply(t.Context(), change("c1", 1, nil)); err != nil {
		t.Fatal(err)
	}
	c.wipe("d")
	c.wipe("e")
	next := c.replicas("a", "b", "c", "d", "e")
	if _, err := c.proposer("r", replicas).Reconfigure(t.Context(), 3, next); err != nil {
		t.Fatal(err)
	}
	c.wipe("a")
	c.wipe("b")
	for _, vm := range []string{"c", "d", "e"} {
		c.start(vm)
	}
	value, err := c.proposer("s", next).Read(t.Context())
	if err != nil || !slices.Equal(value.Evacuated, []string{"y"}) || value.Version != 2 {
		t.Errorf("read %+v, error %v", value, err)
	}
}

// TestEarlierValueIsNotEvacuated guards against a value that an earlier version has stored and that can't be read any more.
func TestEarlierValueIsNotEvacuated(t *testing.T) {
	var value Value
	encoded, err := json.Marshal(&Value{Deployment: "d", Replicas: []Replica{{VM: "a", DiskID: "1"}}, Revision: 4, Text: "t", Version: 3})
	if err == nil {
		err = json.Unmarshal(encoded, &value)
	}
	if err != nil || value.Evacuated != nil || value.Text != "t" {
		t.Errorf("decoded %+v, error %v", value, err)
	}
	if strings.Contains(string(encoded), "evacuated") {
		t.Errorf("a value without evacuations is written with them: %s", encoded)
	}
}

// TestOrdersAndChangesAtOnce guards against rounds of several nodes that keep each other from ending: orders at three nodes and
// changes at a fourth must each be acknowledged within the time that operators wait for an order.
func TestOrdersAndChangesAtOnce(t *testing.T) {
	const limit = 3500 * time.Millisecond
	for seed := range 20 {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t)
			vms := []string{"a", "b", "c", "d", "e"}
			for _, vm := range vms {
				c.simulateDisk(vm)
			}
			replicas := c.bootstrap(vms...)
			newProposer := func(name string) *Proposer {
				p := NewProposer(c.proposer("x", nil).clock, name, slowTransport{Transport: c, maxDelay: 10 * time.Millisecond})
				p.SetConfirmedReplicas(replicas)
				return p
			}
			var calls sync.WaitGroup
			run := func(call func(ctx context.Context) error) {
				calls.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), limit)
					defer cancel()
					started := time.Now()
					if err := call(ctx); err != nil {
						t.Errorf("seed %d: %v after %s", seed, err, time.Since(started))
					}
				})
			}
			for i, dataCentre := range []string{"x", "x", "y"} {
				p := newProposer(fmt.Sprint("p", i))
				run(func(ctx context.Context) error {
					_, err := p.Evacuate(ctx, order(dataCentre, false))
					return err
				})
			}
			changer := newProposer("q")
			run(func(ctx context.Context) error {
				_, _, err := changer.Apply(ctx, change("c1", 1, nil))
				return err
			})
			calls.Wait()
			value, err := newProposer("r").Read(t.Context())
			if err != nil || !slices.Equal(value.Evacuated, []string{"x", "y"}) || value.Version != 2 {
				t.Errorf("seed %d: read %+v, error %v", seed, value, err)
			}
			time.Sleep(2 * roundTimeout)
		})
	}
}

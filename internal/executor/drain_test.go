package executor

import (
	"encoding/json"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/refuser"
	"github.com/marigoldrelay/marigoldrelay/internal/validator"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

// drainScenario lets the nodes of a service, or the upstreams beside them, leave one after the other while a request
// waits for a slot.
type drainScenario struct {
	Name string `json:"name"`
	// Busy is how long the request that holds the only slot of each node runs.
	Busy []validator.Duration `json:"busy"`
	Ends []struct {
		At   validator.Duration `json:"at"`
		Node int                `json:"node"`
		// Drains is true if the node drains, and false if its upstream does.
		Drains bool `json:"drains"`
	} `json:"ends"`
	// Refused is when the request must be refused, because no node is left that can run it.
	Refused validator.Duration `json:"refused"`
}

// TestNoWaitWithoutSlots guards against a request that waits for its deadline at a node that has no slots any more,
// because it drains or its upstream leaves.
func TestNoWaitWithoutSlots(t *testing.T) {
	text, err := os.ReadFile("testdata/drains.json")
	if err != nil {
		t.Fatal(err)
	}
	var scenarios []drainScenario
	if err := json.Unmarshal(text, &scenarios); err != nil {
		t.Fatal(err)
	}
	for _, s := range scenarios {
		t.Run(s.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { s.run(t) })
		})
	}
}

// run sends the request to the first node, after the slots of all nodes are taken.
func (s *drainScenario) run(t *testing.T) {
	const lifetime = 10 * time.Second
	g := newGroup(t, len(s.Busy), true, 1, 1e9, testDocument(time.Minute))
	g.demand = func(id string) time.Duration {
		var node int
		if _, err := fmt.Sscanf(id, "busy-%d", &node); err != nil {
			return 0
		}
		return s.Busy[node].Std()
	}
	started := time.Now()
	for i, m := range g.members {
		m.HandleAnnouncement(oneSlot(m, announcer.StateReady))
		go m.call(fmt.Sprintf("busy-%d", i), "", "", started.Add(lifetime))
	}
	go func() {
		for time.Since(started) < lifetime {
			time.Sleep(SweepInterval)
			g.members[0].Sweep()
		}
	}()
	synctest.Wait()
	for _, end := range s.Ends {
		m := g.members[end.Node]
		time.AfterFunc(end.At.Std(), func() {
			if end.Drains {
				m.Drain()
				return
			}
			m.HandleAnnouncement(oneSlot(m, announcer.StateDraining))
		})
	}
	time.Sleep(100 * time.Millisecond)
	outcome := g.members[0].call("waiting", "", "", started.Add(lifetime))
	if !outcome.IsRefusedAs(refuser.ReasonDraining) {
		t.Errorf("the outcome is %+v, want a refusal because the node leaves", outcome.Refusal)
	}
	const delivery = 10 * time.Millisecond
	if waited := time.Since(started); waited > s.Refused.Std()+delivery {
		t.Errorf("the request was refused after %s, want %s", waited, s.Refused.Std())
	}
	if ran := g.runs["waiting"]; ran != 0 {
		t.Errorf("the refused request ran %d times", ran)
	}
	time.Sleep(lifetime)
}

// oneSlot is the announcement of the member's upstream, with one slot.
func oneSlot(m *member, state announcer.State) announcer.Announcement {
	return announcer.Announcement{Address: "127.0.0.1:1", Instance: m.name, Service: testService, Slots: 1, State: state}
}

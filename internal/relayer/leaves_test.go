package relayer_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/carrier"
	"github.com/marigoldrelay/marigoldrelay/internal/leavekeeper"
	"github.com/marigoldrelay/marigoldrelay/internal/relayer"
	"github.com/marigoldrelay/marigoldrelay/pkg/announcer"
)

const (
	// leavingNode is the number of the node whose upstream leaves. It has no disk.
	leavingNode = 6
	// touchTime is how long after a loss of all nodes they have to have learnt what was acknowledged: twice the settle time.
	touchTime = 2 * settleTime
	// downTime is how long nodes that are killed are down.
	downTime = 900 * time.Millisecond
	// lateness is how late a heartbeat arrives.
	lateness = 3 * time.Second
	// servesOn is how long an upstream goes on after its leave.
	servesOn = 15 * time.Second
)

// leaveForm is the way in which an upstream says that it leaves.
type leaveForm string

const (
	formDraining            leaveForm = "draining"
	formWithdraw            leaveForm = "withdraw"
	formWithdrawWithoutBorn leaveForm = "withdraw-without-born"
)

// leaveScenario is a test of what becomes of an acknowledged leave, in a data file.
type leaveScenario struct {
	// About tells what happens.
	About string `json:"about"`
	Seed  uint64 `json:"seed"`
	// Members is the number of nodes, of which Disks, or spreadReplicas if it is zero, have a disk.
	Members int `json:"members"`
	Disks   int `json:"disks"`
	// LossPercent is the part of the datagrams that is lost.
	LossPercent int       `json:"loss-percent"`
	Form        leaveForm `json:"form"`
	// Unannounced is true if the node knows the upstream by its health check alone when it leaves.
	Unannounced bool `json:"unannounced"`
	// Replaced are the numbers of nodes that lose their power and disks, for good, before everything is killed.
	Replaced []int `json:"replaced"`
	// Kills is how often all nodes are killed. LostDisks are the numbers of the nodes that lose their disks at the first kill, and
	// Down of those that don't come back.
	Kills     int   `json:"kills"`
	LostDisks []int `json:"lost-disks"`
	Down      []int `json:"down"`
}

// TestAcknowledgedLeaveOutlivesNodes guards against an upstream that has left and gets requests again, after all processes that were
// told were killed: by a heartbeat that arrives late, or by a health check that it still answers with 200 (review/8).
func TestAcknowledgedLeaveOutlivesNodes(t *testing.T) {
	playScenarios(t, "testdata/leaves/*.json", playLeave)
}

// leavingUpstream is the upstream that leaves in a scenario.
type leavingUpstream struct {
	*spreadFleet
	announcement announcer.Announcement
}

// playLeave plays a scenario.
func playLeave(t *testing.T, scenario *leaveScenario) {
	f := newSpreadFleet(t, &spreadScenario{
		Seed: scenario.Seed, Members: scenario.Members, Disks: scenario.Disks, LossPercent: scenario.LossPercent,
	}, false)
	defer f.close()
	time.Sleep(spreadFormTime)
	f.change(0)
	u := &leavingUpstream{spreadFleet: f, announcement: announcer.Announcement{
		Address: "127.0.0.1:80", Born: time.Now().UnixMilli(), Instance: "i-1", Sequence: 1, Service: "entries", Slots: 4,
		State: announcer.StateReady,
	}}
	late := u.announcement
	if !scenario.Unannounced {
		u.announce(announcer.StateReady)
	}
	u.answerHealthCheck()
	u.expect(true, "before the leave")
	u.leave(scenario.Form)
	left := time.Now()
	if len(scenario.Replaced) > 0 {
		f.cutPower(scenario.Replaced)
		time.Sleep(2 * recoveryBound)
		left = time.Now()
	}
	for kill := range scenario.Kills {
		f.killAll(scenario, kill == 0)
	}
	restarted := time.Now()
	hasArrived := false
	for time.Since(left) < servesOn {
		u.answerHealthCheck()
		if time.Since(left) > lateness && !hasArrived {
			hasArrived = true
			// How a late heartbeat is answered is of no interest.
			_ = u.node(leavingNode).Announce(t.Context(), late)
		}
		if time.Since(restarted) > touchTime {
			u.expect(false, "after the leave")
		}
		time.Sleep(checkInterval)
	}
	u.startAgain()
}

// killAll kills all nodes and starts them again, except those that stay down.
func (f *spreadFleet) killAll(scenario *leaveScenario, isFirst bool) {
	f.abortAll()
	time.Sleep(downTime)
	if isFirst {
		for _, number := range scenario.LostDisks {
			f.folders[number] = f.t.TempDir()
		}
	}
	down := make(map[int]bool)
	for _, number := range append(scenario.Down, scenario.Replaced...) {
		down[number] = true
	}
	for i := range f.nodes {
		if !down[i] {
			f.start(i, false)
		}
	}
}

// leave says that the upstream leaves, and checks that this is acknowledged in time.
func (u *leavingUpstream) leave(form leaveForm) {
	u.t.Helper()
	ctx, cancel := context.WithTimeout(u.t.Context(), changeLimit)
	defer cancel()
	process := u.announcement.Process()
	var err error
	switch form {
	case formDraining:
		u.announcement.Sequence++
		u.announcement.State = announcer.StateDraining
		err = u.node(leavingNode).Announce(ctx, u.announcement)
	case formWithdrawWithoutBorn:
		process.Born = 0
		err = u.node(leavingNode).Withdraw(ctx, process)
	case formWithdraw:
		err = u.node(leavingNode).Withdraw(ctx, process)
	default:
		u.t.Fatalf("no form %q", form)
	}
	if err != nil {
		u.t.Fatalf("the leave is not acknowledged: %v", err)
	}
}

// announce announces the upstream.
func (u *leavingUpstream) announce(state announcer.State) {
	u.t.Helper()
	u.announcement.Sequence++
	u.announcement.State = state
	if err := u.node(leavingNode).Announce(u.t.Context(), u.announcement); err != nil {
		u.t.Errorf("%s is refused: %v", state, err)
	}
}

// answerHealthCheck answers a health check of the node with 200, if the node doesn't know the upstream as ready.
func (u *leavingUpstream) answerHealthCheck() {
	if u.isReady() {
		return
	}
	found := u.announcement
	found.Born, found.Sequence, found.State = 0, 0, announcer.StateReady
	u.node(leavingNode).FindUpstream(found)
}

// isReady reports whether the node says that its upstream can be sent requests.
func (u *leavingUpstream) isReady() bool {
	return isReady(u.node(leavingNode))
}

func isReady(node *relayer.Node) bool {
	m, _ := node.Member("vm-006")
	return m.Upstream == announcer.StateReady
}

// expect checks whether the upstream can be sent requests.
func (u *leavingUpstream) expect(want bool, when string) {
	u.t.Helper()
	if got := u.isReady(); got != want {
		u.t.Fatalf("%s: ready is %v, want %v", when, got, want)
	}
}

// startAgain starts the upstream again under its id, and checks that the new process is used.
func (u *leavingUpstream) startAgain() {
	u.t.Helper()
	u.announcement.Born, u.announcement.Sequence = time.Now().UnixMilli(), 0
	u.announce(announcer.StateReady)
	u.expect(true, "after a new start under the same id")
}

// TestLeaveIsNotAcknowledgedWithoutReplicas guards against an acknowledgement of a leave that only processes without a disk know, as
// the node can't reach the replicas. The upstream gets no requests all the same, and the leave is stored later.
func TestLeaveIsNotAcknowledgedWithoutReplicas(t *testing.T) {
	carrier.EncodeResponse(&fasthttp.Response{})
	synctest.Test(t, func(t *testing.T) {
		f := newSpreadFleet(t, &spreadScenario{Seed: 3, Members: 9}, false)
		defer f.close()
		time.Sleep(spreadFormTime)
		f.change(0)
		u := &leavingUpstream{spreadFleet: f, announcement: announcer.Announcement{
			Address: "127.0.0.1:80", Born: time.Now().UnixMilli(), Instance: "i-1", Service: "entries", Slots: 4,
		}}
		u.announce(announcer.StateReady)
		f.cut([]int{leavingNode})
		withdraw := func() error {
			ctx, cancel := context.WithTimeout(t.Context(), changeLimit)
			defer cancel()
			return f.node(leavingNode).Withdraw(ctx, u.announcement.Process())
		}
		if err := withdraw(); !errors.Is(err, leavekeeper.ErrNotStored) {
			t.Errorf("cut off from the replicas: %v", err)
		}
		u.expect(false, "cut off, after the leave")
		f.heal([]int{leavingNode})
		if err := withdraw(); err != nil {
			t.Errorf("after the cut: %v", err)
		}
	})
}

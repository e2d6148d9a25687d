package relayer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/marigoldrelay/marigoldrelay/internal/validator"
)

// TestAcknowledgedChangesSpreadInTime guards against a change that is acknowledged and not in force at a node in touch
// within config_apply_s: because a kept connection is silent, a member that told of it is cut off, or whoever acknowledged
// it ends before anybody else was told.
func TestAcknowledgedChangesSpreadInTime(t *testing.T) {
	playSpreadScenarios(t, "testdata/spread/*.json", false)
}

// TestRelayedChangesSpreadInTime is TestAcknowledgedChangesSpreadInTime with values that go through one member of each other data
// centre, which is gone, cut off or silent in some scenarios.
func TestRelayedChangesSpreadInTime(t *testing.T) {
	playSpreadScenarios(t, "testdata/spread/*.json", true)
}

// TestLargeDocumentsSpreadInTime guards against changes of a document of thousands of routes that are not in force in time because
// the links of the nodes are too thin for what is sent.
func TestLargeDocumentsSpreadInTime(t *testing.T) {
	for _, relayed := range []bool{false, true} {
		t.Run(fmt.Sprintf("relayed=%t", relayed), func(t *testing.T) {
			playSpreadScenarios(t, "testdata/spread/large-documents/*.json", relayed)
		})
	}
}

// TestSpreadingToManyMembers is TestAcknowledgedChangesSpreadInTime in deployments of hundreds of nodes.
func TestSpreadingToManyMembers(t *testing.T) {
	playSpreadScenarios(t, "testdata/spread/many/*.json", false)
}

// playSpreadScenarios plays the scenarios in the data files that match the pattern, in virtual time.
func playSpreadScenarios(t *testing.T, pattern string, relayed bool) {
	playScenarios(t, pattern, func(t *testing.T, scenario *spreadScenario) { playSpread(t, scenario, relayed) })
}

// playSpread plays a scenario.
func playSpread(t *testing.T, scenario *spreadScenario, relayed bool) {
	f := newSpreadFleet(t, scenario, relayed)
	defer f.close()
	time.Sleep(spreadFormTime)
	f.change(0)
	time.Sleep(2 * applyBound)
	started := time.Now()
	for _, step := range scenario.Steps {
		time.Sleep(time.Until(started.Add(step.At.Std())))
		f.take(&step)
	}
}

// spreadScenario is a test of how changes reach the nodes, in a data file.
type spreadScenario struct {
	// About tells what happens.
	About string `json:"about"`
	Seed  uint64 `json:"seed"`
	// Members is the number of nodes.
	Members int `json:"members"`
	// Disks is the number of nodes with a disk; zero for spreadReplicas.
	Disks int `json:"disks"`
	// Routes is the number of routes that are added to the document.
	Routes int `json:"routes"`
	// LossPercent is the part of the datagrams that is lost.
	LossPercent int `json:"loss-percent"`
	// LinkMbps is the width of the links of the nodes without a disk, in megabits per second; zero for no limit.
	LinkMbps float64 `json:"link-mbps"`
	// Earlier are the numbers of the nodes of an earlier version, which doesn't know differences in rounds.
	Earlier []int `json:"earlier"`
	// Late are the numbers of the nodes that are not started with the others.
	Late  []int        `json:"late"`
	Steps []spreadStep `json:"steps"`
}

// spreadStep is an event of a scenario.
type spreadStep struct {
	At validator.Duration `json:"at"`
	// Do is one of the actions below.
	Do spreadAction `json:"do"`
	// Nodes are the numbers of the nodes that it concerns; those with a disk come first.
	Nodes []int `json:"nodes"`
	// Count is the number of changes of a storm, and Gap the time between them.
	Count int                `json:"count"`
	Gap   validator.Duration `json:"gap"`
	// Evacuate and Withdraw, if not empty, make the step send orders about this data centre instead of changes.
	Evacuate string `json:"evacuate"`
	Withdraw string `json:"withdraw"`
}

// spreadAction is what happens in a step.
type spreadAction string

const (
	// actionChange sends changes to the first of the nodes, or to each in turn.
	actionChange spreadAction = "change"
	// actionSilence makes the kept connections between the nodes and all others silent, or all connections.
	actionSilence spreadAction = "silence"
	// actionCut cuts the nodes off from all others, and actionHeal ends that. They count as in touch again a settle time after.
	actionCut  spreadAction = "cut"
	actionHeal spreadAction = "heal"
	// actionRefuse makes the nodes reach nobody but each other and the other nodes with a disk: new connections are refused. All
	// still count as in touch.
	actionRefuse spreadAction = "refuse"
	// actionChangeAndCutPower sends a change to the first of the nodes; all of them lose power as it is acknowledged.
	actionChangeAndCutPower spreadAction = "change-and-cut-power"
	// actionChangeAndCut is the same with a cut of the nodes from all others.
	actionChangeAndCut spreadAction = "change-and-cut"
	// actionInterruptedChange sends a change to the first of the nodes, which all lose power after the gap, and sends it
	// again to other nodes with a disk until it is acknowledged.
	actionInterruptedChange spreadAction = "interrupted-change"
	// actionStart starts nodes that were late.
	actionStart spreadAction = "start"
	// actionChangeAndLoseDisks sends a change to node 0; all nodes lose power as it is acknowledged, and the nodes their disks.
	actionChangeAndLoseDisks spreadAction = "change-and-lose-disks"
)

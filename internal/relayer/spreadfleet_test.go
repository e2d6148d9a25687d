package relayer_test

import (
	"cmp"
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/marigoldrelay/marigoldrelay/internal/relayer"
	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
	"github.com/marigoldrelay/marigoldrelay/internal/settingsreader"
	"github.com/marigoldrelay/marigoldrelay/internal/signer"
	"github.com/marigoldrelay/marigoldrelay/internal/validator"
)

const (
	// applyBound is the time after an acknowledgement within which a version must be in force at every node that is in touch.
	applyBound = 2 * time.Second
	// spreadReplicas is the number of nodes with a disk.
	spreadReplicas = 5
	// spreadFormTime is how long the nodes have to find each other and to form the register.
	spreadFormTime = 12 * time.Second
	// recoveryBound is how long the nodes may take to recover from a loss of power of all.
	recoveryBound = 15 * time.Second
	// settleTime is how long a node has to be undisturbed to count as in touch.
	settleTime = 3 * time.Second
	// checkInterval is the time between two looks at the nodes.
	checkInterval = 20 * time.Millisecond
	// furtherPath begins the paths of the routes that are added to a document.
	furtherPath = "/further/"
	// bytesPerMegabit is the number of bytes in a megabit.
	bytesPerMegabit = 1e6 / 8
	// changeLimit is how long an operator waits for the answer to a change.
	changeLimit = 900 * time.Millisecond
)

// spreadFleet is a deployment in virtual time whose operator makes changes.
type spreadFleet struct {
	t        *testing.T
	scenario *spreadScenario
	// relayed is true if values go through relays to other data centres.
	relayed bool
	started time.Time
	network *memoryNetwork
	nodesMu sync.Mutex
	// nodes holds the node on each VM, or nil before its start.
	nodes   []*relayer.Node
	folders []string
	vms     []netip.Addr
	// outOfTouch holds the numbers of the nodes that were cut off or have lost power.
	outOfTouch map[int]bool
	text       string
	version    uint64
	parser     sharedParser
	// order is sent instead of changes if it is not nil, and evacuated are the data centres after the acknowledged ones.
	order     *replicator.Evacuation
	evacuated []string
}

// newSpreadFleet starts the nodes of a scenario, except the late ones.
func newSpreadFleet(t *testing.T, scenario *spreadScenario, relayed bool) *spreadFleet {
	t.Helper()
	f := &spreadFleet{
		t: t, scenario: scenario, relayed: relayed, started: time.Now(), network: newMemoryNetwork(scenario.Seed), outOfTouch: make(map[int]bool),
	}
	f.network.lossPercent = scenario.LossPercent
	f.text = documentWithRoutes(t, scenario.Routes)
	for i := range scenario.Members {
		f.vms = append(f.vms, netip.AddrFrom4([4]byte{127, 42, byte(i / 250), byte(1 + i%250)}))
		if scenario.LinkMbps > 0 && i >= cmp.Or(scenario.Disks, spreadReplicas) {
			f.network.setLine(f.vms[i], scenario.LinkMbps*bytesPerMegabit)
		}
	}
	f.nodes, f.folders = make([]*relayer.Node, scenario.Members), make([]string, scenario.Members)
	for i := range f.vms {
		f.outOfTouch[i] = slices.Contains(scenario.Late, i)
		if !f.outOfTouch[i] {
			f.start(i, true)
		}
	}
	return f
}

// close ends all nodes, and waits until the calls that are under way have ended at their timeouts.
func (f *spreadFleet) close() {
	f.abortAll()
	time.Sleep(time.Minute)
}

// node returns the node with the number.
func (f *spreadFleet) node(number int) *relayer.Node {
	f.nodesMu.Lock()
	defer f.nodesMu.Unlock()
	return f.nodes[number]
}

// abortAll ends all nodes at once.
func (f *spreadFleet) abortAll() {
	for _, node := range f.nodes {
		if node != nil {
			node.Abort()
		}
	}
}

// start starts the node with the number. Bootstrap is true at the first start of the deployment.
func (f *spreadFleet) start(number int, bootstrap bool) {
	f.t.Helper()
	peerSigner, err := signer.New([]byte("a key for the tests only"))
	if err != nil {
		f.t.Fatal(err)
	}
	settings := &settingsreader.Settings{
		ControlAddress: netip.AddrPortFrom(f.vms[number], 7660), PeerAddress: netip.AddrPortFrom(f.vms[number], 7661),
		DataCentre: fmt.Sprintf("dc-%d", number%3), Region: "here", LogLinesPerSecond: 1, Name: fmt.Sprintf("vm-%03d", number),
		MaxBodyBytes: settingsreader.DefaultMaxBodyBytes, MaxHeaderBytes: settingsreader.DefaultMaxHeaderBytes,
		Bootstrap: bootstrap, SelfForming: true, ToleratedLosses: spreadReplicas / 2, UpstreamLease: validator.Duration(time.Second),
	}
	if f.relayed {
		settings.CrossDataCentreCost = validator.Duration(40 * time.Millisecond)
	}
	if number < cmp.Or(f.scenario.Disks, spreadReplicas) {
		if f.folders[number] == "" {
			f.folders[number] = f.t.TempDir()
		}
		settings.DataFolder = f.folders[number]
	}
	for _, vm := range f.vms[:3] {
		settings.Seeds = append(settings.Seeds, netip.AddrPortFrom(vm, 7660))
	}
	secrets := &settingsreader.Secrets{AdminToken: []byte("a token for the tests"), PeerSigner: peerSigner}
	node, err := relayer.New(settings, secrets, log.NewNopLogger(), relayer.WithNetwork(f.network.at(f.vms[number])),
		relayer.WithParser(f.parser.parse),
		relayer.WithUptime(func() time.Duration { return time.Since(f.started) }))
	if err != nil {
		f.t.Fatal(err)
	}
	if slices.Contains(f.scenario.Earlier, number) {
		node.ForgetDifferences()
	}
	if err := node.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.nodesMu.Lock()
	defer f.nodesMu.Unlock()
	f.nodes[number] = node
}

// take carries out a step.
func (f *spreadFleet) take(step *spreadStep) {
	f.order = nil
	if dataCentre := cmp.Or(step.Evacuate, step.Withdraw); dataCentre != "" {
		f.order = &replicator.Evacuation{DataCentre: dataCentre, Withdrawn: step.Evacuate == ""}
	}
	switch step.Do {
	case actionChange:
		f.storm(step)
	case actionSilence:
		if f.network.silence(f.group(step.Nodes)) == 0 {
			f.t.Error("no connection was open")
		}
	case actionCut:
		f.cut(step.Nodes)
	case actionRefuse:
		f.refuse(step.Nodes)
	case actionHeal:
		f.heal(step.Nodes)
	case actionChangeAndCut:
		f.sendChange(step.Nodes[0])
		f.cut(step.Nodes)
		f.checkSpread()
	case actionChangeAndCutPower:
		f.sendChange(step.Nodes[0])
		f.cutPower(step.Nodes)
		f.checkSpread()
	case actionInterruptedChange:
		f.interruptChange(step)
	case actionStart:
		for _, number := range step.Nodes {
			f.start(number, true)
			delete(f.outOfTouch, number)
		}
	case actionChangeAndLoseDisks:
		f.loseDisks(step.Nodes)
	default:
		f.t.Fatalf("no action %q", step.Do)
	}
}

// cutPower ends the nodes, without a word to the others.
func (f *spreadFleet) cutPower(numbers []int) {
	for _, number := range numbers {
		f.outOfTouch[number] = true
		f.network.cutPower(f.vms[number])
	}
}

// loseDisks carries out actionChangeAndLoseDisks, and checks that the change is read and in force when the nodes have had the time
// to recover.
func (f *spreadFleet) loseDisks(numbers []int) {
	f.sendChange(0)
	f.abortAll()
	for _, number := range numbers {
		f.folders[number] = f.t.TempDir()
	}
	for i := range f.nodes {
		f.start(i, false)
	}
	time.Sleep(recoveryBound)
	for number := range spreadReplicas {
		ctx, cancel := context.WithTimeout(f.t.Context(), changeLimit)
		value, err := f.nodes[number].Read(ctx)
		cancel()
		if err != nil || value.Version != f.version || !slices.Equal(value.Evacuated, f.evacuated) {
			f.t.Errorf("node %d reads %v, error %v, after the loss; version %d and %v were acknowledged", number, value, err, f.version, f.evacuated)
		}
	}
	f.checkSpread()
}

// interruptChange carries out actionInterruptedChange.
func (f *spreadFleet) interruptChange(step *spreadStep) {
	ctx, cancel := context.WithTimeout(f.t.Context(), changeLimit)
	defer cancel()
	// The operator gets no answer.
	go func() { _ = f.send(ctx, step.Nodes[0]) }()
	time.Sleep(step.Gap.Std())
	f.cutPower(step.Nodes)
	for number := range spreadReplicas {
		if !f.outOfTouch[number] {
			f.change(number)
			return
		}
	}
}

// cut cuts the nodes off from all others.
func (f *spreadFleet) cut(numbers []int) {
	for _, number := range numbers {
		f.outOfTouch[number] = true
	}
	some, others := f.group(numbers)
	f.network.cut(some, others, true)
}

// refuse makes the nodes reach nobody without a disk.
func (f *spreadFleet) refuse(numbers []int) {
	some, others := f.group(numbers)
	for number := range spreadReplicas {
		delete(others, f.vms[number])
	}
	f.network.refuse(some, others)
}

// heal ends a cut of the nodes, and waits until they count as in touch.
func (f *spreadFleet) heal(numbers []int) {
	some, others := f.group(numbers)
	f.network.cut(some, others, false)
	time.Sleep(settleTime)
	for _, number := range numbers {
		delete(f.outOfTouch, number)
	}
}

// group returns the VMs of the nodes, and all others. Without nodes, it returns all VMs twice.
func (f *spreadFleet) group(numbers []int) (some, others map[netip.Addr]bool) {
	some, others = make(map[netip.Addr]bool), make(map[netip.Addr]bool)
	for _, vm := range f.vms {
		others[vm] = true
	}
	if len(numbers) == 0 {
		return others, others
	}
	for _, number := range numbers {
		some[f.vms[number]] = true
		delete(others, f.vms[number])
	}
	return some, others
}

package relayer_test

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"strings"
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

// sharedParser parses the text that is newest once for all nodes of a test. Documents are not changed.
type sharedParser struct {
	mu       sync.Mutex
	text     string
	document *validator.Document
}

func (p *sharedParser) parse(text string) (*validator.Document, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.document != nil && p.text == text {
		return p.document, nil
	}
	document, err := validator.Parse([]byte(text))
	if err == nil {
		p.text, p.document = text, document
	}
	return document, err
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

// documentWithRoutes returns the demonstration's document with further routes.
func documentWithRoutes(t *testing.T, count int) string {
	t.Helper()
	text, err := os.ReadFile("../demonstrator/document.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	document, err := validator.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	// Names without a pattern, so that the text can't be compressed to much less than those of the pages.
	random := rand.New(rand.NewPCG(uint64(count), 5))
	for range count {
		route := document.Routes[0]
		route.PathPrefix = fmt.Sprintf(furtherPath+"%016x", random.Uint64())
		document.Routes = append(document.Routes, route)
	}
	encoded, err := json.Marshal(document)
	if err != nil {
		t.Fatal(err)
	}
	return string(encoded)
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

// nextChange returns the change that makes the next version.
func (f *spreadFleet) nextChange() *replicator.Change {
	next := f.version + 1
	return &replicator.Change{Base: f.version, ID: fmt.Sprint(next), Text: f.textOf(next), Version: next}
}

// textOf returns the document's text in a version. One of the further routes differs from that of other versions.
func (f *spreadFleet) textOf(version uint64) string {
	if f.scenario.Routes == 0 {
		return f.text
	}
	parts := strings.Split(f.text, furtherPath)
	changed := 1 + int(version)*7919%f.scenario.Routes
	return strings.Join(parts[:changed], furtherPath) + furtherPath + fmt.Sprintf("%d-", version) + strings.Join(parts[changed:], furtherPath)
}

// storm sends changes to the nodes of the step in turn and checks that each one spreads.
func (f *spreadFleet) storm(step *spreadStep) {
	var pending []acknowledgedChange
	for i := range max(1, step.Count) {
		f.sendChange(step.Nodes[i%len(step.Nodes)])
		pending = append(pending, acknowledgedChange{version: f.version, at: time.Now()})
		for wake := time.Now().Add(step.Gap.Std()); time.Now().Before(wake); time.Sleep(min(checkInterval, time.Until(wake))) {
			pending = f.checkDue(pending)
		}
	}
	f.checkSpread()
}

// acknowledgedChange is a version with the time of its acknowledgement.
type acknowledgedChange struct {
	version uint64
	at      time.Time
}

// checkDue fails the test if a version that was acknowledged applyBound ago is not in force at a node in touch. It returns those
// that were acknowledged later.
func (f *spreadFleet) checkDue(pending []acknowledgedChange) []acknowledgedChange {
	f.t.Helper()
	for len(pending) > 0 && time.Since(pending[0].at) >= applyBound {
		f.checkInForce(pending[0].version)
		pending = pending[1:]
	}
	return pending
}

// checkInForce fails the test if nodes in touch have an older version than this in force.
func (f *spreadFleet) checkInForce(version uint64) {
	f.t.Helper()
	late := 0
	for i, node := range f.nodes {
		if !f.outOfTouch[i] && node.Status().DocumentVersion < version {
			late++
		}
	}
	if late > 0 {
		f.t.Errorf("version %d is not in force at %d nodes %s after its acknowledgement", version, late, applyBound)
	}
}

// change makes a change through a node and checks that it spreads.
func (f *spreadFleet) change(number int) {
	f.sendChange(number)
	f.checkSpread()
}

// sendChange sends a change to a node until it is acknowledged.
func (f *spreadFleet) sendChange(number int) {
	f.t.Helper()
	for deadline := time.Now().Add(spreadFormTime); !f.tryChange(number); time.Sleep(checkInterval) {
		if time.Now().After(deadline) {
			f.t.Fatalf("version %d is not acknowledged", f.version+1)
		}
	}
}

// tryChange sends a change to a node once, and reports whether it is acknowledged.
func (f *spreadFleet) tryChange(number int) bool {
	ctx, cancel := context.WithTimeout(f.t.Context(), changeLimit)
	defer cancel()
	if f.send(ctx, number) != nil {
		return false
	}
	if f.order == nil {
		f.version++
		return true
	}
	f.evacuated = slices.DeleteFunc(f.evacuated, func(name string) bool { return name == f.order.DataCentre })
	if !f.order.Withdrawn {
		f.evacuated = append(f.evacuated, f.order.DataCentre)
		slices.Sort(f.evacuated)
	}
	return true
}

// send sends the order, or else the next change, to a node.
func (f *spreadFleet) send(ctx context.Context, number int) error {
	if f.order != nil {
		return f.node(number).Evacuate(ctx, f.order)
	}
	return f.node(number).Change(ctx, f.nextChange())
}

// isCurrent reports whether the newest version and the evacuated data centres are in force at a node.
func (f *spreadFleet) isCurrent(node *relayer.Node) bool {
	status := node.Status()
	return status.DocumentVersion >= f.version && slices.Equal(status.Evacuated, f.evacuated)
}

// checkSpread waits until the newest version, acknowledged just now, is in force at all nodes in touch, and fails the test
// if that takes longer than applyBound.
func (f *spreadFleet) checkSpread() {
	f.t.Helper()
	acknowledged := time.Now()
	last := time.Duration(0)
	for i, node := range f.nodes {
		for !f.outOfTouch[i] && !f.isCurrent(node) {
			last = time.Since(acknowledged)
			if last > applyBound {
				f.t.Errorf("version %d and %v are not in force at node %d %s after their acknowledgement", f.version, f.evacuated, i, applyBound)
				return
			}
			time.Sleep(checkInterval)
		}
	}
	f.t.Logf("version %d, evacuated %v: in force everywhere after %s", f.version, f.evacuated, last)
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

package relayer_test

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/marigoldrelay/marigoldrelay/internal/demonstrator"
	"github.com/marigoldrelay/marigoldrelay/internal/relayer"
	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
	"github.com/marigoldrelay/marigoldrelay/internal/settingsreader"
	"github.com/marigoldrelay/marigoldrelay/internal/signer"
	"github.com/marigoldrelay/marigoldrelay/internal/skipper"
	"github.com/marigoldrelay/marigoldrelay/internal/validator"
)

// formingBound is how long five nodes can take to form or repair their register in these tests.
const formingBound = 30 * time.Second

// replicaNode is a node with a disk in a self-forming deployment.
type replicaNode struct {
	*relayer.Node
	settings *settingsreader.Settings
}

// formingCluster is a set of nodes that know only three seeds when they start.
type formingCluster struct {
	nodes   []*replicaNode
	secrets *settingsreader.Secrets
	t       *testing.T
}

func newFormingCluster(t *testing.T, count int) *formingCluster {
	t.Helper()
	peerSigner, err := signer.New([]byte("a key for the tests only"))
	if err != nil {
		t.Fatal(err)
	}
	c := &formingCluster{secrets: &settingsreader.Secrets{AdminToken: []byte("a token for the tests"), PeerSigner: peerSigner}, t: t}
	var seeds []netip.AddrPort
	for range count {
		node := c.addNode()
		node.settings.Bootstrap = true
		if len(seeds) < 3 {
			seeds = append(seeds, node.settings.ControlAddress)
		}
	}
	for _, node := range c.nodes {
		node.settings.Seeds = seeds
		c.start(node)
	}
	t.Cleanup(func() {
		for _, node := range c.nodes {
			node.Close()
		}
	})
	return c
}

// addNode adds a node with an empty disk, without starting it.
func (c *formingCluster) addNode() *replicaNode {
	c.t.Helper()
	addresses, err := demonstrator.FreeAddresses(3)
	if err != nil {
		c.t.Fatal(err)
	}
	node := &replicaNode{settings: &settingsreader.Settings{
		AdminAddress: addresses[0], ControlAddress: addresses[1], DataCentre: "flacq",
		DataFolder: c.t.TempDir(), MaxBodyBytes: settingsreader.DefaultMaxBodyBytes,
		MaxHeaderBytes: settingsreader.DefaultMaxHeaderBytes, Name: fmt.Sprintf("core-%d", len(c.nodes)),
		PeerAddress: addresses[2], Region: "mauritius", SelfForming: true, ToleratedLosses: 2,
		UpstreamLease: validator.Duration(time.Second),
	}}
	c.nodes = append(c.nodes, node)
	return node
}

func (c *formingCluster) start(node *replicaNode) {
	c.t.Helper()
	started, err := relayer.New(node.settings, c.secrets, log.NewNopLogger())
	if err != nil {
		c.t.Fatal(err)
	}
	if err := started.Start(); err != nil {
		c.t.Fatal(err)
	}
	node.Node = started
}

// await polls until holds returns true and fails the test after formingBound.
func (c *formingCluster) await(what string, holds func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(formingBound); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	c.t.Fatalf("still waiting for %s after %s", what, formingBound)
}

// changeDocument makes a version through a node and retries until it succeeds.
func (c *formingCluster) changeDocument(node *replicaNode, base, version uint64) {
	c.t.Helper()
	document, err := os.ReadFile("../demonstrator/document.jsonc")
	if err != nil {
		c.t.Fatal(err)
	}
	change := &replicator.Change{Base: base, ID: fmt.Sprint(version), Text: string(document), Version: version}
	c.await(fmt.Sprintf("version %d", version), func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		return node.Change(ctx, change) == nil
	})
}

func (c *formingCluster) awaitVersionEverywhere(version uint64) {
	c.t.Helper()
	for _, node := range c.nodes {
		c.await(fmt.Sprintf("version %d at %s", version, node.settings.Name), func() bool { return node.Status().DocumentVersion == version })
	}
}

// readReplicas returns the disks of the replicas that the node reads from the register, by VM, or an empty map if
// the read fails.
func readReplicas(node *replicaNode) map[string]string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	set := make(map[string]string)
	value, err := node.Read(ctx)
	if err != nil {
		return set
	}
	for _, replica := range value.Replicas {
		set[replica.VM] = replica.DiskID
	}
	return set
}

// TestDeploymentFormsByItself starts five nodes with disks, makes versions with gaps between their numbers, wipes
// two disks, and kills all processes at once. No operator names a replica.
func TestDeploymentFormsByItself(t *testing.T) {
	skipper.KnownRed(t)
	c := newFormingCluster(t, 5)
	c.changeDocument(c.nodes[3], 0, 4)
	c.awaitVersionEverywhere(4)
	if set := readReplicas(c.nodes[0]); len(set) != 5 {
		t.Fatalf("the register is on %d nodes: %v", len(set), set)
	}
	for _, node := range c.nodes[1:3] {
		node.Abort()
		node.settings.DataFolder = t.TempDir()
		node.settings.Bootstrap = false
		c.start(node)
	}
	for _, node := range c.nodes[1:3] {
		c.await("the new disk of "+node.settings.Name, func() bool {
			return readReplicas(c.nodes[0])[node.settings.Name] == node.Status().DiskID
		})
	}
	c.changeDocument(c.nodes[1], 4, 9)
	c.awaitVersionEverywhere(9)
	for _, node := range c.nodes {
		node.Abort()
	}
	for _, node := range c.nodes {
		node.settings.Bootstrap = false
		c.start(node)
	}
	c.awaitVersionEverywhere(9)
	c.changeDocument(c.nodes[4], 9, 10)
	c.awaitVersionEverywhere(10)
}

// TestAllSeedsReplaced replaces the three seeds of a deployment one after the other with new nodes, which know only
// nodes that stay. A node that knows only the new ones must then find the document.
func TestAllSeedsReplaced(t *testing.T) {
	c := newFormingCluster(t, 5)
	c.changeDocument(c.nodes[0], 0, 1)
	c.awaitVersionEverywhere(1)
	staying := []netip.AddrPort{c.nodes[3].settings.ControlAddress, c.nodes[4].settings.ControlAddress}
	for range 3 {
		c.nodes[0].Abort()
		c.nodes = c.nodes[1:]
		added := c.addNode()
		added.settings.Name = "new-" + added.settings.ControlAddress.String()[len("127.0.0.1:"):]
		added.settings.Seeds = staying
		c.start(added)
		c.await(added.settings.Name+" among the replicas", func() bool {
			return readReplicas(c.nodes[1])[added.settings.Name] == added.Status().DiskID
		})
	}
	c.changeDocument(c.nodes[4], 1, 7)
	late := c.addNode()
	late.settings.Name = "late"
	late.settings.DataFolder = ""
	for _, node := range c.nodes[2:5] {
		late.settings.Seeds = append(late.settings.Seeds, node.settings.ControlAddress)
	}
	c.start(late)
	c.awaitVersionEverywhere(7)
}

// TestReplicaIsHandedOverBeforePlannedExit adds a sixth node, drains one of the five replicas and loses two disks the
// moment it is gone. The new node has been there for long enough that only two losses count, so the document must
// still be read.
func TestReplicaIsHandedOverBeforePlannedExit(t *testing.T) {
	c := newFormingCluster(t, 5)
	c.changeDocument(c.nodes[0], 0, 1)
	c.awaitVersionEverywhere(1)
	added := c.addNode()
	added.settings.Seeds = c.nodes[0].settings.Seeds
	c.start(added)
	c.awaitVersionEverywhere(1)
	leaving, lost := c.nodes[0], c.nodes[1:3]
	c.nodes = c.nodes[1:]
	leaving.DrainFor(2*time.Second, 3*time.Second)
	leaving.Abort()
	for _, node := range lost {
		node.Abort()
	}
	for _, node := range lost {
		node.settings.DataFolder = t.TempDir()
		node.settings.Bootstrap = false
		c.start(node)
	}
	c.await("the replicas after the losses", func() bool { return len(readReplicas(added)) == 5 })
	c.awaitVersionEverywhere(1)
}

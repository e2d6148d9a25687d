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

// formingBound is how long five nodes may take to form or mend their register in this test.
const formingBound = 30 * time.Second

// replicaNode is a node with a disk in a deployment that forms by itself.
type replicaNode struct {
	*relayer.Node
	settings *settingsreader.Settings
}

// formingRig starts nodes that are told nothing but three seeds.
type formingRig struct {
	nodes   []*replicaNode
	secrets *settingsreader.Secrets
	t       *testing.T
}

func newFormingRig(t *testing.T, count int) *formingRig {
	t.Helper()
	key, err := signer.New([]byte("a key for the tests only"))
	if err != nil {
		t.Fatal(err)
	}
	r := &formingRig{secrets: &settingsreader.Secrets{AdminToken: []byte("a token for the tests"), Key: key}, t: t}
	var seeds []netip.AddrPort
	for range count {
		node := r.place()
		node.settings.Bootstrap = true
		if len(seeds) < 3 {
			seeds = append(seeds, node.settings.ControlAddress)
		}
	}
	for _, node := range r.nodes {
		node.settings.Seeds = seeds
		r.start(node)
	}
	t.Cleanup(func() {
		for _, node := range r.nodes {
			node.Close()
		}
	})
	return r
}

// place adds a node with an empty disk, without starting it.
func (r *formingRig) place() *replicaNode {
	r.t.Helper()
	addresses, err := demonstrator.FreeAddresses(3)
	if err != nil {
		r.t.Fatal(err)
	}
	node := &replicaNode{settings: &settingsreader.Settings{
		AdminAddress: addresses[0], ControlAddress: addresses[1], DataCentre: "flacq",
		DataFolder: r.t.TempDir(), MaxBodyBytes: settingsreader.DefaultMaxBodyBytes,
		MaxHeaderBytes: settingsreader.DefaultMaxHeaderBytes, Name: fmt.Sprintf("core-%d", len(r.nodes)),
		PeerAddress: addresses[2], Region: "mauritius", SelfForming: true, ToleratedLosses: 2,
		UpstreamLease: validator.Duration(time.Second),
	}}
	r.nodes = append(r.nodes, node)
	return node
}

func (r *formingRig) start(node *replicaNode) {
	r.t.Helper()
	started, err := relayer.New(node.settings, r.secrets, log.NewNopLogger())
	if err != nil {
		r.t.Fatal(err)
	}
	if err := started.Start(); err != nil {
		r.t.Fatal(err)
	}
	node.Node = started
}

// await repeats the question until it holds.
func (r *formingRig) await(what string, holds func() bool) {
	r.t.Helper()
	for deadline := time.Now().Add(formingBound); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	r.t.Fatalf("%s: not within %s", what, formingBound)
}

// change makes a version through a node, as long as it takes.
func (r *formingRig) change(node *replicaNode, base, version uint64) {
	r.t.Helper()
	document, err := os.ReadFile("../demonstrator/document.jsonc")
	if err != nil {
		r.t.Fatal(err)
	}
	change := &replicator.Change{Base: base, ID: fmt.Sprint(version), Text: string(document), Version: version}
	r.await(fmt.Sprintf("version %d", version), func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		return node.Change(ctx, change) == nil
	})
}

func (r *formingRig) awaitEverywhere(version uint64) {
	r.t.Helper()
	for _, node := range r.nodes {
		r.await(fmt.Sprintf("version %d at %s", version, node.settings.Name), func() bool { return node.Status().Version == version })
	}
}

// replicaSet returns the disks of the replicas that the node reads, by name.
func replicaSet(node *replicaNode) map[string]string {
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

// TestDeploymentFormsByItself starts five nodes with disks, makes versions in uneven steps, wipes two
// disks, and kills all processes at once. No operator names a replica.
func TestDeploymentFormsByItself(t *testing.T) {
	skipper.KnownRed(t)
	r := newFormingRig(t, 5)
	r.change(r.nodes[3], 0, 4)
	r.awaitEverywhere(4)
	if set := replicaSet(r.nodes[0]); len(set) != 5 {
		t.Fatalf("the register is on %d nodes: %v", len(set), set)
	}
	for _, node := range r.nodes[1:3] {
		node.Abort()
		node.settings.DataFolder = t.TempDir()
		node.settings.Bootstrap = false
		r.start(node)
	}
	for _, node := range r.nodes[1:3] {
		r.await("the new disk of "+node.settings.Name, func() bool {
			return replicaSet(r.nodes[0])[node.settings.Name] == node.Status().DiskID
		})
	}
	r.change(r.nodes[1], 4, 9)
	r.awaitEverywhere(9)
	for _, node := range r.nodes {
		node.Abort()
	}
	for _, node := range r.nodes {
		node.settings.Bootstrap = false
		r.start(node)
	}
	r.awaitEverywhere(9)
	r.change(r.nodes[4], 9, 10)
	r.awaitEverywhere(10)
}

// TestAllSeedsAreExchanged replaces the three seeds of a deployment one after the other by new nodes, which
// only know nodes that stay. Then a node that is told nothing but the new ones must find the document.
func TestAllSeedsAreExchanged(t *testing.T) {
	r := newFormingRig(t, 5)
	r.change(r.nodes[0], 0, 1)
	r.awaitEverywhere(1)
	staying := []netip.AddrPort{r.nodes[3].settings.ControlAddress, r.nodes[4].settings.ControlAddress}
	for range 3 {
		r.nodes[0].Abort()
		r.nodes = r.nodes[1:]
		added := r.place()
		added.settings.Name = "new-" + added.settings.ControlAddress.String()[len("127.0.0.1:"):]
		added.settings.Seeds = staying
		r.start(added)
		r.await(added.settings.Name+" among the replicas", func() bool {
			return replicaSet(r.nodes[1])[added.settings.Name] == added.Status().DiskID
		})
	}
	r.change(r.nodes[4], 1, 7)
	late := r.place()
	late.settings.Name = "late"
	late.settings.DataFolder = ""
	for _, node := range r.nodes[2:5] {
		late.settings.Seeds = append(late.settings.Seeds, node.settings.ControlAddress)
	}
	r.start(late)
	r.awaitEverywhere(7)
}

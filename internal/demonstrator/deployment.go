package demonstrator

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-kit/log"

	"github.com/marigoldrelay/marigoldrelay/internal/logger"
	"github.com/marigoldrelay/marigoldrelay/internal/registrar"
	"github.com/marigoldrelay/marigoldrelay/internal/relayer"
	"github.com/marigoldrelay/marigoldrelay/internal/responder"
	"github.com/marigoldrelay/marigoldrelay/internal/settingsreader"
	"github.com/marigoldrelay/marigoldrelay/internal/signer"
	"github.com/marigoldrelay/marigoldrelay/internal/validator"
)

// ErrNotReady is wrapped by the error of AwaitServing when a node does not see the expected number of
// serving members in time.
var ErrNotReady = merry.Sentinel("not every node sees the expected number of serving members")

const region = "mauritius"

// NodeSpec configures one node of a deployment and the stand-in upstream beside it.
type NodeSpec struct {
	// Behaviour is how the upstream answers.
	Behaviour responder.Behaviour
	// CrossDataCentreCost is the setting of that name.
	CrossDataCentreCost time.Duration
	DataCentre          string
	// DataFolder is the folder in which the node keeps its data as a control replica; empty for a node
	// that is none.
	DataFolder string
	Name       string
	// Service is the service that the upstream announces; empty for a node without an upstream.
	Service string
}

// Deployment is a set of nodes and stand-in upstreams that run in this process and listen on loopback.
type Deployment struct {
	// Journal is shared by all upstreams of the deployment.
	Journal *responder.Journal

	document *validator.Document
	logs     log.Logger
	options  []relayer.Option
	secrets  *settingsreader.Secrets
	nodes    []*DeployedNode
}

// DeployedNode is one node of a deployment and the upstream beside it.
type DeployedNode struct {
	Node     *relayer.Node
	Spec     NodeSpec
	Settings *settingsreader.Settings
	// Upstream is nil for a node without an upstream.
	Upstream *responder.Responder
}

// NewDeployment returns a deployment without nodes, with a new peer key and a new administration token.
// Each node that is added starts with the document, unless it is nil, and with the options.
func NewDeployment(document *validator.Document, options ...relayer.Option) (*Deployment, error) {
	peerSigner, err := signer.New([]byte(settingsreader.NewSecret()))
	if err != nil {
		return nil, err
	}
	logs, err := logger.New(io.Discard, logger.FormatLogfmt, "error")
	if err != nil {
		return nil, err
	}
	return &Deployment{
		Journal:  responder.NewJournal(nil),
		document: document,
		logs:     logs,
		options:  options,
		secrets:  &settingsreader.Secrets{AdminToken: []byte(settingsreader.NewSecret()), PeerSigner: peerSigner},
	}, nil
}

// Token returns the administration token, which is the same for all nodes.
func (d *Deployment) Token() string {
	return string(d.secrets.AdminToken)
}

// Node returns the i-th node, counted from 0 in the order of the calls of Add.
func (d *Deployment) Node(i int) *DeployedNode {
	return d.nodes[i]
}

// Nodes returns all nodes in the order of the calls of Add.
func (d *Deployment) Nodes() []*DeployedNode {
	return d.nodes
}

// CallerAddresses returns the addresses on which the nodes accept calls.
func (d *Deployment) CallerAddresses() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, deployed := range d.nodes {
		addresses = append(addresses, deployed.Settings.CallerAddress)
	}
	return addresses
}

// Add starts a node on free loopback addresses and, if the spec names a service, its upstream.
func (d *Deployment) Add(spec NodeSpec) (*DeployedNode, error) {
	addresses, err := FreeAddresses(5)
	if err != nil {
		return nil, err
	}
	deployed := &DeployedNode{
		Spec: spec,
		Settings: &settingsreader.Settings{
			AdminAddress:        addresses[0],
			AnnounceAddress:     addresses[1],
			CallerAddress:       addresses[2],
			ControlAddress:      addresses[3],
			CrossDataCentreCost: validator.Duration(spec.CrossDataCentreCost),
			DataCentre:          spec.DataCentre,
			DataFolder:          spec.DataFolder,
			IdempotencyKeys:     true,
			MaxBodyBytes:        settingsreader.DefaultMaxBodyBytes,
			MaxHeaderBytes:      settingsreader.DefaultMaxHeaderBytes,
			Name:                spec.Name,
			PeerAddress:         addresses[4],
			RateLimitSettling:   validator.Duration(settingsreader.DefaultRateLimitSettling),
			Region:              region,
			Seeds:               d.seeds(),
			UpstreamLease:       validator.Duration(registrar.LeaseTime),
		},
	}
	if err := d.StartNode(deployed); err != nil {
		return nil, err
	}
	d.nodes = append(d.nodes, deployed)
	if spec.Service == "" {
		return deployed, nil
	}
	return deployed, d.StartUpstream(deployed)
}

// seeds returns the control addresses of the first two nodes.
func (d *Deployment) seeds() []netip.AddrPort {
	var seeds []netip.AddrPort
	for _, deployed := range d.nodes[:min(2, len(d.nodes))] {
		seeds = append(seeds, deployed.Settings.ControlAddress)
	}
	return seeds
}

// StartNode creates and starts the relayer node of a deployed node. It also restarts the node after it was closed.
func (d *Deployment) StartNode(deployed *DeployedNode) error {
	node, err := relayer.New(deployed.Settings, d.secrets, d.logs, d.options...)
	if err != nil {
		return err
	}
	if d.document != nil {
		node.SetInitialDocument(d.document)
	}
	if err := node.Start(); err != nil {
		return err
	}
	deployed.Node = node
	return nil
}

// StartUpstream creates and starts the upstream of a deployed node on a free port. It also restarts the upstream
// after it was stopped.
func (d *Deployment) StartUpstream(deployed *DeployedNode) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	upstream, err := responder.New(listener, responder.Config{
		Behaviour: deployed.Spec.Behaviour,
		Journal:   d.Journal,
		Node:      deployed.Settings.AnnounceAddress,
		OnCrash:   func() { deployed.Upstream.Crash() },
		Seed:      uint64(len(d.nodes)),
		Service:   deployed.Spec.Service,
	})
	if err != nil {
		_ = listener.Close()
		return err
	}
	deployed.Upstream = upstream
	upstream.Start()
	return nil
}

// AwaitServing waits until every node sees exactly count serving members. When ctx is done before, the
// error wraps ErrNotReady and the error of ctx.
func (d *Deployment) AwaitServing(ctx context.Context, count int) error {
	for ctx.Err() == nil {
		if d.isServing(count) {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("%w: %w", ErrNotReady, ctx.Err())
}

// isServing reports whether every node sees exactly count serving members.
func (d *Deployment) isServing(count int) bool {
	for _, deployed := range d.nodes {
		serving := 0
		for _, m := range deployed.Node.Status().Members {
			if m.IsServing() {
				serving++
			}
		}
		if serving != count {
			return false
		}
	}
	return true
}

// Close stops all upstreams, then closes all nodes.
func (d *Deployment) Close() {
	for _, deployed := range d.nodes {
		if deployed.Upstream != nil {
			deployed.Upstream.Stop()
		}
	}
	for _, deployed := range d.nodes {
		deployed.Node.Close()
	}
}

// The range of ports that FreeAddresses draws from, without lastPort. It lies below the ports that
// operating systems assign to outgoing connections: such a connection could take a free port before its
// listener is opened.
const (
	firstPort = 10240
	lastPort  = 32000
)

// reservedPorts holds the ports that FreeAddresses has returned in this process or found in use. They stay unused until
// their owner opens its listener, so a check for a free port does not suffice.
var reservedPorts sync.Map

// FreeAddresses returns loopback addresses whose ports are free for both TCP and UDP at the time of the
// call. Neither this call nor a later one returns the same port a second time in this process.
func FreeAddresses(count int) ([]netip.AddrPort, error) {
	addresses := make([]netip.AddrPort, 0, count)
	for attempts := 0; len(addresses) < count; attempts++ {
		port := uint16(firstPort + rand.IntN(lastPort-firstPort))
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
		if _, reserved := reservedPorts.LoadOrStore(port, struct{}{}); reserved {
			continue
		}
		if err := checkPortFree(address); err != nil {
			if attempts > lastPort {
				return nil, err
			}
			continue
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// checkPortFree returns an error unless the address is free for both TCP and UDP.
func checkPortFree(address netip.AddrPort) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return err
	}
	_ = listener.Close()
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return err
	}
	return socket.Close()
}

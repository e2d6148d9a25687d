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

// ErrNotReady is returned when the nodes of a deployment do not find each other.
var ErrNotReady = merry.Sentinel("the nodes did not find each other")

const region = "mauritius"

// Place is where one node of a deployment stands, and what stands beside it.
type Place struct {
	Behaviour  responder.Behaviour
	DataCentre string
	// DataFolder makes the node a control replica.
	DataFolder string
	Name       string
	// Service is what the upstream serves; empty for a node without an upstream.
	Service string
}

// Deployment is a set of nodes and stand-in upstreams in this process, on loopback.
type Deployment struct {
	Journal *responder.Journal

	document *validator.Document
	logs     log.Logger
	options  []relayer.Option
	secrets  *settingsreader.Secrets
	stations []*Station
}

// Station is one node and the upstream beside it.
type Station struct {
	Node     *relayer.Node
	Place    Place
	Settings *settingsreader.Settings
	Upstream *responder.Responder
}

// NewDeployment returns an empty deployment that follows document, which can be nil.
func NewDeployment(document *validator.Document, options ...relayer.Option) (*Deployment, error) {
	key, err := signer.New([]byte(settingsreader.NewSecret()))
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
		secrets:  &settingsreader.Secrets{AdminToken: []byte(settingsreader.NewSecret()), Key: key},
	}, nil
}

// Token returns the administration token of all nodes.
func (d *Deployment) Token() string {
	return string(d.secrets.AdminToken)
}

// Station returns the station with the given index in the order of Add.
func (d *Deployment) Station(i int) *Station {
	return d.stations[i]
}

// Stations returns all stations in the order of Add.
func (d *Deployment) Stations() []*Station {
	return d.stations
}

// Callers returns the caller addresses of all nodes.
func (d *Deployment) Callers() []netip.AddrPort {
	var callers []netip.AddrPort
	for _, station := range d.stations {
		callers = append(callers, station.Settings.CallerAddress)
	}
	return callers
}

// Add starts a node and its upstream.
func (d *Deployment) Add(place Place) (*Station, error) {
	addresses, err := FreeAddresses(5)
	if err != nil {
		return nil, err
	}
	station := &Station{
		Place: place,
		Settings: &settingsreader.Settings{
			AdminAddress:    addresses[0],
			AnnounceAddress: addresses[1],
			CallerAddress:   addresses[2],
			ControlAddress:  addresses[3],
			DataCentre:      place.DataCentre,
			DataFolder:      place.DataFolder,
			MaxBodyBytes:    settingsreader.DefaultMaxBodyBytes,
			MaxHeaderBytes:  settingsreader.DefaultMaxHeaderBytes,
			Name:            place.Name,
			PeerAddress:     addresses[4],
			Region:          region,
			Seeds:           d.seeds(),
			UpstreamLease:   validator.Duration(registrar.LeaseTime),
		},
	}
	if err := d.StartNode(station); err != nil {
		return nil, err
	}
	d.stations = append(d.stations, station)
	if place.Service == "" {
		return station, nil
	}
	return station, d.StartUpstream(station)
}

func (d *Deployment) seeds() []netip.AddrPort {
	var seeds []netip.AddrPort
	for _, station := range d.stations[:min(2, len(d.stations))] {
		seeds = append(seeds, station.Settings.ControlAddress)
	}
	return seeds
}

// StartNode starts the station's node, again after it was closed.
func (d *Deployment) StartNode(station *Station) error {
	node, err := relayer.New(station.Settings, d.secrets, d.logs, d.options...)
	if err != nil {
		return err
	}
	if d.document != nil {
		node.SetInitialDocument(d.document)
	}
	if err := node.Start(); err != nil {
		return err
	}
	station.Node = node
	return nil
}

// StartUpstream starts the station's upstream, again after it was stopped.
func (d *Deployment) StartUpstream(station *Station) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	upstream, err := responder.New(listener, responder.Config{
		Behaviour: station.Place.Behaviour,
		Journal:   d.Journal,
		Node:      station.Settings.AnnounceAddress,
		OnCrash:   func() { station.Upstream.Crash() },
		Seed:      uint64(len(d.stations)),
		Service:   station.Place.Service,
	})
	if err != nil {
		_ = listener.Close()
		return err
	}
	station.Upstream = upstream
	upstream.Start()
	return nil
}

// AwaitServing waits until every node sees the given number of members that serve.
func (d *Deployment) AwaitServing(ctx context.Context, count int) error {
	for ctx.Err() == nil {
		if d.isServing(count) {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("%w: %w", ErrNotReady, ctx.Err())
}

func (d *Deployment) isServing(count int) bool {
	for _, station := range d.stations {
		serving := 0
		for _, m := range station.Node.Status().Members {
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

// Close stops everything at once.
func (d *Deployment) Close() {
	for _, station := range d.stations {
		if station.Upstream != nil {
			station.Upstream.Stop()
		}
	}
	for _, station := range d.stations {
		station.Node.Close()
	}
}

// Ports of FreeAddresses: below those that operating systems give to outgoing connections, which
// could take a free port before its listener does.
const (
	firstPort = 10240
	lastPort  = 32000
)

// given holds the ports that this process was given: they stay free until their owner starts.
var given sync.Map

// FreeAddresses returns loopback addresses whose ports are free for both TCP and UDP now. A process is
// given no port twice.
func FreeAddresses(count int) ([]netip.AddrPort, error) {
	addresses := make([]netip.AddrPort, 0, count)
	for tries := 0; len(addresses) < count; tries++ {
		port := uint16(firstPort + rand.IntN(lastPort-firstPort))
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
		if _, taken := given.Load(port); taken {
			continue
		}
		if err := tryListen(address); err != nil {
			if tries > lastPort {
				return nil, err
			}
			continue
		}
		given.Store(port, struct{}{})
		addresses = append(addresses, address)
	}
	return addresses, nil
}

func tryListen(address netip.AddrPort) error {
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

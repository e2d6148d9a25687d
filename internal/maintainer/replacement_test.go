package maintainer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rogpeppe/go-internal/txtar"

	"github.com/marigoldrelay/marigoldrelay/internal/replicator"
)

// replacement is a VM with a replica that is gone for good and its successor, in a deployment of a given size.
type replacement struct {
	// members is the number of members with and without a disk; records of dead ones are left over besides.
	members int
	// losses is the number of disks that may be lost at once.
	losses int
	// delay is the time from the end of the VM to the start of its successor.
	delay time.Duration
	// lossPercent is the part of the messages that are lost from then on.
	lossPercent int
	// sync is how long the disks delay each reply of a replica.
	sync time.Duration
	// frozen is true if the replica whose turn it is to act freezes when the successor starts.
	frozen bool
	// restarted is true if all other VMs restart just after the end of the VM, so that they know nothing of it.
	restarted bool
}

// TestReplacedVMStopsCounting guards against a register that is lost with the next disks because the replica of a VM that
// is gone for good still counts: catchUpTime after the start of the successor as many disks as are tolerated can be
// lost, whatever the number of members and of the records of earlier ones.
func TestReplacedVMStopsCounting(t *testing.T) {
	archive, err := txtar.ParseFile(filepath.Join("testdata", "replacements.txtar"))
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range archive.Files {
		t.Run(file.Name, func(t *testing.T) {
			r := parseReplacement(t, string(file.Data))
			synctest.Test(t, func(t *testing.T) { r.play(t) })
		})
	}
}

func parseReplacement(t *testing.T, text string) *replacement {
	t.Helper()
	r := &replacement{losses: toleratedDisks}
	for line := range strings.Lines(text) {
		key, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		var err error
		switch key {
		case "members":
			r.members, err = strconv.Atoi(value)
		case "tolerated-losses":
			r.losses, err = strconv.Atoi(value)
		case "start-delay":
			r.delay, err = time.ParseDuration(value)
		case "lost-percent":
			r.lossPercent, err = strconv.Atoi(value)
		case "sync":
			r.sync, err = time.ParseDuration(value)
		case "frozen":
			r.frozen, err = strconv.ParseBool(value)
		case "restarted":
			r.restarted, err = strconv.ParseBool(value)
		default:
			t.Fatalf("unknown field: %q", line)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	return r
}

// play replaces the VM, loses the tolerated disks as soon as that is allowed, and checks that the last acknowledged
// version is read from every VM afterwards.
func (r *replacement) play(t *testing.T) {
	coreSize := 2*r.losses + 1
	m := &lossModel{fleet: newFleet(t, 1, coreSize), random: rand.New(rand.NewPCG(1, 2)), texts: make(map[uint64]string)}
	m.addOthers(r.members - coreSize)
	defer m.stopAll()
	m.formOn(coreSize)
	m.syncTime = r.sync
	m.setLoss(r.lossPercent)
	gone := m.members[len(m.members)-1]
	m.retire(gone)
	if r.restarted {
		m.restartAll()
	}
	time.Sleep(r.delay)
	successor := m.addNamed(fmt.Sprintf("vm-%02d", coreSize))
	diskLosses := r.losses
	if r.frozen {
		m.setFrozen(true, m.members[0])
		diskLosses--
	}
	time.Sleep(catchUpTime)
	m.logReplicas(successor, gone)
	m.setLoss(0)
	m.acknowledgeOne(t, successor)
	for _, name := range m.members[1 : 1+diskLosses] {
		m.kill(name)
		m.vms[name].disk.Wipe()
	}
	time.Sleep(time.Second)
	m.startMembers()
	m.setFrozen(false, m.members[0])
	m.checkRecovery()
}

// formOn starts count VMs and creates the register on three of them.
func (m *lossModel) formOn(count int) {
	for i := range count {
		m.addNamed(fmt.Sprintf("vm-%02d", i))
	}
	time.Sleep(time.Second)
	m.createRegister()
}

// addNamed starts a new VM.
func (m *lossModel) addNamed(name string) string {
	m.start(name)
	m.members = append(m.members, name)
	return name
}

// restartAll kills all VMs and starts them again, so that they forget the members that are gone.
func (m *lossModel) restartAll() {
	for _, name := range m.members {
		m.kill(name)
	}
	m.startMembers()
}

// logReplicas logs whether the register has moved from the VM that is gone to its successor.
func (m *lossModel) logReplicas(successor, gone string) {
	for _, p := range m.running() {
		if p.vm.name == successor && p.current() != nil {
			m.tb.Logf("%s after the start of %s in place of %s: revision %d on %v", catchUpTime, successor, gone, p.current().Revision, p.current().Replicas)
		}
	}
}

// acknowledgeOne makes a change at the VM and fails the test unless it is acknowledged.
func (m *lossModel) acknowledgeOne(t *testing.T, name string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), learnTimeout)
	defer cancel()
	p := m.vms[name].process
	version, err := p.apply(ctx, &replicator.Change{ID: "last", Text: "last"})
	if err != nil {
		t.Fatalf("no change is acknowledged: %v", err)
	}
	m.recordAcknowledged(p, version, "last")
}
